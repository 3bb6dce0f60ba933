package wingroad.routing;

import static wingroad.state.Durations.max;
import static wingroad.state.Durations.min;
import static wingroad.state.Durations.ofMillis;
import static wingroad.state.Durations.scale;
import static wingroad.state.Durations.toMillis;

import wingroad.state.DecayingSum;
import wingroad.state.EventQueue;
import wingroad.state.Group;
import wingroad.state.HeldTxns;
import wingroad.state.Member;
import wingroad.state.Member.Role;
import wingroad.state.ResponseTimeStatistics;
import wingroad.state.SessionWrites;
import wingroad.state.Submission;
import wingroad.state.Submission.Outcome;
import wingroad.state.Txn;
import wingroad.state.TxnType;
import wingroad.state.TxnType.Freshness;
import wingroad.state.TxnType.Repeatability;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * The routing decisions of one driver: which member gets which txn, when a txn is retried, declined
 * or rolled back, and which members are probed.
 *
 * <p>Follows the mechanism of the Failover Plugin v2: it tracks the roles of each group's members,
 * starts a writer search when the primary is in doubt, holds writes until the search ends, and
 * sends reads only to replicas whose position is fresh enough. {@code docs/design.md} gives the
 * reasons.
 */
public final class TxnRouter implements Router {
    /** Interval between probes of a primary whose role has not changed lately. */
    private static final Duration STEADY_PROBE_INTERVAL = Duration.ofSeconds(5);

    /** Interval between probes of a primary for {@link #FAST_PROBE_PERIOD} after it took over. */
    private static final Duration FAST_PROBE_INTERVAL = Duration.ofMillis(100);

    private static final Duration FAST_PROBE_PERIOD = Duration.ofSeconds(30);

    /** Interval between the first two probe rounds of a writer search. */
    private static final Duration SEARCH_PROBE_INTERVAL = Duration.ofMillis(100);

    /** Factor by which the probe interval of a writer search grows with each round. */
    private static final double SEARCH_INTERVAL_GROWTH = 1.4;

    /** How many times faster all drivers together may probe a primary after a change. */
    private static final long FAST_PROBE_RATE_FACTOR = 10;

    /** Share of the primary's limit that reads may fill; the rest is left to the writes. */
    private static final double READ_SHARE_OF_PRIMARY_LIMIT = 0.75;

    /** Half-life of counts and mean response times, in multiples of {@link #timeScale}. */
    private static final long HALF_LIFE_TIME_SCALES = 4;

    /** Retries that are allowed whatever the number of first submissions. */
    private static final double RETRY_BUDGET_MIN_COUNT = 4;

    /** Retries allowed for each recent first submission if all recent submissions committed. */
    private static final double RETRY_BUDGET_PER_FIRST_SUBMISSION = 0.5;

    /** Held reads that one pass over a group examines at most. */
    private static final int MAX_EXAMINED_READ_COUNT = 32;

    /** Share of a member's limit that reads too late for their SLA time may fill. */
    private static final double LATE_READ_LIMIT_SHARE = 0.5;

    /**
     * Time until held writes are tried again if the primary is at its limit and no event triggers
     * it earlier; during a back-off they are tried at its end if that is later.
     */
    private static final long HELD_WRITE_RETRY_MS = 50;

    /** Replicas that are probed for their position at once for one read. */
    private static final int MAX_POSITION_PROBE_COUNT = 2;

    /** Bounds of a member's slowness ratio in its cost. */
    private static final double MIN_COST_SLOWNESS = 0.5;

    private static final double MAX_COST_SLOWNESS = 4;

    /** Cost added to a member in another zone where traffic between zones has a price. */
    private static final double CROSS_ZONE_COST = 0.25;

    /** Largest random cost, which spreads reads over members of nearly the same cost. */
    private static final double COST_JITTER = 0.02;

    private final Settings settings;
    private final Random random;
    private final Consumer<String> log;
    private final TxnType[] txnTypes;

    private final ResponseTimeStatistics responseTimes;
    private final MemberLimits limits;
    private final MemberHealth health;
    private final SessionWrites sessionWrites = new SessionWrites();
    private final DecayingSum firstSubmissionCount;
    private final DecayingSum furtherSubmissionCount;
    private final DecayingSum endedCount;
    private final DecayingSum committedCount;

    /** Recent submissions that failed because a running member refused the connection. */
    private final DecayingSum refusedConnectionCount;

    /** Longest time limit that a client has given so far, by txn type index. */
    private final Duration[] longestTimeLimits;

    /** Longest SLA time of an update, at least 1 s; half-lives and timeouts are derived from it. */
    private final Duration timeScale;

    /** Smallest maximum data age of the txn types; {@link #timeScale} where none has one. */
    private final Duration shortestAgeLimit;

    /** Resolution of the times in answers and reports; safety margin of deadlines. */
    private final Duration granularity;

    /** Time that a member needs from its start to its full capacity. */
    private final Duration warmUpPeriod;

    /** Whether members reject or hold reads for which their data is not fresh enough. */
    private final boolean membersCheckFreshness;

    /** Whether the member list must be requested; otherwise it is pushed. */
    private final boolean mustRequestMemberList;

    private final Map<Long, Member> members = new LinkedHashMap<>();
    private final Map<Integer, Group> groups = new LinkedHashMap<>();
    private final Map<String, Txn> openTxns = new HashMap<>();

    private final ArrayDeque<Decision> readyDecisions = new ArrayDeque<>();

    /** Groups that need a pass of {@link #processGroup}. */
    private final ArrayDeque<Group> dirtyGroups = new ArrayDeque<>();

    /** Its targets are a {@link Txn}, a {@link Group}, or the time of a member list request. */
    private final EventQueue scheduledEvents = new EventQueue();

    private boolean memberListIsComplete;
    private final List<Member> listedMembers = new ArrayList<>();
    private int memberListFailureCount;

    /** Null before the first request. */
    private Duration nextMemberListRequestAt;

