package wingroad.routing;

import static wingroad.state.Durations.scale;
import static wingroad.state.Durations.toMillis;

import wingroad.state.HostClassLoad;
import wingroad.state.Member;
import wingroad.state.ResponseTimeStatistics;
import wingroad.state.Txn;
import wingroad.state.TxnType;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * How much work one driver may send to each member: concurrency limits, and credit for members that
 * warm up, have a low limit or are overloaded. Rates of many drivers add up, so credit is shared
 * out over them.
 */
final class MemberLimits {
    /** Concurrency limit of a member whose answers have not set one yet. */
    static final double INITIAL_CONCURRENCY_LIMIT = 8;

    /** Credit that a member gains by an answer within the SLA time, as a multiple of its work. */
    private static final double CREDIT_PER_TIMELY_ANSWER = 1.25;

    /** A member with a low limit gets credit for one submission in this many time scales. */
    private static final long CREDIT_INTERVAL_TIME_SCALES = 8;

    /** Upper limit of that credit for all drivers together, in ms of work per ms. */
    private static final double MAX_FLEET_CREDIT_RATE = 0.5;

    /** Time for which a reported queue length is used at least, in time scales. */
    private static final double MIN_QUEUE_REPORT_VALIDITY_TIME_SCALES = 4;

    /**
     * Part of the setting {@code fall-multiple} that a member in its warm-up is given credit for.
     */
    private static final double WARM_UP_CREDIT_FACTOR = 0.6;

    /** Multiplicative decrease of a concurrency limit; the increase is additive. */
    private static final double LIMIT_DECREASE_FACTOR = 0.75;

    /** Slowness ratio above which a replica's lag is attributed to its load. */
    private static final double LOADED_SLOWNESS_RATIO = 0.75;

    /** Smallest share of the reads without a fresh replica that may go to the primary. */
    static final double MIN_SPILL_SHARE = 0.1;

    /**
     * Factor on the spill share at each read that the primary answers while its mean response time,
     * relative to the target, is above 1.
     */
    private static final double SPILL_DECREASE_FACTOR = 0.8;

    /**
     * Factor on the spill share at each read that the primary answers while its mean response time,
     * relative to the target, is not above 1.
     */
    private static final double SPILL_INCREASE_FACTOR = 1.5;

    private final Settings settings;
    private final Random random;
    private final TxnType referenceType;
    private final ResponseTimeStatistics responseTimes;

    /** Longest SLA time of an update; half-lives and timeouts are derived from it. */
    private final Duration timeScale;

    /** Half-life of the work that was submitted to a host class. */
    private final Duration loadHalfLife;

    /** Time that a member needs from its start to its full capacity. */
    private final Duration warmUpPeriod;

    /** Smallest maximum data age of the txn types. */
    private final Duration shortestAgeLimit;

    /** All members that the router knows, a live view. */
    private final Collection<Member> members;

    private final Map<Integer, HostClassLoad> loadByHostClass = new HashMap<>();

    /**
     * Creates limits for these members.
     *
     * @param random the router's source of random numbers
     * @param referenceType the txn type whose baseline response time is the unit of credit
     * @param timeScale longest SLA time of an update
     * @param loadHalfLife half-life of the work that was submitted to a host class
     * @param shortestAgeLimit smallest maximum data age of the txn types
     * @param members all members that the router knows, a live view
     */
    MemberLimits(
            Settings settings,
            Random random,
            TxnType referenceType,
            ResponseTimeStatistics responseTimes,
            Duration timeScale,
            Duration loadHalfLife,
            Duration shortestAgeLimit,
            Collection<Member> members) {
        this.settings = settings;
        this.random = random;
        this.referenceType = referenceType;
        this.responseTimes = responseTimes;
        this.timeScale = timeScale;
        this.loadHalfLife = loadHalfLife;
        this.warmUpPeriod = settings.duration("cold");
        this.shortestAgeLimit = shortestAgeLimit;
        this.members = members;
    }

    private double baselineMs() {
        return responseTimes.baselineMs(referenceType);
    }

