package wingroad.state;

import static wingroad.state.Durations.toMillis;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Recent response times by txn type, over all members and for each hardware class. */
public final class ResponseTimeStatistics {
    /** Number of recent answers below which their mean does not change the baseline. */
    private static final double MIN_BASELINE_SAMPLE_COUNT = 16;

    /** Largest rise of a baseline response time with one answer. */
    private static final double BASELINE_RISE_PER_ANSWER = 1.0002;

    /** A baseline begins at this part of the SLA time. */
    private static final double INITIAL_BASELINE_DIVISOR = 4;

    private final TxnType[] txnTypes;
    private final Duration halfLife;

    /** Response times over all members, by txn type index. */
    private final ResponseTimes[] ofAllMembers;

    /** Response times of the members of each host class, by txn type index. */
    private final Map<Integer, ResponseTimes[]> byHostClass = new HashMap<>();

    /**
     * Creates statistics without any response time.
     *
     * @param halfLife time after which a response time counts half
     */
    public ResponseTimeStatistics(TxnType[] txnTypes, Duration halfLife) {
        this.txnTypes = txnTypes;
        this.halfLife = halfLife;
        this.ofAllMembers = newResponseTimes();
    }

    private ResponseTimes[] newResponseTimes() {
        ResponseTimes[] times = new ResponseTimes[txnTypes.length];
        for (int i = 0; i < times.length; i++) {
            double slaTimeMs = toMillis(txnTypes[i].slaTime());
            times[i] = new ResponseTimes(halfLife, slaTimeMs / INITIAL_BASELINE_DIVISOR);
        }
        return times;
    }

    private ResponseTimes of(Member member, TxnType type) {
        return byHostClass
                .computeIfAbsent(member.hostClass, key -> newResponseTimes())[type.index()];
    }

    /** Records the response time of a committed submission. */
    public void record(Member member, TxnType type, Duration responseTime, Duration now) {
        add(ofAllMembers[type.index()], toMillis(responseTime), now);
        add(of(member, type), toMillis(responseTime), now);
    }

    private static void add(ResponseTimes times, double responseMs, Duration now) {
        times.add(now, responseMs);
        // The baseline follows the mean down at once and up only slowly, so that it stays the
        // response time without queueing. A mean of few answers does not change it.
        if (times.sampleCount.valueAt(now) >= MIN_BASELINE_SAMPLE_COUNT) {
            times.baselineMs =
                    Math.min(times.baselineMs * BASELINE_RISE_PER_ANSWER, times.meanMs(now));
        }
    }

    /** Mean of recent response times over all members, in milliseconds. */
    public double meanMs(TxnType type, Duration now) {
        return ofAllMembers[type.index()].meanMs(now);
    }

    /** Response time over all members without queueing, in milliseconds. */
    public double baselineMs(TxnType type) {
        return ofAllMembers[type.index()].baselineMs;
    }

    /**
     * Response time in milliseconds of a member that is well used but not overloaded: the geometric
     * mean of its baseline and the SLA time.
     */
    public double targetMs(Member member, TxnType type) {
        return Math.sqrt(of(member, type).baselineMs * toMillis(type.slaTime()));
    }
}