    /**
     * Creates a router without members.
     *
     * @param settingValues the deployment's settings by their names in {@code RouterSettings};
     *     durations as {@link Duration}, numbers as {@link Double}
     * @param seed seed of the random numbers used for jitter and for spreading reads
     * @param log receives one line for each change of a primary's or a member's state
     */
    public TxnRouter(Map<String, Object> settingValues, long seed, Consumer<String> log) {
        this.settings = new Settings(settingValues);
        this.random = new Random(seed);
        this.log = log;
        this.granularity = settings.duration("step");
        this.warmUpPeriod = settings.duration("cold");
        this.membersCheckFreshness =
                !settingValues.getOrDefault("members-check", "silent").equals("silent");
        this.mustRequestMemberList = settings.is("member-list", "ask");
        this.txnTypes = TxnType.fromSettings(settingValues);
        this.longestTimeLimits = new Duration[txnTypes.length];
        Arrays.fill(longestTimeLimits, Duration.ZERO);
        // Only updates count, since roles are tracked for the member that takes them. One txn type
        // with a far longer SLA time than the rest must not lengthen the half-lives of all.
        Duration longestUpdateSlaTime = Duration.ofSeconds(1);
        Duration shortest = null;
        for (TxnType type : txnTypes) {
            longestUpdateSlaTime =
                    type.isUpdate()
                            ? max(longestUpdateSlaTime, type.slaTime())
                            : longestUpdateSlaTime;
            Duration ageLimit = type.maxDataAge();
            shortest =
                    ageLimit.isZero()
                            ? shortest
                            : shortest == null ? ageLimit : min(shortest, ageLimit);
        }
        this.timeScale = longestUpdateSlaTime;
        this.shortestAgeLimit = shortest == null ? longestUpdateSlaTime : shortest;
        Duration countHalfLife = longestUpdateSlaTime.multipliedBy(HALF_LIFE_TIME_SCALES);
        this.responseTimes = new ResponseTimeStatistics(txnTypes, countHalfLife);
        this.limits =
                new MemberLimits(
                        this.settings,
                        random,
                        txnTypes[0],
                        responseTimes,
                        timeScale,
                        countHalfLife,
                        shortestAgeLimit,
                        members.values());
        this.health =
                new MemberHealth(this.settings, random, log, txnTypes[0], responseTimes, timeScale);
        this.firstSubmissionCount = new DecayingSum(countHalfLife);
        this.furtherSubmissionCount = new DecayingSum(countHalfLife);
        this.endedCount = new DecayingSum(countHalfLife);
        this.committedCount = new DecayingSum(countHalfLife);
        this.refusedConnectionCount = new DecayingSum(longestUpdateSlaTime);
    }

    // ---- Input: updates the state; decisions are made in nextDecision ----

    @Override
    public void memberListStarted(Duration now, boolean complete) {
        memberListIsComplete = complete;
        listedMembers.clear();
    }

    @Override
    public void memberListed(
            Duration now,
            long memberId,
            int groupId,
            int zone,
            int hostClass,
            double weight,
            boolean primary,
            boolean draining,
            boolean gone,
            Duration startedAt) {
        Member member = members.computeIfAbsent(memberId, i -> new Member(i, timeScale));
        if (member.group == null) {
            member.group =
                    groups.computeIfAbsent(
                            groupId, i -> new Group(i, MemberLimits.MIN_SPILL_SHARE));
            member.group.members.add(member);
            member.concurrencyLimit = MemberLimits.INITIAL_CONCURRENCY_LIMIT;
        }
        member.zone = zone;
        member.hostClass = hostClass;
        member.drainSeen |= draining;
        limits.memberListed(member, startedAt, now);
        member.stopLearnedAt =
                !draining && !gone
                        ? null
                        : member.stopLearnedAt == null ? now : member.stopLearnedAt;
        member.gone = gone;
        member.listed = !gone;
        listedMembers.add(member);
        if (primary
                && !gone
                && member.group.primary == null
                && settings.is("role-in-list", "late")) {
            member.group.primary = member;
        }
        markDirty(member.group);
    }

    @Override
    public void memberListEnded(Duration now) {
        for (Iterator<Member> iterator = members.values().iterator(); iterator.hasNext(); ) {
            Member member = iterator.next();
            if (memberListIsComplete && !listedMembers.contains(member)) {
                member.listed = false;
                member.stopLearnedAt = member.stopLearnedAt == null ? now : member.stopLearnedAt;
                member.gone = true;
            }
            // Forgets members that are gone and have no work outstanding; where a removal from the
            // list is not binding, only once they have been unreachable for long.
            boolean longUnreachable =
                    member.unreachableSince != null
                            && now.minus(member.unreachableSince)
                                            .compareTo(max(warmUpPeriod, timeScale))
                                    > 0;
            boolean inUse =
                    !member.outstanding.isEmpty()
                            || member.probeInFlight
                            || member == member.group.primary;
            if (member.gone && !inUse && (longUnreachable || mustStop(member, now, false))) {
                member.group.members.remove(member);
                iterator.remove();
            }
        }
        memberListFailureCount = 0;
        if (mustRequestMemberList) {
            scheduleMemberListRequest(
                    nextMemberListRequestAt == null
                            ? now
                            : now.plus(settings.duration("ask-within").dividedBy(2)));
        }
    }

    @Override
    public void memberListFailed(Duration now) {
        // Where lists are pushed, no request interval is configured: a request here would be
        // repeated without delay.
        if (!mustRequestMemberList) {
            return;
        }
        memberListFailureCount++;
        // Exponential backoff with jitter, from 1/32 up to 1/4 of the longest request interval.
        Duration delay =
                scale(
                        settings.duration("ask-within"),
                        Math.pow(2, Math.min(memberListFailureCount, 4) - 6));
        scheduleMemberListRequest(now.plus(scale(delay, 0.5 + random.nextDouble())));
    }