    /** Prepares for a member that the list shows; a start that is new begins its warm-up. */
    void memberListed(Member member, Duration startedAt, Duration now) {
        loadByHostClass.computeIfAbsent(member.hostClass, key -> new HostClassLoad(loadHalfLife));
        if (startedAt != null
                && (member.startedAt == null || startedAt.compareTo(member.startedAt) > 0)) {
            member.startedAt = startedAt;
            member.creditUpdatedAt = null;
            member.concurrencyLimit =
                    Math.max(1, INITIAL_CONCURRENCY_LIMIT * capacityShare(member, now));
        }
    }

    /** Takes the work of a submission from the member's credit. */
    void workSubmitted(Member member, TxnType type, Duration now) {
        double workMs = responseTimes.baselineMs(type);
        loadByHostClass.get(member.hostClass).submittedWorkMs.add(now, workMs);
        member.creditMs = Math.max(0, member.creditMs - workMs);
    }

    /** Gives credit for a committed submission that was answered within its SLA time. */
    void workCommitted(Member member, TxnType type, Duration duration, Duration now) {
        if (capacityShare(member, now) >= 1 && duration.compareTo(type.slaTime()) <= 0) {
            member.creditMs += CREDIT_PER_TIMELY_ANSWER * responseTimes.baselineMs(type);
        }
    }

    /** Updates the statistics, the member's concurrency limit and the group's spill share. */
    void recordResponseTime(Member member, Txn txn, Duration responseTime, Duration now) {
        responseTimes.record(member, txn.type, responseTime, now);
        member.answerCount.add(now, 1);
        member.slownessSum.add(
                now, toMillis(responseTime) / responseTimes.targetMs(member, txn.type));
        // Overloaded replicas fall behind. A lag well within the age limit lowers the concurrency
        // limit while it grows and else keeps it from rising. If answers are quick, the lag has
        // another cause.
        boolean lagging =
                member != member.group.primary
                        && member.lagOrZero().compareTo(shortestAgeLimit.dividedBy(4)) > 0
                        && slownessRatio(member, now) > LOADED_SLOWNESS_RATIO;
        boolean lagIsGrowing = member.lagOrZero().compareTo(member.previousLag) > 0;
        member.previousLag = member.lagOrZero();
        if (slownessRatio(member, now) > 1 || lagging && lagIsGrowing) {
            decreaseLimit(member);
        } else if (!lagging && member.outstanding.size() + 1 >= member.concurrencyLimit - 1) {
            member.concurrencyLimit += 1 / member.concurrencyLimit;
        }
        if (member == txn.group.primary && !txn.type.isUpdate()) {
            txn.group.spillShare =
                    slownessRatio(member, now) > 1
                            ? Math.max(
                                    MIN_SPILL_SHARE, txn.group.spillShare * SPILL_DECREASE_FACTOR)
                            : Math.min(1, txn.group.spillShare * SPILL_INCREASE_FACTOR);
        }
    }

    /** Lowers the member's concurrency limit, from the submissions that it has got at most. */
    void decreaseLimit(Member member) {
        double usedLimit = Math.min(member.concurrencyLimit, member.outstanding.size() + 1);
        member.concurrencyLimit = Math.max(1, usedLimit * LIMIT_DECREASE_FACTOR);
    }

    /** Mean ratio of recent response times to their targets; above 1 the member is too slow. */
    double slownessRatio(Member member, Duration now) {
        return (member.slownessSum.valueAt(now) + 0.5) / (member.answerCount.valueAt(now) + 1);
    }

    /** How many submissions this driver may have outstanding at the member. */
    double submissionLimit(Member member, Duration now) {
        double highestMinimum =
                member == member.group.primary && !member.group.searching
                        ? 2
                        : INITIAL_CONCURRENCY_LIMIT / 2;
        double minimumLimit = Math.min(highestMinimum, 1 + minimumFleetLoad());
        if (isOverloaded(member, now) && minimumFleetLoad() > 1) {
            return 0;
        }
        if ((member.concurrencyLimit < minimumLimit
                        || capacityShare(member, now) < 1
                        || isOverloaded(member, now))
                && refillCredit(member, now) < baselineMs()) {
            return 0;
        }
        return member.consecutiveFailures > 1
                        || member.consecutiveFailures > 0 && now.compareTo(member.backoffUntil) < 0
                ? 1
                : member.concurrencyLimit;
    }

