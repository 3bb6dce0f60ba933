package wingroad.state;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;

/** One kind of txn as the deployment describes it. */
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

    /** What running a txn twice would do. */
    public enum Repeatability {
        REPEATABLE,
        REFERENCED,
        ONCE_ONLY;

        /** The kind that the word names; one that is not known must never run twice. */
        public static Repeatability fromSetting(Object value) {
            return "repeatable".equals(value)
                    ? REPEATABLE
                    : "referenced".equals(value) ? REFERENCED : ONCE_ONLY;
        }
    }

    /** What the data that a txn works on must reflect. */
    public enum Freshness {
        UPDATE,
        LATEST,
        OWN_WRITES,
        RECENT,
        LOOSE;

        public static Freshness fromSetting(Object value) {
            for (Freshness freshness : values()) {
                if (freshness.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(value)) {
                    return freshness;
                }
            }
            return LOOSE;
        }
    }

    /** The types that the terms describe, by their numbers. */
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

    /** Only the primary can serve it. */
    public boolean requiresPrimary() {
        return isUpdate() || freshness == Freshness.LATEST;
    }
}