    @Override
    public void txnArrived(
            Duration now,
            String txnId,
            int typeIndex,
            int groupId,
            Duration timeLeft,
            long session,
            Duration sinceLastWrite,
            boolean retry,
            Duration queuedTime) {
        Group group =
                groups.computeIfAbsent(groupId, i -> new Group(i, MemberLimits.MIN_SPILL_SHARE));
        Txn txn =
                new Txn(
                        txnId,
                        txnTypes[typeIndex],
                        group,
                        now.minus(queuedTime),
                        now.plus(timeLeft),
                        session,
                        retry);
        // The SLA time runs from the client's first attempt. A txn with less time than others of
        // its type is taken for a retry, and the missing time is what the earlier attempts took.
        // Where clients mark retries, an unmarked txn just has a shorter time limit.
        Duration timeLimit = timeLeft.plus(queuedTime);
        longestTimeLimits[typeIndex] = max(longestTimeLimits[typeIndex], timeLimit);
        if (timeLimit.plus(granularity).compareTo(longestTimeLimits[typeIndex]) < 0
                && (retry || !settings.flag("clients-mark-retries"))) {
            txn.slaDeadline =
                    txn.slaDeadline.minus(max(Duration.ZERO, txn.type.expiry().minus(timeLimit)));
        }
        if (txn.type.freshness() == Freshness.OWN_WRITES) {
            txn.requiredPosition =
                    settings.is("session-marks", "client")
                            ? sinceLastWrite == null ? null : now.minus(sinceLastWrite)
                            : sessionWrites.lastWrite(session);
        }
        openTxns.put(txnId, txn);
        hold(txn, now);
        scheduleEvent(giveUpAt(txn, now), txn);
    }

    @Override
    public void submissionEnded(
            Duration now,
            String txnId,
            int submissionNumber,
            long memberId,
            Outcome outcome,
            Duration duration,
            boolean isFinal,
            Role role,
            Duration position) {
        Member member = members.get(memberId);
        Txn txn = openTxns.get(txnId);
        Submission submission =
                member.outstanding.stream()
                        .filter(
                                candidate ->
                                        candidate.txn.id.equals(txnId)
                                                && candidate.number == submissionNumber)
                        .findAny()
                        .get();
        member.outstanding.remove(submission);
        member.endedSinceLastPass = true;
        submission.outcome = outcome;
        // A running member at its connection limit refuses at once, and nothing has run there. It
        // must not be treated as a member that is down.
        boolean connectionRefused =
                outcome == Outcome.UNREACHABLE
                        && duration.compareTo(settings.duration("connect-time-out").dividedBy(2))
                                < 0;
        endedCount.add(now, 1);
        if (outcome == Outcome.COMMITTED) {
            committedCount.add(now, 1);
            limits.recordResponseTime(member, submission.txn, duration, now);
            limits.workCommitted(member, submission.txn.type, duration, now);
            if (submission.txn.type.isUpdate()
                    && submission.txn.session >= 0
                    && settings.is("session-marks", "router")) {
                sessionWrites.record(submission.txn.session, position, now);
            }
        }
        if (outcome == Outcome.TIMED_OUT) {
            limits.decreaseLimit(member);
        }
        if (outcome == Outcome.COMMITTED
                || outcome == Outcome.MISSED
                || outcome == Outcome.ERROR
                || outcome == Outcome.FULL) {
            health.recordAnswer(member, now, outcome);
        } else if (connectionRefused) {
            connectionRefused(member, now);
        } else if (outcome != Outcome.CANCELLED
                && outcome != Outcome.MOOT
                && !(outcome == Outcome.TIMED_OUT
                        && member.lastProgressAt.compareTo(submission.sentAt) > 0)) {
            health.recordFailure(member, now, outcome);
        }
        if (member.unresponsive && member.outstanding.isEmpty()) {
            member.unresponsive = false;
            health.recordFailure(member, now, outcome);
        }
        if (role != Role.UNKNOWN) {
            recordRole(member, role, roleProvenAt(submission, role, position, now), now);
        }
        recordPosition(member, position, now);
        Group group = member.group;
        if (submission.txn.type.isUpdate()
                && group.primary == member
                && (outcome == Outcome.MISSED
                        || outcome == Outcome.ERROR
                        || outcome == Outcome.UNREACHABLE && !connectionRefused
                        || outcome == Outcome.RESET
                        || outcome == Outcome.TIMED_OUT)) {
            startSearch(group, now, "write ended with " + outcome + " at member " + member.id);
        }
        markDirty(group);
        if (txn != null && isFinal) {
            close(txn);
        } else if (txn != null && txn.outstandingCount() == 0) {
            hold(txn, now);
        }
    }

    @Override
    public boolean knowsMember(long memberId) {
        return members.containsKey(memberId);
    }

    @Override
    public void memberReported(
            Duration now,
            long memberId,
            Role role,
            Duration position,
            double activeCount,
            double queueLength,
            double utilization) {
        Member member = members.get(memberId);
        // A primary's position is the time of its report and a replica's is never later, so the
        // position tells for which time the role is proven.
        if (role != Role.UNKNOWN && position != null) {
            recordRole(member, role, position, now);
        }
        recordPosition(member, position, now);
        if (!Double.isNaN(queueLength)) {
            member.queueLength = queueLength;
            member.queueReportedAt = now;
        }
        markDirty(member.group);
    }

    @Override
    public void probeEnded(Duration now, long memberId, boolean answered, Duration duration) {
        Member member = members.get(memberId);
        member.probeInFlight = false;
        if (!answered) {
            member.unreachableSince =
                    member.unreachableSince == null ? now : member.unreachableSince;
            if (member.group.primary == member) {
                startSearch(member.group, now, "probe failed at primary " + member.id);
            }
        }
        markDirty(member.group);
    }

    @Override
    public void txnAbandoned(Duration now, String txnId) {
        Txn txn = openTxns.get(txnId);
        if (txn != null) {
            // No client waits for the answer: outstanding submissions would be wasted work.
            txn.submissions.forEach(this::cancel);
            close(txn);
        }
    }