    /**
     * Whether the member's last report, if recent, shows a longer queue than it can answer in time.
     * A report of a short queue proves nothing, so false does not mean that it has capacity left.
     */
    boolean isOverloaded(Member member, Duration now) {
        return member.queueReportedAt != null
                && member.queueLength * baselineMs() > toMillis(timeScale) / 2
                && now.minus(member.queueReportedAt)
                                .compareTo(
                                        scale(
                                                timeScale,
                                                Math.max(
                                                        MIN_QUEUE_REPORT_VALIDITY_TIME_SCALES,
                                                        minimumFleetLoad())))
                        < 0;
    }

    /**
     * Time that a member needs for one submission of each driver, in multiples of {@link
     * #timeScale}. Above 1, even concurrency limits of 1 at all drivers overload the member.
     */
    double minimumFleetLoad() {
        return settings.number("drivers") * baselineMs() / toMillis(timeScale);
    }

    /**
     * Refills the member's credit, a token bucket of work in baseline response milliseconds, and
     * returns it. Rates are limited instead of outstanding work because rates of many drivers add
     * up. A member in its warm-up gets the rate of a warm one, times its present capacity share and
     * 0.6 of the setting {@code fall-multiple}. A replica with a low limit gets what it answers in
     * time.
     */
    private double refillCredit(Member member, Duration now) {
        double baselineMs = baselineMs();
        double capacityShare = capacityShare(member, now);
        double creditPerMs =
                Math.min(
                        baselineMs / toMillis(timeScale.multipliedBy(CREDIT_INTERVAL_TIME_SCALES)),
                        MAX_FLEET_CREDIT_RATE / settings.number("drivers"));
        double maxCreditMs = 2 * baselineMs;
        if (capacityShare < 1) {
            HostClassLoad load = loadByHostClass.get(member.hostClass);
            if (load.countedAt == null
                    || now.minus(load.countedAt).compareTo(settings.duration("fall")) > 0) {
                load.countedAt = now;
                // Members in their warm-up count fully. Counted by their capacity share, many that
                // start at once would each get the rate meant for a few.
                load.memberCount =
                        members.stream()
                                .filter(
                                        other ->
                                                other.listed && other.hostClass == member.hostClass)
                                .count();
            }
            creditPerMs =
                    Math.max(
                            baselineMs / toMillis(warmUpPeriod),
                            capacityShare
                                    * settings.number("fall-multiple")
                                    * WARM_UP_CREDIT_FACTOR
                                    * load.submittedWorkMs.valueAt(now)
                                    * Math.log(2)
                                    / toMillis(load.halfLife)
                                    / Math.max(1, load.memberCount));
            maxCreditMs = baselineMs + creditPerMs * toMillis(settings.duration("fall")) / 4;
        }
        if (member.creditUpdatedAt == null) {
            member.creditMs =
                    capacityShare < 1 || minimumFleetLoad() > 1
                            ? random.nextDouble() * baselineMs
                            : maxCreditMs;
        } else {
            member.creditMs =
                    Math.min(
                            maxCreditMs,
                            member.creditMs
                                    + creditPerMs * toMillis(now.minus(member.creditUpdatedAt)));
        }
        member.creditUpdatedAt = now;
        return member.creditMs;
    }

    /** Share of its full capacity that the member has reached in its warm-up, up to 1. */
    double capacityShare(Member member, Duration now) {
        if (member.startedAt == null || warmUpPeriod.isZero()) {
            return 1;
        }
        double warmUpProgress = toMillis(now.minus(member.startedAt)) / toMillis(warmUpPeriod);
        return warmUpProgress >= 1
                ? 1
                : settings.number("cold-share")
                        + (1 - settings.number("cold-share")) * Math.max(0, warmUpProgress);
    }
}
