package wingroad.routing;

import static wingroad.state.Durations.max;
import static wingroad.state.Durations.ofMillis;
import static wingroad.state.Durations.scale;
import static wingroad.state.Durations.toMillis;

import wingroad.state.Member;
import wingroad.state.ResponseTimeStatistics;
import wingroad.state.Submission;
import wingroad.state.Submission.Outcome;
import wingroad.state.Txn;
import wingroad.state.TxnType;

import java.time.Duration;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Whether members answer: from the outcomes of submissions it decides which member is unresponsive
 * and for how long one that failed gets no new work.
 */
final class MemberHealth {
    /** Unanswered work, in mean response times, after which a member counts as unresponsive. */
    private static final double UNRESPONSIVE_AFTER_MEAN_TIMES = 4;

    /** Shortest backoff after a failure, before jitter. */
    private static final long MIN_FAILURE_BACKOFF_MS = 250;

    private static final int MAX_FAILURE_BACKOFF_DOUBLINGS = 3;

    private static final int MAX_REFUSAL_BACKOFF_DOUBLINGS = 4;

    /** A backoff is multiplied by a random factor from this to this plus the range. */
    private static final double BACKOFF_JITTER_MIN = 0.75;

    private static final double BACKOFF_JITTER_RANGE = 0.5;

    private final Settings settings;
    private final Random random;
    private final Consumer<String> log;
    private final TxnType referenceType;
    private final ResponseTimeStatistics responseTimes;

    /** A member that was unreachable for longer may have restarted. */
    private final Duration timeScale;

    /**
     * Creates the health of members of which nothing is known.
     *
     * @param random the router's source of random numbers
     * @param log receives a line when a member stops answering and when it answers again
     * @param referenceType the txn type whose baseline response time is the unit of short backoffs
     * @param timeScale longest SLA time of an update
     */
    MemberHealth(
            Settings settings,
            Random random,
            Consumer<String> log,
            TxnType referenceType,
            ResponseTimeStatistics responseTimes,
            Duration timeScale) {
        this.settings = settings;
        this.random = random;
        this.log = log;
        this.referenceType = referenceType;
        this.responseTimes = responseTimes;
        this.timeScale = timeScale;
    }

    /**
     * Whether the member is unresponsive: its outstanding submissions together have waited several
     * mean response times since its last answer.
     */
    boolean checkUnresponsive(Member member, Duration now) {
        if (member.unresponsive || member.outstanding.isEmpty()) {
            return member.unresponsive;
        }
        double waitedMeanTimes = 0;
        for (Submission submission : member.outstanding) {
            // A submission that much later answers have overtaken is stuck alone and says nothing
            // about the member.
            double meanMs = responseTimes.meanMs(submission.txn.type, now);
            waitedMeanTimes +=
                    toMillis(member.lastProgressAt.minus(submission.sentAt))
                                    > UNRESPONSIVE_AFTER_MEAN_TIMES * meanMs
                            ? 0
                            : toMillis(now.minus(max(submission.sentAt, member.lastProgressAt)))
                                    / meanMs;
        }
        // A mean response time must have passed since the last answer as well: many outstanding
        // submissions alone are no reason for doubt.
        Txn firstTxn = member.outstanding.iterator().next().txn;
        if (waitedMeanTimes > UNRESPONSIVE_AFTER_MEAN_TIMES
                && toMillis(now.minus(member.lastProgressAt))
                        > responseTimes.meanMs(firstTxn.type, now)) {
            member.unresponsive = true;
            log.accept(
                    "member "
                            + member.id
                            + " has not answered for "
                            + (long) toMillis(now.minus(member.lastProgressAt))
                            + " ms; outstanding submissions: "
                            + member.outstanding.size());
        }
        return member.unresponsive;
    }

    /** Whether the member is unresponsive or in backoff after failures. */
    boolean isUnavailable(Member member, Duration now) {
        return now.compareTo(member.backoffUntil) < 0 || checkUnresponsive(member, now);
    }

    /** Any answer of the member, an error or a rejection included, proves that it runs. */
    void recordAnswer(Member member, Duration now, Outcome outcome) {
        member.lastProgressAt = now;
        if (member.unresponsive) {
            member.unresponsive = false;
            log.accept("member " + member.id + " answers again");
        }
        if (outcome == Outcome.FULL) {
            member.concurrencyLimit = Math.max(1, member.concurrencyLimit / 2);
            member.backoffUntil =
                    max(
                            member.backoffUntil,
                            now.plus(ofMillis(responseTimes.baselineMs(referenceType))));
        } else {
            member.consecutiveFailures = 0;
            // A member that was unreachable for a while may have restarted before the list says so:
            // it starts its warm-up, so that it is not overloaded.
            if (member.unreachableSince != null
                    && now.minus(member.unreachableSince).compareTo(timeScale) > 0) {
                member.startedAt = now;
                member.creditUpdatedAt = null;
            }
            member.unreachableSince = null;
        }
    }

    /** Backs off from a member that refused a connection: it runs, but takes no more of them. */
    void recordConnectionRefusal(Member member, Duration now) {
        member.consecutiveFailures++;
        member.unreachableSince =
                member.unreachableSince == null && member.outstanding.isEmpty()
                        ? now
                        : member.unreachableSince;
        Duration backoff =
                ofMillis(
                        responseTimes.baselineMs(referenceType)
                                / 4
                                * Math.pow(
                                        2,
                                        Math.min(
                                                member.consecutiveFailures,
                                                MAX_REFUSAL_BACKOFF_DOUBLINGS)));
        member.backoffUntil = now.plus(withJitter(backoff));
    }

    /** Records that a submission got no answer; the second time in a row starts a backoff. */
    void recordFailure(Member member, Duration now, Outcome outcome) {
        member.consecutiveFailures++;
        if (member.unreachableSince == null
                && (outcome == Outcome.UNREACHABLE || outcome == Outcome.RESET)) {
            member.unreachableSince = now;
        }
        // A single broken connection between answers is tolerated; the next one starts a backoff.
        if (member.consecutiveFailures < 2
                && (outcome == Outcome.RESET || outcome == Outcome.UNREACHABLE)) {
            return;
        }
        Duration backoff =
                scale(
                        max(
                                Duration.ofMillis(MIN_FAILURE_BACKOFF_MS),
                                settings.duration("connect-time-out")),
                        Math.pow(
                                2,
                                Math.min(
                                        member.consecutiveFailures - 1,
                                        MAX_FAILURE_BACKOFF_DOUBLINGS)));
        member.backoffUntil = now.plus(withJitter(backoff));
    }

    private Duration withJitter(Duration backoff) {
        return scale(backoff, BACKOFF_JITTER_MIN + BACKOFF_JITTER_RANGE * random.nextDouble());
    }
}