    @Override
    public void answerAllBy(Duration now, Duration deadline) {
        for (Txn txn : openTxns.values()) {
            if (txn.expiresAt.compareTo(deadline) > 0) {
                txn.expiresAt = deadline;
                scheduleEvent(answerDeadline(txn), txn);
            }
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>Checks again what may have changed since the decision: the txn may be answered, the member
     * may be draining, the primary may have moved, the data may have become too old, and the time
     * in which a repeat is recognized may have ended.
     */
    @Override
    public boolean mayStillSend(Duration now, String txnId, long memberId) {
        Txn txn = openTxns.get(txnId);
        Member member = members.get(memberId);
        Duration requiredPosition =
                txn == null || membersCheckFreshness || isConfirmedPrimary(member)
                        ? null
                        : requiredPosition(txn, now);
        return txn != null
                && !mustStop(member, now, member == member.group.primary)
                && (!txn.type.requiresPrimary()
                        || (txn.type.isUpdate()
                                ? member == member.group.primary
                                : isConfirmedPrimary(member)))
                && (mayRunAgain(txn, now)
                        || txn.submissions.stream()
                                .noneMatch(
                                        submission ->
                                                !submission.isOutstanding()
                                                        && submission.mayHaveRun()))
                && (requiredPosition == null
                        || member.position != null
                                && member.position.compareTo(requiredPosition) >= 0);
    }

    // ---- Decisions ----

    @Override
    public Decision nextDecision(Duration now) {
        while (true) {
            if (!readyDecisions.isEmpty()) {
                return readyDecisions.poll();
            }
            Object due = scheduledEvents.pollDue(now);
            if (due != null) {
                if (due instanceof Txn txn) {
                    checkTxn(txn, now);
                } else if (due instanceof Group group) {
                    group.nextPassAt = null;
                    markDirty(group);
                } else if (due == nextMemberListRequestAt) {
                    scheduleMemberListRequest(
                            now.plus(settings.duration("ask-within").dividedBy(4)));
                    return Decision.followList();
                }
            } else if (!dirtyGroups.isEmpty()) {
                Group group = dirtyGroups.poll();
                group.dirty = false;
                processGroup(group, now);
            } else {
                return null;
            }
        }
    }

    @Override
    public Duration wakeAt() {
        return scheduledEvents.nextDueAt();
    }

    /** Sends what can be sent of a group's held txns and schedules its probes. */
    private void processGroup(Group group, Duration now) {
        Member primary = group.primary;
        if (primary != null && !group.searching && mustStop(primary, now, true)) {
            startSearch(group, now, "primary " + primary.id + " was told to stop");
        }
        dispatchWrites(group, now);
        dispatchReads(group, now);
        if (group.searching) {
            continueSearch(group, now);
        } else if (group.primary != null) {
            monitorPrimary(group, group.primary, now);
        }
        // Members have few connections: one that is idle at this driver may keep other drivers from
        // connecting.
        for (Member member : group.members) {
            if (member.endedSinceLastPass
                    && member.outstanding.isEmpty()
                    && refusedConnectionCount.valueAt(now) > 1) {
                readyDecisions.add(Decision.release(member.id));
            }
            member.endedSinceLastPass = false;
        }
    }

    // ---- Roles and the writer search ----

    /**
     * Records a member's role; the newest claim to be the primary wins.
     *
     * @param provenAt the time for which the role is proven, which may be earlier than now
     */
    private void recordRole(Member member, Role role, Duration provenAt, Duration now) {
        Group group = member.group;
        member.replicaReportedAt = role == Role.REPLICA ? now : member.replicaReportedAt;
        if (member.roleProvenAt != null && provenAt.compareTo(member.roleProvenAt) < 0) {
            return;
        }
        member.roleProvenAt = provenAt;
        if (role == Role.REPLICA) {
            if (group.primary == member
                    && (group.primaryClaimAt == null
                            || provenAt.compareTo(group.primaryClaimAt) > 0)) {
                startSearch(group, now, "primary " + member.id + " reports that it is a replica");
            }
            return;
        }
        // A report from before a primary went down or hung must not confirm it.
        if (group.primaryClaimAt != null && provenAt.compareTo(group.primaryClaimAt) < 0
                || group.primary == member
                        && group.searching
                        && (provenAt.compareTo(group.searchStartedAt) <= 0
                                || member.unresponsive
                                || member.unreachableSince == null
                                        && member.backoffUntil.compareTo(now) > 0)) {
            return;
        }
        member.replicaReportedAt =
                member.replicaReportedAt != null && provenAt.compareTo(member.replicaReportedAt) < 0
                        ? member.replicaReportedAt
                        : null;
        if (group.primary == member && !group.searching) {
            group.primaryClaimAt = provenAt;
            return;
        }
        Member formerPrimary = group.primary;
        group.primary = member;
        group.primaryClaimAt = provenAt;
        member.backoffUntil = min(member.backoffUntil, now);
        log.accept(
                "group "
                        + group.id
                        + ": primary "
                        + member.id
                        + (group.searching
                                ? " found after "
                                        + (long) toMillis(now.minus(group.searchStartedAt))
                                        + " ms; held writes: "
                                        + group.heldWrites.size()
                                : " confirmed by its own report"));
        group.searching = false;
        // Nothing moves if the same primary was found again or this is the driver's first one.
        if (formerPrimary != null && formerPrimary != member) {
            group.fastProbeUntil = now.plus(FAST_PROBE_PERIOD);
            // Referenced txns outstanding at the former primary are repeated at the new one.
            for (Submission submission : formerPrimary.outstanding) {
                if (submission.txn.type.repeatability() == Repeatability.REFERENCED
                        && !submission.txn.answered) {
                    cancel(submission);
                }
            }
        }
        markDirty(group);
    }

    /**
     * The time for which a submission's answer proves the member's role. An answer may arrive long
     * after it was written, when another member is the primary: a claim to be the primary counts
     * from the answer's position. Without a position it only confirms the primary on record; any
     * other claim counts from the submission's start. A replica's position may lag behind by any
     * time, so that its role counts from the arrival.
     */
    private static Duration roleProvenAt(
            Submission submission, Role role, Duration position, Duration now) {
        if (role == Role.REPLICA) {
            return now;
        }
        if (position != null) {
            return max(position, submission.sentAt);
        }
        return isConfirmedPrimary(submission.member) ? now : submission.sentAt;
    }

    /**
     * Whether the member is the recorded primary and has not reported to be a replica since it last
     * claimed to be the primary. A report may be dated before that claim, and the primary stays on
     * record during a writer search, so the record alone would allow reads of old data.
     */
    private static boolean isConfirmedPrimary(Member member) {
        return member == member.group.primary && member.replicaReportedAt == null;
    }

    /** Starts a writer search unless one is running; held writes wait until it ends. */
    private void startSearch(Group group, Duration now, String cause) {
        if (!group.searching) {
            group.searching = true;
            group.searchStartedAt = now;
            group.searchRounds = 0;
            group.nextSearchProbeAt = now;
            log.accept(
                    "group "
                            + group.id
                            + ": writer search started, writes held until the primary is found: "
                            + cause);
            markDirty(group);
        }
    }

    /** Probes all members of the group when the next round of the writer search is due. */
    private void continueSearch(Group group, Duration now) {
        group.heldWrites.removeAnswered();
        // Without held writes the search is not urgent: after the first round its probes are sent
        // at the steady rate, since those of many drivers add up.
        boolean idle = group.searchRounds > 0 && group.heldWrites.isEmpty();
        Duration dueAt =
                idle
                        ? group.nextSearchProbeAt.plus(STEADY_PROBE_INTERVAL)
                        : group.nextSearchProbeAt;
        if (now.compareTo(dueAt) >= 0) {
            for (Member member : group.members) {
                probe(member, now);
            }
            // The interval grows up to twice the connect timeout, the time that a lost probe takes,
            // so that a long search does not load the members.
            group.searchRounds++;
            Duration longestInterval =
                    max(
                            SEARCH_PROBE_INTERVAL,
                            settings.duration("connect-time-out").multipliedBy(2));
            group.nextSearchProbeAt =
                    now.plus(
                            min(
                                    longestInterval,
                                    scale(
                                            SEARCH_PROBE_INTERVAL,
                                            Math.pow(
                                                    SEARCH_INTERVAL_GROWTH,
                                                    group.searchRounds - 1))));
            dueAt = group.nextSearchProbeAt;
        }
        scheduleGroup(group, dueAt);
    }

    /**
     * Probes the primary: at the fast rate after a change while this driver has work outstanding
     * there, else at the steady rate.
     */
    private void monitorPrimary(Group group, Member primary, Duration now) {
        boolean fast = now.compareTo(group.fastProbeUntil) < 0 && !primary.outstanding.isEmpty();
        // All drivers together send a primary at most 10 probes a second, and 100 after a change.
        Duration fleetInterval = scale(FAST_PROBE_INTERVAL, settings.number("drivers"));
        Duration interval =
                fast
                        ? max(FAST_PROBE_INTERVAL, fleetInterval.dividedBy(FAST_PROBE_RATE_FACTOR))
                        : max(STEADY_PROBE_INTERVAL, fleetInterval);
        Duration lastProbeAt =
                primary.lastProbeAt == null ? group.primaryClaimAt : primary.lastProbeAt;
        Duration dueAt = lastProbeAt == null ? now : lastProbeAt.plus(interval);
        if (now.compareTo(dueAt) >= 0) {
            probe(primary, now);
            dueAt = now.plus(interval);
        }
        scheduleGroup(group, dueAt);
    }

    /** Sends a probe unless one is in flight or not allowed; returns whether it was sent. */
    private boolean probe(Member member, Duration now) {
        if (member.probeInFlight || !settings.flag("may-probe") || mustStop(member, now, true)) {
            return false;
        }
        member.probeInFlight = true;
        member.lastProbeAt = now;
        readyDecisions.add(Decision.probe(member.id));
        return true;
    }

    private void dispatchWrites(Group group, Duration now) {
        if (group.heldWrites.isEmpty()) {
            return;
        }
        Member primary = group.primary;
        // A primary that accepts work and answers nothing would cost once-only writes, which cannot
        // be retried.
        if (primary == null) {
            startSearch(group, now, "no primary known");
        } else if (health.checkUnresponsive(primary, now)) {
            startSearch(
                    group,
                    now,
                    "primary "
                            + primary.id
                            + " is unresponsive; outstanding submissions: "
                            + primary.outstanding.size());
        }
        if (group.searching) {
            return;
        }
        for (int pass = 0; pass < 2; pass++) {
            for (Iterator<Txn> iterator = group.heldWrites.iterator(); iterator.hasNext(); ) {
                Txn txn = iterator.next();
                if (txn.answered) {
                    iterator.remove();
                    continue;
                }
                if (txn.type.freshness() == Freshness.LATEST && !isConfirmedPrimary(primary)) {
                    probe(primary, now);
                    continue;
                }
                if (primary.outstanding.size() >= limits.submissionLimit(primary, now)
                        || now.compareTo(primary.backoffUntil) < 0) {
                    // Only a newer report ends an overload: without a probe, writes would be held
                    // for one that is over.
                    if (limits.isOverloaded(primary, now)
                            && now.minus(primary.queueReportedAt).compareTo(timeScale.dividedBy(2))
                                    > 0) {
                        probe(primary, now);
                    }
                    scheduleGroup(
                            group,
                            max(
                                    primary.backoffUntil,
                                    now.plus(Duration.ofMillis(HELD_WRITE_RETRY_MS))));
                    return;
                }
                // The first pass is for writes that can still meet their SLA time; the others get
                // what is left of the limit.
                if (pass == 0 && isTooLateForSla(txn, now)) {
                    continue;
                }
                if (maySubmitAgain(txn, now)) {
                    iterator.remove();
                    submit(txn, primary, now);
                }
            }
        }
    }

    private void dispatchReads(Group group, Duration now) {
        // A group has no members if the first member list was empty: its txns stay held.
        if (group.heldReads.isEmpty() || group.members.isEmpty()) {
            return;
        }
        // Newest first: under overload, reads that have waited long miss their SLA time anyway and
        // get what the others leave of the limit.
        for (int pass = 0; pass < 2; pass++) {
            int examinedCount = 0;
            for (Iterator<Txn> iterator = group.heldReads.descendingIterator();
                    iterator.hasNext() && examinedCount < MAX_EXAMINED_READ_COUNT; ) {
                Txn txn = iterator.next();
                if (txn.answered) {
                    iterator.remove();
                    continue;
                }
                boolean late = isTooLateForSla(txn, now);
                if (late != (pass == 1) || !maySubmitAgain(txn, now)) {
                    continue;
                }
                examinedCount++;
                Member member = chooseReadMember(group, txn, late ? LATE_READ_LIMIT_SHARE : 1, now);
                if (member != null) {
                    iterator.remove();
                    submit(txn, member, now);
                }
            }
        }
    }

    /** Whether less time is left to the SLA deadline than a member takes that is not overloaded. */
    private boolean isTooLateForSla(Txn txn, Duration now) {
        return toMillis(txn.slaDeadline.minus(now)) < responseTimes.baselineMs(txn.type);
    }

    /**
     * The member for a read, or null if the read has to wait.
     *
     * @param limitShare share of a member's submission limit that may be used
     */
    private Member chooseReadMember(Group group, Txn txn, double limitShare, Duration now) {
        Duration requiredPosition = requiredPosition(txn, now);
        Member primary = group.primary;
        // One stuck connection may have started the search. One repeatable read is sent to the
        // unresponsive primary to find out, provided that such reads of all drivers together do not
        // overload it.
        if (limits.minimumFleetLoad() < 1
                && group.searching
                && primary != null
                && primary.unresponsive
                && isConfirmedPrimary(primary)
                && !mustStop(primary, now, true)
                && txn.type.repeatability() == Repeatability.REPEATABLE
                && primary.outstanding.stream()
                        .allMatch(
                                submission ->
                                        submission.sentAt.compareTo(group.searchStartedAt) < 0)) {
            return primary;
        }
        Member best = null;
        Member leastLagging = null;
        double bestCost = 0;
        int replicaCount = 0;
        int freshCount = 0;
        for (Member member : group.members) {
            // During a writer search the primary counts as a replica: it may serve reads for which
            // its proven position is fresh enough.
            if (isConfirmedPrimary(member) && !group.searching || mustStop(member, now, false)) {
                continue;
            }
            replicaCount++;
            if (health.isUnavailable(member, now)) {
                continue;
            }
            boolean isFresh =
                    requiredPosition == null
                            || member.position != null
                                    && member.position.compareTo(requiredPosition) >= 0;
            if (!isFresh && membersCheckFreshness && member.lag != null) {
                isFresh = now.minus(member.lag).compareTo(requiredPosition) >= 0;
            }
            boolean hasRoom =
                    member.outstanding.size() < limitShare * limits.submissionLimit(member, now);
            if (!isFresh) {
                if (hasRoom
                        && !isOutstandingOrMissedAt(txn, member)
                        && !isCertainMiss(member, requiredPosition, now)
                        && (leastLagging == null
                                || member.lagOrZero().compareTo(leastLagging.lagOrZero()) < 0)) {
                    leastLagging = member;
                }
                continue;
            }
            freshCount++;
            if (hasRoom && !isOutstandingOrMissedAt(txn, member)) {
                double cost = cost(member, now);
                if (best == null || cost < bestCost) {
                    best = member;
                    bestCost = cost;
                }
            }
        }
        // An overload could last forever if many drivers kept a member with a low limit busy with
        // late work: it is probed for its queue length first.
        if (best != null
                && limits.minimumFleetLoad() > 1
                && best.concurrencyLimit < MemberLimits.INITIAL_CONCURRENCY_LIMIT / 2
                && best.queueReportedAt != null
                && now.minus(best.queueReportedAt).compareTo(timeScale) > 0
                && probe(best, now)) {
            return null;
        }
        if (best != null) {
            return best;
        }
        boolean probed =
                freshCount < 2
                        && requiredPosition != null
                        && probeReplicasForPosition(group, txn, now);
        if (membersCheckFreshness
                && leastLagging != null
                && freshCount == 0
                && txn.submissions.size() < 2) {
            return leastLagging;
        }
        if (probed && freshCount == 0
                || primary == null
                || group.searching
                || !isConfirmedPrimary(primary)
                || health.isUnavailable(primary, now)
                || mustStop(primary, now, true)) {
            return null;
        }
        // Reads leave a part of the primary's limit to the writes.
        double readLimit = limitShare * limits.submissionLimit(primary, now);
        if (replicaCount == 0) {
            return primary.outstanding.size() < readLimit ? primary : null;
        }
        if (primary.outstanding.size() + 1
                > Math.max(Math.min(1, readLimit), readLimit * READ_SHARE_OF_PRIMARY_LIMIT)) {
            return null;
        }
        if (txn.type.freshness() == Freshness.OWN_WRITES) {
            return primary;
        }
        // Decided at random and not by counting: a driver with few reads would rarely reach the
        // count.
        txn.maySpillToPrimary =
                txn.maySpillToPrimary == null
                        ? random.nextDouble() < group.spillShare
                        : txn.maySpillToPrimary;
        return txn.maySpillToPrimary ? primary : null;
    }

    /**
     * Whether the member reported recently that it is further behind than it would hold a read for.
     */
    private boolean isCertainMiss(Member member, Duration requiredPosition, Duration now) {
        return member.lag != null
                && member.positionReportedAt.plus(timeScale.dividedBy(2)).compareTo(now) > 0
                && now.minus(member.lag)
                                .plus(settings.duration("members-hold-for"))
                                .compareTo(requiredPosition)
                        < 0;
    }

    /** Whether a submission of the txn is outstanding at the member or was missed there. */
    private static boolean isOutstandingOrMissedAt(Txn txn, Member member) {
        return txn.submissions.stream()
                .anyMatch(
                        submission ->
                                submission.member == member
                                        && (submission.isOutstanding()
                                                || submission.outcome == Outcome.MISSED));
    }

    /**
     * The position that a member must have reached to serve the read, or null for any. It includes
     * the clock granularity as a margin.
     */
    private Duration requiredPosition(Txn txn, Duration now) {
        return switch (txn.type.freshness()) {
            case RECENT -> now.minus(txn.type.maxDataAge()).plus(granularity);
            case OWN_WRITES ->
                    txn.requiredPosition == null ? null : txn.requiredPosition.plus(granularity);
            default -> null;
        };
    }

    /**
     * Probes replicas whose position was not reported within a quarter of the read's age limit.
     * Returns whether any probe is in flight.
     */
    private boolean probeReplicasForPosition(Group group, Txn txn, Duration now) {
        Duration ageLimit =
                txn.type.freshness() == Freshness.RECENT
                        ? txn.type.maxDataAge()
                        : txn.type.slaTime();
        int probedCount = 0;
        int start = random.nextInt(group.members.size());
        for (int i = 0; i < group.members.size() && probedCount < MAX_POSITION_PROBE_COUNT; i++) {
            Member member = group.members.get((start + i) % group.members.size());
            if (member != group.primary
                    && !health.isUnavailable(member, now)
                    && (member.probeInFlight
                            || (member.lastProbeAt == null
                                            || now.minus(member.lastProbeAt)
                                                            .compareTo(ageLimit.dividedBy(4))
                                                    > 0)
                                    && (member.positionReportedAt == null
                                            || now.minus(member.positionReportedAt)
                                                            .compareTo(ageLimit.dividedBy(4))
                                                    > 0)
                                    && probe(member, now))) {
                probedCount++;
            }
        }
        scheduleGroup(group, now.plus(ageLimit.dividedBy(8)));
        return probedCount > 0;
    }

    /** Cost of sending a read to the member; the cheapest member gets it. */
    private double cost(Member member, Duration now) {
        double slowness =
                Math.min(
                        MAX_COST_SLOWNESS,
                        Math.max(MIN_COST_SLOWNESS, limits.slownessRatio(member, now)));
        double zonePenalty =
                member.zone != (int) settings.number("zone")
                                && settings.number("price.cross-zone") > 0
                        ? CROSS_ZONE_COST
                        : 0;
        return (member.outstanding.size() + 0.5) / limits.submissionLimit(member, now) * slowness
                + zonePenalty
                + random.nextDouble() * COST_JITTER;
    }

    private void submit(Txn txn, Member member, Duration now) {
        txn.held = false;
        Submission submission = new Submission(txn, txn.submissions.size(), member, now);
        (txn.submissions.isEmpty() ? firstSubmissionCount : furtherSubmissionCount).add(now, 1);
        txn.submissions.add(submission);
        member.lastProgressAt = member.outstanding.isEmpty() ? now : member.lastProgressAt;
        member.outstanding.add(submission);
        limits.workSubmitted(member, txn.type, now);
        readyDecisions.add(Decision.submit(txn.id, member.id, submission.number, null));
        scheduleEvent(
                min(
                        answerDeadline(txn),
                        now.plus(ofMillis(2 * responseTimes.meanMs(txn.type, now)))),
                txn);
    }

    /** Holds the txn until a member can take it. */
    private void hold(Txn txn, Duration now) {
        if (!txn.answered && !txn.held) {
            txn.held = true;
            heldTxns(txn).add(txn);
            markDirty(txn.group);
            if (!txn.submissions.isEmpty()) {
                scheduleEvent(now, txn);
            }
        }
    }

    /** Where the txn waits while it is held. */
    private static HeldTxns heldTxns(Txn txn) {
        return txn.type.requiresPrimary() ? txn.group.heldWrites : txn.group.heldReads;
    }

    /** Ends a txn that is out of time, or retries it where a member has become unresponsive. */
    private void checkTxn(Txn txn, Duration now) {
        if (txn.answered) {
            return;
        }
        boolean noSubmissionLeft = txn.submissions.size() >= settings.number("most-submissions");
        if (now.compareTo(answerDeadline(txn)) >= 0
                || txn.held
                        && (noSubmissionLeft
                                || now.compareTo(giveUpAt(txn, now)) >= 0
                                || txn.mayHaveRun() && !mayRunAgain(txn, now))) {
            answerFailure(txn, now);
            return;
        }
        if (txn.held) {
            scheduleEvent(giveUpAt(txn, now), txn);
            return;
        }
        for (Submission submission : txn.submissions) {
            if (submission.isOutstanding() && health.checkUnresponsive(submission.member, now)) {
                resubmitElsewhere(txn, submission, now);
            }
        }
        scheduleEvent(
                min(answerDeadline(txn), now.plus(ofMillis(responseTimes.meanMs(txn.type, now)))),
                txn);
    }

    /** Retries a repeatable txn that has a submission outstanding at an unresponsive member. */
    private void resubmitElsewhere(Txn txn, Submission submission, Duration now) {
        Group group = txn.group;
        if (group.primary == submission.member) {
            startSearch(
                    group,
                    now,
                    "primary "
                            + submission.member.id
                            + " is unresponsive; outstanding submissions: "
                            + submission.member.outstanding.size());
        }
        if (txn.type.repeatability() != Repeatability.REPEATABLE
                || submission.cancelRequested
                || isTooLateForSla(txn, now)
                || txn.held
                || txn.submissions.size() >= settings.number("most-submissions")
                || !hasRetryBudget(now)) {
            return;
        }
        if (!settings.flag("second-copies")) {
            cancel(submission);
        } else if (txn.outstandingCount() < 2) {
            txn.held = true;
            heldTxns(txn).add(txn);
            markDirty(group);
        }
    }

    private void cancel(Submission submission) {
        if (submission.isOutstanding()
                && !submission.cancelRequested
                && settings.flag("may-cancel")) {
            submission.cancelRequested = true;
            readyDecisions.add(Decision.cancel(submission.txn.id, submission.number));
        }
    }

    /** Gives the final answer: a decline where a retry is harmless, else a rollback. */
    private void answerFailure(Txn txn, Duration now) {
        boolean retryIsHarmless =
                txn.type.repeatability() == Repeatability.REPEATABLE
                        || !txn.mayHaveRun()
                        || txn.type.repeatability() == Repeatability.REFERENCED
                                && txn.type.everyMemberDropsRepeats();
        // A client that can still meet the SLA time may retry at once; others are advised to wait.
        boolean adviseRetryDelay =
                settings.flag("may-advise-come-back") && isTooLateForSla(txn, now);
        readyDecisions.add(
                !retryIsHarmless
                        ? Decision.rollBack(txn.id)
                        : Decision.decline(
                                txn.id,
                                adviseRetryDelay ? settings.duration("longest-come-back") : null));
        close(txn);
    }

    private void close(Txn txn) {
        txn.answered = true;
        if (txn.held) {
            txn.held = false;
            heldTxns(txn).txnAnswered();
        }
        openTxns.remove(txn.id);
        scheduledEvents.txnClosed(txn);
    }

    /** Time at which a held txn is given up, since an answer would come too late to be useful. */
    private Duration giveUpAt(Txn txn, Duration now) {
        Duration expectedTime =
                ofMillis(
                        Math.max(
                                responseTimes.baselineMs(txn.type),
                                responseTimes.meanMs(txn.type, now)));
        Duration latestUsefulStart =
                (txn.type.lateShare() > 0 ? txn.expiresAt : min(txn.slaDeadline, txn.expiresAt))
                        .minus(expectedTime);
        if (txn.type.lateShare() == 0) {
            // At half of the SLA time, so that a retry of the client can still be served in time.
            latestUsefulStart =
                    min(
                            latestUsefulStart,
                            txn.arrivedAt.plus(
                                    txn.type.slaTime().minus(expectedTime).dividedBy(2)));
        }
        return min(answerDeadline(txn), max(txn.arrivedAt.plus(granularity), latestUsefulStart));
    }

    /** Time by which the final answer is given, a margin before the client gives up. */
    private Duration answerDeadline(Txn txn) {
        return txn.expiresAt.minus(granularity);
    }

    /** Whether another submission cannot make the txn take effect twice. */
    private boolean mayRunAgain(Txn txn, Duration now) {
        return txn.type.repeatability() == Repeatability.REPEATABLE
                || !txn.mayHaveRun()
                || txn.type.repeatability() == Repeatability.REFERENCED
                        && now.plus(granularity)
                                        .compareTo(
                                                txn.earliestPossibleRunAt()
                                                        .plus(txn.type.repeatWindow()))
                                < 0;
    }

    private boolean maySubmitAgain(Txn txn, Duration now) {
        return txn.submissions.isEmpty()
                || mayRunAgain(txn, now)
                        && (txn.outstandingCount() == 0 || settings.flag("second-copies"))
                        && txn.submissions.size() < settings.number("most-submissions")
                        && hasRetryBudget(now);
    }

    /** Whether a retry is allowed; the budget shrinks with the share of recent successes. */
    private boolean hasRetryBudget(Duration now) {
        double successShare = (committedCount.valueAt(now) + 1) / (endedCount.valueAt(now) + 1);
        return furtherSubmissionCount.valueAt(now)
                < RETRY_BUDGET_MIN_COUNT
                        + RETRY_BUDGET_PER_FIRST_SUBMISSION
                                * successShare
                                * firstSubmissionCount.valueAt(now);
    }

    /**
     * Backs off from a member that refused a connection. A primary is probed as well, and a writer
     * search starts if the probe cannot be sent or fails.
     */
    private void connectionRefused(Member member, Duration now) {
        refusedConnectionCount.add(now, 1);
        health.recordConnectionRefusal(member, now);
        if (member == member.group.primary && !member.group.searching && !probe(member, now)) {
            startSearch(member.group, now, "primary " + member.id + " refused a connection");
        }
    }

    // ---- Members ----

    /**
     * Whether nothing new may be sent to the member because it is draining or gone.
     *
     * @param asPrimary a draining primary is used for most of the drain grace, until it has handed
     *     over
     */
    private boolean mustStop(Member member, Duration now, boolean asPrimary) {
        // Where a removal from the list is not binding, only failed submissions stop the use of a
        // member.
        if (member.stopLearnedAt == null
                || member.gone && !member.drainSeen && settings.flag("removal-not-binding")) {
            return false;
        }
        Duration grace =
                asPrimary && !member.gone
                        ? settings.duration("drain-grace").minus(granularity.multipliedBy(2))
                        : Duration.ZERO;
        return now.compareTo(member.stopLearnedAt.plus(grace)) >= 0;
    }

    private void recordPosition(Member member, Duration position, Duration now) {
        if (position == null) {
            return;
        }
        member.position = member.position == null ? position : max(member.position, position);
        member.lag = now.minus(member.position);
        member.positionReportedAt = now;
    }

    /**
     * Schedules a subscription to the member list, replacing the one scheduled before. Where lists
     * must be requested, the subscription is renewed after failures and when no list has arrived
     * for long.
     */
    private void scheduleMemberListRequest(Duration dueAt) {
        nextMemberListRequestAt = dueAt;
        scheduleEvent(dueAt, dueAt);
    }

    /** Queues the group for a pass of {@link #processGroup}. */
    private void markDirty(Group group) {
        if (!group.dirty) {
            group.dirty = true;
            dirtyGroups.add(group);
        }
    }

    /** Schedules a pass over the group unless an earlier one is scheduled. */
    private void scheduleGroup(Group group, Duration dueAt) {
        if (group.nextPassAt == null || dueAt.compareTo(group.nextPassAt) < 0) {
            group.nextPassAt = dueAt;
            scheduleEvent(dueAt, group);
        }
    }

    private void scheduleEvent(Duration dueAt, Object target) {
        scheduledEvents.add(dueAt, target);
    }
}
