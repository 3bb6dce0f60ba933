package wingroad.state;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;

/**
 * A txn type of the deployment.
 *
 * @param index number of the type in the settings, from 0
 * @param slaTime time within which an answer has its full value
 * @param expiry time after which clients of this type give up
 * @param value what a timely answer is worth
 * @param lateShare share of the value that an answer after the SLA time still has, from 0 to 1
 * @param maxDataAge greatest age of the data for {@link Freshness#RECENT}, else zero
 * @param repeatWindow time in which a repeat is recognized, for {@link Repeatability#REFERENCED}
 * @param everyMemberDropsRepeats whether repeats are recognized at every member
 */
public record TxnType(
        int index,
        Duration slaTime,
        Duration expiry,
        double value,
        double lateShare,
        Repeatability repeatability,
        Freshness freshness,
        Duration maxDataAge,
        Duration repeatWindow,
        boolean everyMemberDropsRepeats) {

    /** Whether a txn may be submitted again after it may have run. */
    public enum Repeatability {
        /** Running it twice does no harm. */
        REPEATABLE,

        /** Members recognize a repeat by its reference for the repeat window. */
        REFERENCED,

        /** It must never run twice. */
        ONCE_ONLY;

        /** Converts the setting; an unknown value counts as {@link #ONCE_ONLY}. */
        public static Repeatability fromSetting(Object value) {
            return "repeatable".equals(value)
                    ? REPEATABLE
                    : "referenced".equals(value) ? REFERENCED : ONCE_ONLY;
        }
    }

    /** What the data that a txn works on must reflect at least. */
    public enum Freshness {
        /** Not a read: it changes data at the primary. */
        UPDATE,

        /** All committed writes. */
        LATEST,

        /** The writes of the client's own session. */
        OWN_WRITES,

        /** All writes older than {@link TxnType#maxDataAge}. */
        RECENT,

        /** Nothing in particular. */
        LOOSE;

        /** Converts the setting; an unknown value counts as {@link #LOOSE}. */
        public static Freshness fromSetting(Object value) {
            for (Freshness freshness : values()) {
                if (freshness.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(value)) {
                    return freshness;
                }
            }
            return LOOSE;
        }
    }

    /** The txn types in the settings, ordered by their index. */
    public static TxnType[] fromSettings(Map<String, Object> settings) {
        TxnType[] types =
                new TxnType
                        [settings.get("txn-types") instanceof Double count ? count.intValue() : 0];
        for (int i = 0; i < types.length; i++) {
            String prefix = "txn-type." + i + ".";
            types[i] =
                    new TxnType(
                            i,
                            durationSetting(settings, prefix + "sla-time"),
                            durationSetting(settings, prefix + "expiry"),
                            numberSetting(settings, prefix + "value"),
                            numberSetting(settings, prefix + "late-share"),
                            Repeatability.fromSetting(settings.get(prefix + "repeat")),
                            Freshness.fromSetting(settings.get(prefix + "reads")),
                            durationSetting(settings, prefix + "oldest-data"),
                            durationSetting(settings, prefix + "window"),
                            "all".equals(settings.get(prefix + "repeats-dropped-by")));
        }
        return types;
    }

    private static double numberSetting(Map<String, Object> settings, String name) {
        return settings.get(name) instanceof Double d ? d : 0;
    }

    private static Duration durationSetting(Map<String, Object> settings, String name) {
        return settings.get(name) instanceof Duration d ? d : Duration.ZERO;
    }

    public boolean isUpdate() {
        return freshness == Freshness.UPDATE;
    }

    /** Whether only the primary can serve it. */
    public boolean requiresPrimary() {
        return isUpdate() || freshness == Freshness.LATEST;
    }
}
