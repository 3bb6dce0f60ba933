package wingroad.state;

import java.time.Duration;
import java.util.Locale;

/** One kind of txn as the deployment describes it. */
public record TxnType(int index, Duration slaTime, Duration expiry, double value, double lateShare,
                      Repeat repeat, Freshness freshness, Duration oldestData, Duration window,
                      boolean anyMemberDropsRepeats) {

    /** What running a txn twice would do. */
    public enum Repeat {
        REPEATABLE, REFERENCED, ONCE_ONLY;

        /** The kind that the word names; one that is not known must never run twice. */
        public static Repeat of(Object word) {
            return "repeatable".equals(word) ? REPEATABLE
                : "referenced".equals(word) ? REFERENCED : ONCE_ONLY;
        }
    }

    /** What the data that a txn works on must reflect. */
    public enum Freshness {
        UPDATE, LATEST, OWN_WRITES, RECENT, LOOSE;

        public static Freshness of(Object word) {
            for (Freshness f : values()) {
                if (f.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(word)) {
                    return f;
                }
            }
            return LOOSE;
        }
    }

    public boolean update() {
        return freshness == Freshness.UPDATE;
    }

    /** Only the primary can serve it. */
    public boolean toPrimary() {
        return update() || freshness == Freshness.LATEST;
    }
}
