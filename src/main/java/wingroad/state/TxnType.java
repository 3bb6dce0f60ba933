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
        public static Repeatability fromSetting(Object word) {
            return "repeatable".equals(word)
                    ? REPEATABLE
                    : "referenced".equals(word) ? REFERENCED : ONCE_ONLY;
        }
    }

    /** What the data that a txn works on must reflect. */
    public enum Freshness {
        UPDATE,
        LATEST,
        OWN_WRITES,
        RECENT,
        LOOSE;

        public static Freshness fromSetting(Object word) {
            for (Freshness f : values()) {
                if (f.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(word)) {
                    return f;
                }
            }
            return LOOSE;
        }
    }

    /** The types that the terms describe, by their numbers. */
    public static TxnType[] fromSettings(Map<String, Object> terms) {
        TxnType[] all = new TxnType[terms.get("txn-types") instanceof Double n ? n.intValue() : 0];
        for (int i = 0; i < all.length; i++) {
            String t = "txn-type." + i + ".";
            all[i] =
                    new TxnType(
                            i,
                            time(terms, t + "sla-time"),
                            time(terms, t + "expiry"),
                            number(terms, t + "value"),
                            number(terms, t + "late-share"),
                            Repeatability.fromSetting(terms.get(t + "repeat")),
                            Freshness.fromSetting(terms.get(t + "reads")),
                            time(terms, t + "oldest-data"),
                            time(terms, t + "window"),
                            "all".equals(terms.get(t + "repeats-dropped-by")));
        }
        return all;
    }

    private static double number(Map<String, Object> terms, String name) {
        return terms.get(name) instanceof Double d ? d : 0;
    }

    private static Duration time(Map<String, Object> terms, String name) {
        return terms.get(name) instanceof Duration d ? d : Duration.ZERO;
    }

    public boolean isUpdate() {
        return freshness == Freshness.UPDATE;
    }

    /** Only the primary can serve it. */
    public boolean requiresPrimary() {
        return isUpdate() || freshness == Freshness.LATEST;
    }
}
