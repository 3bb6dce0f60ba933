// THE MODULE: every decision of the driver. Router.java, beside this file, is its interface: tell
// it what
// happens; after each call, and at wakeAt(), pull next(now) until it is null. The reasons:
// docs/design.md.
package wingroad.routing;

import static wingroad.state.Durations.max;
import static wingroad.state.Durations.min;
import static wingroad.state.Durations.ofMillis;
import static wingroad.state.Durations.scale;
import static wingroad.state.Durations.toMillis;

import wingroad.state.DecayingSum;
import wingroad.state.Durations;
import wingroad.state.Group;
import wingroad.state.HostClassLoad;
import wingroad.state.Member;
import wingroad.state.Member.Role;
import wingroad.state.ResponseTimes;
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
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Decides by the Failover Plugin v2 mechanism: roles per group, writer search, held writes, fresh
 * reads.
 */
public final class TxnRouter implements Router {
    /**
     * The design's figures: the primary's probe at rest, and its fast rate and span after a change.
     */
    private static final Duration STEADY_PROBE_INTERVAL = Duration.ofSeconds(5);

    private static final Duration FAST_PROBE_INTERVAL = Duration.ofMillis(100);
    private static final Duration FAST_PROBE_PERIOD = Duration.ofSeconds(30);
    private static final Duration SEARCH_PROBE_INTERVAL = Duration.ofMillis(100);
    private static final double MIN_SPILL_SHARE = 0.1;

    /** Reads that may be sent to a group, as a multiple of those answered in time of late. */
    private static final double CREDIT_PER_TIMELY_ANSWER = 1.25;

    /**
     * Work that a member may leave unanswered, in usual answer times, before it counts as silent.
     */
    private static final double UNRESPONSIVE_AFTER_MEAN_TIMES = 4;

    /** How many submissions a member gets at once before its answers have set its limit. */
    private static final double INITIAL_CONCURRENCY_LIMIT = 8;

    /** After so long a session's last write is no longer told from those of others. */
    private static final Duration SESSION_WRITE_RETENTION = Duration.ofSeconds(60);

    private record ScheduledEvent(Duration dueAt, long sequence, Object target) {}

    private final Map<String, Object> settings;
    private final Random random;
    private final Consumer<String> log;
    private final TxnType[] txnTypes;

    /** How long each txn type takes, over all members and by their kind. */
    private final ResponseTimes[] responseTimes;

    private final Map<Integer, ResponseTimes[]> responseTimesByHostClass = new HashMap<>();
    private final Map<Integer, HostClassLoad> loadByHostClass = new LinkedHashMap<>();
    private final DecayingSum firstSubmissionCount;
    private final DecayingSum furtherSubmissionCount;
    private final DecayingSum endedCount;
    private final DecayingSum committedCount;

    /** Submissions that lately found no connection at a member that lives. */
    private final DecayingSum refusedConnectionCount;

    private final Duration[] longestTimeLimits;
    private final Duration timeScale;

    /** The shortest age that a read's data may have. */
    private final Duration shortestAgeLimit;

    private final Duration granularity;
    private final Duration warmUpPeriod;
    private final boolean membersCheckFreshness;
    private final boolean mustRequestMemberList;

    private final Map<Long, Member> members = new LinkedHashMap<>();
    private final Map<Integer, Group> groups = new LinkedHashMap<>();
    private final Map<String, Txn> openTxns = new HashMap<>();
    private final Map<Long, Duration> lastWriteBySession = new LinkedHashMap<>(16, 0.75f, true);

    /** The latest of those sessions' writes that are no longer told apart, or null. */
    private Duration lastWriteOfForgottenSessions;

    private final ArrayDeque<Decision> readyDecisions = new ArrayDeque<>();
    private final ArrayDeque<Group> dirtyGroups = new ArrayDeque<>();
    private final PriorityQueue<ScheduledEvent> scheduledEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.dueAt.equals(b.dueAt)
                                    ? Long.compare(a.sequence, b.sequence)
                                    : a.dueAt.compareTo(b.dueAt));
    private long nextEventSequence;
    private boolean memberListIsComplete;
    private final List<Member> listedMembers = new ArrayList<>();
    private int memberListFailureCount;
    private Duration nextMemberListRequestAt;

    public TxnRouter(Map<String, Object> settings, long seed, Consumer<String> log) {
        this.settings = settings;
        this.random = new Random(seed);
        this.log = log;
        this.granularity = durationSetting("step");
        this.warmUpPeriod = durationSetting("cold");
        this.membersCheckFreshness =
                !settings.getOrDefault("members-check", "silent").equals("silent");
        this.mustRequestMemberList = "ask".equals(settings.get("member-list"));
        this.txnTypes = TxnType.fromSettings(settings);
        this.longestTimeLimits = new Duration[txnTypes.length];
        Arrays.fill(longestTimeLimits, Duration.ZERO);
        // Updates set the pace, since the roles are about their member: guards against one txn type
        // that
        // takes many times longer than the rest and would stretch what is remembered of all.
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
        this.responseTimes = newResponseTimes();
        Duration countHalfLife = longestUpdateSlaTime.multipliedBy(4);
        this.firstSubmissionCount = new DecayingSum(countHalfLife);
        this.furtherSubmissionCount = new DecayingSum(countHalfLife);
        this.endedCount = new DecayingSum(countHalfLife);
        this.committedCount = new DecayingSum(countHalfLife);
        this.refusedConnectionCount = new DecayingSum(longestUpdateSlaTime);
    }

    // ---- inputs: they only update what is known ----

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
            member.group = groups.computeIfAbsent(groupId, i -> new Group(i, MIN_SPILL_SHARE));
            member.group.members.add(member);
            member.concurrencyLimit = INITIAL_CONCURRENCY_LIMIT;
        }
        member.zone = zone;
        member.hostClass = hostClass;
        loadByHostClass.computeIfAbsent(
                hostClass, k -> new HostClassLoad(timeScale.multipliedBy(4)));
        member.drainSeen |= draining;
        if (startedAt != null
                && (member.startedAt == null || startedAt.compareTo(member.startedAt) > 0)) {
            member.startedAt = startedAt;
            member.creditUpdatedAt = null;
            member.concurrencyLimit =
                    Math.max(1, INITIAL_CONCURRENCY_LIMIT * capacityShare(member, now));
        }
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
                && "late".equals(settings.get("role-in-list"))) {
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
            // What is gone and holds nothing is let go; where the list does not bind, once it is
            // lost long.
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
                            : now.plus(durationSetting("ask-within").dividedBy(2)));
        }
    }

    @Override
    public void memberListFailed(Duration now) {
        // Guards against asking without a pause: where lists are pushed, the settings name no time
        // for it.
        if (!mustRequestMemberList) {
            return;
        }
        memberListFailureCount++;
        Duration delay =
                scale(
                        durationSetting("ask-within"),
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
        Group group = groups.computeIfAbsent(groupId, i -> new Group(i, MIN_SPILL_SHARE));
        Txn txn =
                new Txn(
                        txnId,
                        txnTypes[typeIndex],
                        group,
                        now.minus(queuedTime),
                        now.plus(timeLeft),
                        session,
                        retry);
        // The SLA time runs from the first try. One with less time than others of its type is a
        // later one and
        // tells when the first was; where retries are marked, one without a mark has little
        // patience.
        Duration timeLimit = timeLeft.plus(queuedTime);
        longestTimeLimits[typeIndex] = max(longestTimeLimits[typeIndex], timeLimit);
        if (timeLimit.plus(granularity).compareTo(longestTimeLimits[typeIndex]) < 0
                && (retry || !flagSetting("clients-mark-retries"))) {
            txn.slaDeadline =
                    txn.slaDeadline.minus(max(Duration.ZERO, txn.type.expiry().minus(timeLimit)));
        }
        if (txn.type.freshness() == Freshness.OWN_WRITES) {
            txn.requiredPosition =
                    "client".equals(settings.get("session-marks"))
                            ? sinceLastWrite == null ? null : now.minus(sinceLastWrite)
                            : lastWriteBySession.getOrDefault(
                                    session, lastWriteOfForgottenSessions);
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
        // Guards against a member that lives but takes no further connection: a no at once, and
        // nothing ran.
        boolean connectionRefused =
                outcome == Outcome.UNREACHABLE
                        && duration.compareTo(durationSetting("connect-time-out").dividedBy(2)) < 0;
        endedCount.add(now, 1);
        if (outcome == Outcome.COMMITTED) {
            committedCount.add(now, 1);
            recordResponseTime(member, submission.txn, duration, now);
            if (capacityShare(member, now) >= 1
                    && duration.compareTo(submission.txn.type.slaTime()) <= 0) {
                member.creditMs +=
                        CREDIT_PER_TIMELY_ANSWER * baselineResponseMs(submission.txn.type);
            }
            if (submission.txn.type.isUpdate()
                    && submission.txn.session >= 0
                    && position != null
                    && "router".equals(settings.get("session-marks"))) {
                lastWriteBySession.merge(submission.txn.session, position, Durations::max);
                forgetOldSessionWrites(now);
            }
        }
        if (outcome == Outcome.TIMED_OUT) {
            member.concurrencyLimit =
                    Math.max(
                            1,
                            Math.min(member.concurrencyLimit, member.outstanding.size() + 1)
                                    * 0.75);
        }
        if (outcome == Outcome.COMMITTED
                || outcome == Outcome.MISSED
                || outcome == Outcome.ERROR
                || outcome == Outcome.FULL) {
            recordAnswer(member, now, outcome);
        } else if (connectionRefused) {
            recordConnectionRefusal(member, now);
        } else if (outcome != Outcome.CANCELLED
                && outcome != Outcome.MOOT
                && !(outcome == Outcome.TIMED_OUT
                        && member.lastProgressAt.compareTo(submission.sentAt) > 0)) {
            recordFailure(member, now, outcome);
        }
        if (member.unresponsive && member.outstanding.isEmpty()) {
            member.unresponsive = false;
            recordFailure(member, now, outcome);
        }
        if (role != Role.UNKNOWN) {
            recordRole(member, role, now, now);
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
            startSearch(group, now, "write " + outcome + " at " + member.id);
        }
        markDirty(group);
        if (txn != null && isFinal) {
            close(txn);
        } else if (txn != null && txn.outstandingCount() == 0) {
            hold(txn, now);
        }
    }

    private void forgetOldSessionWrites(Duration now) {
        Iterator<Duration> iterator = lastWriteBySession.values().iterator();
        for (Duration writtenAt = iterator.next();
                now.minus(writtenAt).compareTo(SESSION_WRITE_RETENTION) > 0 && iterator.hasNext();
                writtenAt = iterator.next()) {
            lastWriteOfForgottenSessions =
                    lastWriteOfForgottenSessions == null
                            ? writtenAt
                            : max(lastWriteOfForgottenSessions, writtenAt);
            iterator.remove();
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
        // A primary's position is the time of its report, a replica's is never later: it dates the
        // role.
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
                startSearch(member.group, now, "probe failed at " + member.id);
            }
        }
        markDirty(member.group);
    }

    @Override
    public void txnAbandoned(Duration now, String txnId) {
        Txn txn = openTxns.get(txnId);
        if (txn != null) {
            // Nobody waits for it: what is still out would only be work for nothing.
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
     * Guards the rules on drains, old data, answered txns and repeats, and writes for a primary
     * that has moved, against changes while a connection opens: a window may end meanwhile.
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

    // ---- decisions ----

    @Override
    public Decision nextDecision(Duration now) {
        while (true) {
            if (!readyDecisions.isEmpty()) {
                return readyDecisions.poll();
            }
            ScheduledEvent event = scheduledEvents.peek();
            if (event != null && event.dueAt.compareTo(now) <= 0) {
                scheduledEvents.poll();
                if (event.target instanceof Txn txn) {
                    checkTxn(txn, now);
                } else if (event.target instanceof Group group) {
                    group.nextPassAt = null;
                    markDirty(group);
                } else if (event.target == nextMemberListRequestAt) {
                    scheduleMemberListRequest(now.plus(durationSetting("ask-within").dividedBy(4)));
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
        return scheduledEvents.isEmpty() ? null : scheduledEvents.peek().dueAt;
    }

    private void processGroup(Group group, Duration now) {
        Member primary = group.primary;
        if (primary != null && !group.searching && mustStop(primary, now, true)) {
            startSearch(group, now, "primary told to stop " + primary.id);
        }
        dispatchWrites(group, now);
        dispatchReads(group, now);
        if (group.searching) {
            continueSearch(group, now);
        } else if (group.primary != null) {
            monitorPrimary(group, group.primary, now);
        }
        // Guards against members that take few connections: one that stands idle here keeps all
        // others out.
        for (Member member : group.members) {
            if (member.endedSinceLastPass
                    && member.outstanding.isEmpty()
                    && refusedConnectionCount.valueAt(now) > 1) {
                readyDecisions.add(Decision.release(member.id));
            }
            member.endedSinceLastPass = false;
        }
    }

    // ---- roles and the writer search ----

    /**
     * Evidence of a role, with the time that it is proven for; the newest claim to be primary wins.
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
                startSearch(group, now, "primary says replica " + member.id);
            }
            return;
        }
        // Guards against confirming a primary that is gone or hangs by a report from before it
        // went.
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
                        + " primary "
                        + member.id
                        + (group.searching
                                ? " found after "
                                        + (long) toMillis(now.minus(group.searchStartedAt))
                                        + " ms, held "
                                        + group.heldWrites.size()
                                : " by claim"));
        group.searching = false;
        // The same primary found again, or a fresh driver's first one, leaves nothing to settle.
        if (formerPrimary != null && formerPrimary != member) {
            group.fastProbeUntil = now.plus(FAST_PROBE_PERIOD);
            // What a former primary still holds of referenced txns goes to the new one.
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
     * It is the primary on record and has not said otherwise since it last claimed to be. Guards
     * against old data: its word may be dated before that claim, and while it is searched for it
     * stays on record.
     */
    private static boolean isConfirmedPrimary(Member member) {
        return member == member.group.primary && member.replicaReportedAt == null;
    }

    private void startSearch(Group group, Duration now, String cause) {
        if (!group.searching) {
            group.searching = true;
            group.searchStartedAt = now;
            group.searchRounds = 0;
            group.nextSearchProbeAt = now;
            log.accept("group " + group.id + " search: " + cause);
            markDirty(group);
        }
    }

    private void continueSearch(Group group, Duration now) {
        group.heldWrites.removeIf(txn -> txn.answered);
        // Guards against many drivers' probes that wait for nothing: after one round the rate is
        // steady.
        boolean idle = group.searchRounds > 0 && group.heldWrites.isEmpty();
        Duration dueAt =
                idle
                        ? group.nextSearchProbeAt.plus(STEADY_PROBE_INTERVAL)
                        : group.nextSearchProbeAt;
        if (now.compareTo(dueAt) >= 0) {
            for (Member member : group.members) {
                probe(member, now);
            }
            // A long search must be no load of its own: the pause grows to the time that a lost
            // probe takes.
            group.searchRounds++;
            Duration longestInterval =
                    max(SEARCH_PROBE_INTERVAL, durationSetting("connect-time-out").multipliedBy(2));
            group.nextSearchProbeAt =
                    now.plus(
                            min(
                                    longestInterval,
                                    scale(
                                            SEARCH_PROBE_INTERVAL,
                                            Math.pow(1.4, group.searchRounds - 1))));
            dueAt = group.nextSearchProbeAt;
        }
        scheduleGroup(group, dueAt);
    }

    /**
     * Fast after a change, but only while work of this driver is out there: else a probe guards
     * nothing.
     */
    private void monitorPrimary(Group group, Member primary, Duration now) {
        boolean fast = now.compareTo(group.fastProbeUntil) < 0 && !primary.outstanding.isEmpty();
        // All drivers together ask a primary ten times a second at rest, a hundred after a change,
        // at most.
        Duration fleetInterval = scale(FAST_PROBE_INTERVAL, numberSetting("drivers"));
        Duration interval =
                fast
                        ? max(FAST_PROBE_INTERVAL, fleetInterval.dividedBy(10))
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

    private boolean probe(Member member, Duration now) {
        if (member.probeInFlight || !flagSetting("may-probe") || mustStop(member, now, true)) {
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
        // Guards against once-only writes lost to a primary that takes work and answers none.
        if (primary == null) {
            startSearch(group, now, "no primary known");
        } else if (checkUnresponsive(primary, now)) {
            startSearch(
                    group,
                    now,
                    "primary silent " + primary.id + " holding " + primary.outstanding.size());
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
                if (primary.outstanding.size() >= submissionLimit(primary, now)
                        || now.compareTo(primary.backoffUntil) < 0) {
                    // Guards against writes held for a crowd that is over: only a newer report ends
                    // it.
                    if (isOverloaded(primary, now)
                            && now.minus(primary.queueReportedAt).compareTo(timeScale.dividedBy(2))
                                    > 0) {
                        probe(primary, now);
                    }
                    scheduleGroup(
                            group, max(primary.backoffUntil, now.plus(Duration.ofMillis(50))));
                    return;
                }
                // First those that can still be in time; those too late for that take what is left.
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
        // Guards a fresh driver whose first list was empty: a group without members holds its txns.
        if (group.heldReads.isEmpty() || group.members.isEmpty()) {
            return;
        }
        // Newest first: under overload those that waited long are late anyway, and get what the
        // others leave.
        for (int pass = 0; pass < 2; pass++) {
            int examinedCount = 0;
            for (Iterator<Txn> iterator = group.heldReads.descendingIterator();
                    iterator.hasNext() && examinedCount < 32; ) {
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
                Member member = chooseReadMember(group, txn, late ? 0.5 : 1, now);
                if (member != null) {
                    iterator.remove();
                    submit(txn, member, now);
                }
            }
        }
    }

    /** What it asks for can hardly be had in time any more. */
    private boolean isTooLateForSla(Txn txn, Duration now) {
        return toMillis(txn.slaDeadline.minus(now)) < baselineResponseMs(txn.type);
    }

    /** The member for a read, which may fill the given part of its room, or null: it waits. */
    private Member chooseReadMember(Group group, Txn txn, double limitShare, Duration now) {
        Duration requiredPosition = requiredPosition(txn, now);
        Member primary = group.primary;
        // Guards against writes held for one stuck connection: a repeatable read asks the silent
        // primary,
        // where such reads of all drivers together are no crowd.
        if (minimumFleetLoad() < 1
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
            // While it is in doubt the primary serves what its proven position allows, as any
            // replica.
            if (isConfirmedPrimary(member) && !group.searching || mustStop(member, now, false)) {
                continue;
            }
            replicaCount++;
            if (isUnavailable(member, now)) {
                continue;
            }
            boolean isFresh =
                    requiredPosition == null
                            || member.position != null
                                    && member.position.compareTo(requiredPosition) >= 0;
            if (!isFresh && membersCheckFreshness && member.lag != null) {
                isFresh = now.minus(member.lag).compareTo(requiredPosition) >= 0;
            }
            boolean hasRoom = member.outstanding.size() < limitShare * submissionLimit(member, now);
            if (!isFresh) {
                if (hasRoom
                        && !isOutstandingOrMissedAt(txn, member)
                        && !isCertainMiss(member, requiredPosition, now)
                        && (leastLagging == null
                                || lagOf(member).compareTo(lagOf(leastLagging)) < 0)) {
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
        // Guards against a crowd that never ends: trials by many drivers keep a low member full of
        // late work.
        if (best != null
                && minimumFleetLoad() > 1
                && best.concurrencyLimit < INITIAL_CONCURRENCY_LIMIT / 2
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
                || isUnavailable(primary, now)
                || mustStop(primary, now, true)) {
            return null;
        }
        // Reads that need the primary leave a part of its room to the writes.
        double hasRoom = limitShare * submissionLimit(primary, now);
        if (replicaCount == 0) {
            return primary.outstanding.size() < hasRoom ? primary : null;
        }
        if (primary.outstanding.size() + 1 > Math.max(Math.min(1, hasRoom), hasRoom * 0.75)) {
            return null;
        }
        if (txn.type.freshness() == Freshness.OWN_WRITES) {
            return primary;
        }
        // By chance, not by turns: a driver with few reads would wait long for its turn.
        txn.maySpillToPrimary =
                txn.maySpillToPrimary == null
                        ? random.nextDouble() < group.spillShare
                        : txn.maySpillToPrimary;
        return txn.maySpillToPrimary ? primary : null;
    }

    /** It was heard lately to be further behind than it would wait for. */
    private boolean isCertainMiss(Member member, Duration requiredPosition, Duration now) {
        return member.lag != null
                && member.positionReportedAt.plus(timeScale.dividedBy(2)).compareTo(now) > 0
                && now.minus(member.lag)
                                .plus(durationSetting("members-hold-for"))
                                .compareTo(requiredPosition)
                        < 0;
    }

    private static Duration lagOf(Member member) {
        return member.lag == null ? Duration.ZERO : member.lag;
    }

    private static boolean isOutstandingOrMissedAt(Txn txn, Member member) {
        return txn.submissions.stream()
                .anyMatch(
                        submission ->
                                submission.member == member
                                        && (submission.isOutstanding()
                                                || submission.outcome == Outcome.MISSED));
    }

    /**
     * The position that a read's data must have reached, or null; a step more than the bound asks
     * for.
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
     * Asks replicas of which too little is known for their position, each not too often for the
     * bound.
     */
    private boolean probeReplicasForPosition(Group group, Txn txn, Duration now) {
        Duration ageLimit =
                txn.type.freshness() == Freshness.RECENT
                        ? txn.type.maxDataAge()
                        : txn.type.slaTime();
        int probedCount = 0;
        int start = random.nextInt(group.members.size());
        for (int i = 0; i < group.members.size() && probedCount < 2; i++) {
            Member member = group.members.get((start + i) % group.members.size());
            if (member != group.primary
                    && !isUnavailable(member, now)
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

    private double cost(Member member, Duration now) {
        double slowness = Math.min(4, Math.max(0.5, slownessRatio(member, now)));
        double zonePenalty =
                member.zone != (int) numberSetting("zone") && numberSetting("price.cross-zone") > 0
                        ? 0.25
                        : 0;
        return (member.outstanding.size() + 0.5) / submissionLimit(member, now) * slowness
                + zonePenalty
                + random.nextDouble() * 0.02;
    }

    private void submit(Txn txn, Member member, Duration now) {
        txn.held = false;
        Submission submission = new Submission(txn, txn.submissions.size(), member, now);
        (txn.submissions.isEmpty() ? firstSubmissionCount : furtherSubmissionCount).add(now, 1);
        txn.submissions.add(submission);
        member.lastProgressAt = member.outstanding.isEmpty() ? now : member.lastProgressAt;
        member.outstanding.add(submission);
        loadByHostClass
                .get(member.hostClass)
                .submittedWorkMs
                .add(now, baselineResponseMs(txn.type));
        member.creditMs = Math.max(0, member.creditMs - baselineResponseMs(txn.type));
        readyDecisions.add(Decision.submit(txn.id, member.id, submission.number, null));
        scheduleEvent(
                min(answerDeadline(txn), now.plus(ofMillis(2 * meanResponseMs(txn.type, now)))),
                txn);
    }

    private void hold(Txn txn, Duration now) {
        if (!txn.answered && !txn.held) {
            txn.held = true;
            (txn.type.requiresPrimary() ? txn.group.heldWrites : txn.group.heldReads).add(txn);
            markDirty(txn.group);
            if (!txn.submissions.isEmpty()) {
                scheduleEvent(now, txn);
            }
        }
    }

    private void checkTxn(Txn txn, Duration now) {
        if (txn.answered) {
            return;
        }
        boolean noSubmissionLeft = txn.submissions.size() >= numberSetting("most-submissions");
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
            if (submission.isOutstanding() && checkUnresponsive(submission.member, now)) {
                resubmitElsewhere(txn, submission, now);
            }
        }
        scheduleEvent(
                min(answerDeadline(txn), now.plus(ofMillis(meanResponseMs(txn.type, now)))), txn);
    }

    /** A submission is out at a member that has gone silent. */
    private void resubmitElsewhere(Txn txn, Submission submission, Duration now) {
        Group group = txn.group;
        if (group.primary == submission.member) {
            startSearch(
                    group,
                    now,
                    "primary silent "
                            + submission.member.id
                            + " holding "
                            + submission.member.outstanding.size());
        }
        if (txn.type.repeatability() != Repeatability.REPEATABLE
                || submission.cancelRequested
                || isTooLateForSla(txn, now)
                || txn.held
                || txn.submissions.size() >= numberSetting("most-submissions")
                || !hasRetryBudget(now)) {
            return;
        }
        if (!flagSetting("second-copies")) {
            cancel(submission);
        } else if (txn.outstandingCount() < 2) {
            txn.held = true;
            (txn.type.requiresPrimary() ? group.heldWrites : group.heldReads).add(txn);
            markDirty(group);
        }
    }

    private void cancel(Submission submission) {
        if (submission.isOutstanding()
                && !submission.cancelRequested
                && flagSetting("may-cancel")) {
            submission.cancelRequested = true;
            readyDecisions.add(Decision.cancel(submission.txn.id, submission.number));
        }
    }

    /** The final answer: a decline where a retry is harmless, else a rollback. */
    private void answerFailure(Txn txn, Duration now) {
        boolean retryIsHarmless =
                txn.type.repeatability() == Repeatability.REPEATABLE
                        || !txn.mayHaveRun()
                        || txn.type.repeatability() == Repeatability.REFERENCED
                                && txn.type.everyMemberDropsRepeats();
        // A client that can still be in time may come back at once; one that is too late better
        // waits.
        boolean adviseRetryDelay = flagSetting("may-advise-come-back") && isTooLateForSla(txn, now);
        readyDecisions.add(
                !retryIsHarmless
                        ? Decision.rollBack(txn.id)
                        : Decision.decline(
                                txn.id,
                                adviseRetryDelay ? durationSetting("longest-come-back") : null));
        close(txn);
    }

    private void close(Txn txn) {
        txn.answered = true;
        txn.held = false;
        openTxns.remove(txn.id);
    }

    /** When a held txn is given up: what it waits for could no longer be of use by then. */
    private Duration giveUpAt(Txn txn, Duration now) {
        Duration expectedTime =
                ofMillis(Math.max(baselineResponseMs(txn.type), meanResponseMs(txn.type, now)));
        Duration latestUsefulStart =
                (txn.type.lateShare() > 0 ? txn.expiresAt : min(txn.slaDeadline, txn.expiresAt))
                        .minus(expectedTime);
        if (txn.type.lateShare() == 0) {
            // Half of it: a client that asks again may then still be served in time.
            latestUsefulStart =
                    min(
                            latestUsefulStart,
                            txn.arrivedAt.plus(
                                    txn.type.slaTime().minus(expectedTime).dividedBy(2)));
        }
        return min(answerDeadline(txn), max(txn.arrivedAt.plus(granularity), latestUsefulStart));
    }

    private Duration answerDeadline(Txn txn) {
        return txn.expiresAt.minus(granularity);
    }

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
                        && (txn.outstandingCount() == 0 || flagSetting("second-copies"))
                        && txn.submissions.size() < numberSetting("most-submissions")
                        && hasRetryBudget(now);
    }

    /** Further submissions follow the share of recent ones that succeeded. */
    private boolean hasRetryBudget(Duration now) {
        double successShare = (committedCount.valueAt(now) + 1) / (endedCount.valueAt(now) + 1);
        return furtherSubmissionCount.valueAt(now)
                < 4 + 0.5 * successShare * firstSubmissionCount.valueAt(now);
    }

    // ---- members' health ----

    private void recordResponseTime(Member member, Txn txn, Duration responseTime, Duration now) {
        for (ResponseTimes times :
                new ResponseTimes[] {
                    responseTimes[txn.type.index()], responseTimesOf(member)[txn.type.index()]
                }) {
            times.add(now, toMillis(responseTime));
            // A low mean that rises only slowly; the mean of a few is no ground for it.
            times.baselineMs =
                    times.sampleCount.valueAt(now) < 16
                            ? times.baselineMs
                            : Math.min(times.baselineMs * 1.0002, times.meanMs(now));
        }
        member.answerCount.add(now, 1);
        member.slownessSum.add(now, toMillis(responseTime) / targetResponseMs(member, txn.type));
        // Guards against replicas that fall behind as they are crowded: a lag well inside the bound
        // lowers
        // the limit while it grows, else keeps it from rising. Where answers are quick it has
        // another cause.
        boolean lagging =
                member != member.group.primary
                        && lagOf(member).compareTo(shortestAgeLimit.dividedBy(4)) > 0
                        && slownessRatio(member, now) > 0.75;
        boolean lagIsGrowing = lagOf(member).compareTo(member.previousLag) > 0;
        member.previousLag = lagOf(member);
        if (slownessRatio(member, now) > 1 || lagging && lagIsGrowing) {
            member.concurrencyLimit =
                    Math.max(
                            1,
                            Math.min(member.concurrencyLimit, member.outstanding.size() + 1)
                                    * 0.75);
        } else if (!lagging && member.outstanding.size() + 1 >= member.concurrencyLimit - 1) {
            member.concurrencyLimit += 1 / member.concurrencyLimit;
        }
        if (member == txn.group.primary && !txn.type.isUpdate()) {
            txn.group.spillShare =
                    slownessRatio(member, now) > 1
                            ? Math.max(MIN_SPILL_SHARE, txn.group.spillShare * 0.8)
                            : Math.min(1, txn.group.spillShare * 1.5);
        }
    }

    /** What an answer may take of a member that is used but not crowded. */
    private double targetResponseMs(Member member, TxnType type) {
        double baselineMs = responseTimesOf(member)[type.index()].baselineMs;
        return Math.sqrt(baselineMs * toMillis(type.slaTime()));
    }

    private ResponseTimes[] responseTimesOf(Member member) {
        return responseTimesByHostClass.computeIfAbsent(member.hostClass, k -> newResponseTimes());
    }

    private ResponseTimes[] newResponseTimes() {
        ResponseTimes[] times = new ResponseTimes[txnTypes.length];
        for (int i = 0; i < times.length; i++) {
            times[i] =
                    new ResponseTimes(
                            timeScale.multipliedBy(4), toMillis(txnTypes[i].slaTime()) / 4);
        }
        return times;
    }

    private double slownessRatio(Member member, Duration now) {
        return (member.slownessSum.valueAt(now) + 0.5) / (member.answerCount.valueAt(now) + 1);
    }

    private double meanResponseMs(TxnType type, Duration now) {
        return responseTimes[type.index()].meanMs(now);
    }

    private double baselineResponseMs(TxnType type) {
        return responseTimes[type.index()].baselineMs;
    }

    /**
     * Silent: its work has waited, all together, several usual answer times since its last sign.
     */
    private boolean checkUnresponsive(Member member, Duration now) {
        if (member.unresponsive || member.outstanding.isEmpty()) {
            return member.unresponsive;
        }
        double waitedMeanTimes = 0;
        for (Submission submission : member.outstanding) {
            // One that later answers have overtaken by far is stuck by itself: it says nothing of
            // the member.
            double meanMs = meanResponseMs(submission.txn.type, now);
            waitedMeanTimes +=
                    toMillis(member.lastProgressAt.minus(submission.sentAt))
                                    > UNRESPONSIVE_AFTER_MEAN_TIMES * meanMs
                            ? 0
                            : toMillis(now.minus(max(submission.sentAt, member.lastProgressAt)))
                                    / meanMs;
        }
        // The last sign must be a usual answer time away as well: many out are no reason to doubt
        // sooner.
        Txn firstTxn = member.outstanding.iterator().next().txn;
        if (waitedMeanTimes > UNRESPONSIVE_AFTER_MEAN_TIMES
                && toMillis(now.minus(member.lastProgressAt))
                        > meanResponseMs(firstTxn.type, now)) {
            member.unresponsive = true;
            log.accept(
                    "member "
                            + member.id
                            + " silent for "
                            + (long) toMillis(now.minus(member.lastProgressAt))
                            + " ms holding "
                            + member.outstanding.size());
        }
        return member.unresponsive;
    }

    /** Not to be used now: silent, or left alone after faults. */
    private boolean isUnavailable(Member member, Duration now) {
        return now.compareTo(member.backoffUntil) < 0 || checkUnresponsive(member, now);
    }

    private void recordAnswer(Member member, Duration now, Outcome outcome) {
        member.lastProgressAt = now;
        if (member.unresponsive) {
            member.unresponsive = false;
            log.accept("member " + member.id + " answers again");
        }
        if (outcome == Outcome.FULL) {
            member.concurrencyLimit = Math.max(1, member.concurrencyLimit / 2);
            member.backoffUntil =
                    max(member.backoffUntil, now.plus(ofMillis(baselineResponseMs(txnTypes[0]))));
        } else {
            member.consecutiveFailures = 0;
            // Guards against pushing over one that is back before the list says so: out of reach
            // for a while.
            if (member.unreachableSince != null
                    && now.minus(member.unreachableSince).compareTo(timeScale) > 0) {
                member.startedAt = now;
                member.creditUpdatedAt = null;
            }
            member.unreachableSince = null;
        }
    }

    /**
     * Whether it still lives is asked of the primary alone; should that fail, the search begins.
     */
    private void recordConnectionRefusal(Member member, Duration now) {
        refusedConnectionCount.add(now, 1);
        member.consecutiveFailures++;
        member.unreachableSince =
                member.unreachableSince == null && member.outstanding.isEmpty()
                        ? now
                        : member.unreachableSince;
        Duration backoff =
                ofMillis(
                        baselineResponseMs(txnTypes[0])
                                / 4
                                * Math.pow(2, Math.min(member.consecutiveFailures, 4)));
        member.backoffUntil = now.plus(scale(backoff, 0.75 + 0.5 * random.nextDouble()));
        if (member == member.group.primary && !member.group.searching && !probe(member, now)) {
            startSearch(member.group, now, "no connection to " + member.id);
        }
    }

    private void recordFailure(Member member, Duration now, Outcome outcome) {
        member.consecutiveFailures++;
        if (member.unreachableSince == null
                && (outcome == Outcome.UNREACHABLE || outcome == Outcome.RESET)) {
            member.unreachableSince = now;
        }
        // One broken connection among answers is no loss; with the next it is left alone for a
        // while.
        if (member.consecutiveFailures < 2
                && (outcome == Outcome.RESET || outcome == Outcome.UNREACHABLE)) {
            return;
        }
        Duration backoff =
                scale(
                        max(Duration.ofMillis(250), durationSetting("connect-time-out")),
                        Math.pow(2, Math.min(member.consecutiveFailures - 1, 3)));
        member.backoffUntil = now.plus(scale(backoff, 0.75 + 0.5 * random.nextDouble()));
    }

    /** How many submissions the member may hold of this driver. */
    private double submissionLimit(Member member, Duration now) {
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
                && refillCredit(member, now) < baselineResponseMs(txnTypes[0])) {
            return 0;
        }
        return member.consecutiveFailures > 1
                        || member.consecutiveFailures > 0 && now.compareTo(member.backoffUntil) < 0
                ? 1
                : member.concurrencyLimit;
    }

    /**
     * Its own report shows more waiting than is answered in time; one that shows little proves
     * nothing.
     */
    private boolean isOverloaded(Member member, Duration now) {
        return member.queueReportedAt != null
                && member.queueLength * baselineResponseMs(txnTypes[0]) > toMillis(timeScale) / 2
                && now.minus(member.queueReportedAt)
                                .compareTo(scale(timeScale, Math.max(4, minimumFleetLoad())))
                        < 0;
    }

    /**
     * One submission of each driver at one member, in the updates' SLA times: what limits of one
     * come to.
     */
    private double minimumFleetLoad() {
        return numberSetting("drivers") * baselineResponseMs(txnTypes[0]) / toMillis(timeScale);
    }

    // Work that may be sent, saved up at a rate, as rates add up over many drivers. A cold member
    // gets a warm
    // one's, times its warm part and 0.6 of the multiple; a replica of low limit what it answers in
    // time.
    private double refillCredit(Member member, Duration now) {
        double baselineMs = baselineResponseMs(txnTypes[0]);
        double capacityShare = capacityShare(member, now);
        double creditPerMs =
                Math.min(
                        baselineMs / toMillis(timeScale.multipliedBy(8)),
                        0.5 / numberSetting("drivers"));
        double maxCreditMs = 2 * baselineMs;
        if (capacityShare < 1) {
            HostClassLoad load = loadByHostClass.get(member.hostClass);
            if (load.countedAt == null
                    || now.minus(load.countedAt).compareTo(durationSetting("fall")) > 0) {
                load.countedAt = now;
                // Each counts whole: by warm parts, many that start at once would each get the
                // share of few.
                load.memberCount =
                        members.values().stream()
                                .filter(
                                        other ->
                                                other.listed && other.hostClass == member.hostClass)
                                .count();
            }
            creditPerMs =
                    Math.max(
                            baselineMs / toMillis(warmUpPeriod),
                            capacityShare
                                    * numberSetting("fall-multiple")
                                    * 0.6
                                    * load.submittedWorkMs.valueAt(now)
                                    * Math.log(2)
                                    / toMillis(load.halfLife)
                                    / Math.max(1, load.memberCount));
            maxCreditMs = baselineMs + creditPerMs * toMillis(durationSetting("fall")) / 4;
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

    private double capacityShare(Member member, Duration now) {
        if (member.startedAt == null || warmUpPeriod.isZero()) {
            return 1;
        }
        double warmUpProgress = toMillis(now.minus(member.startedAt)) / toMillis(warmUpPeriod);
        return warmUpProgress >= 1
                ? 1
                : numberSetting("cold-share")
                        + (1 - numberSetting("cold-share")) * Math.max(0, warmUpProgress);
    }

    /**
     * Nothing new goes there; a primary is used on for most of the grace, until it has handed over.
     */
    private boolean mustStop(Member member, Duration now, boolean asPrimary) {
        // Where the list does not prove who is gone, the txn path does: faults there leave a member
        // alone.
        if (member.stopLearnedAt == null
                || member.gone && !member.drainSeen && flagSetting("removal-not-binding")) {
            return false;
        }
        Duration grace =
                asPrimary && !member.gone
                        ? durationSetting("drain-grace").minus(granularity.multipliedBy(2))
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
     * Where the list must be asked for: follow it, again after failures and when it was quiet for
     * long.
     */
    private void scheduleMemberListRequest(Duration dueAt) {
        nextMemberListRequestAt = dueAt;
        scheduleEvent(dueAt, dueAt);
    }

    private void markDirty(Group group) {
        if (!group.dirty) {
            group.dirty = true;
            dirtyGroups.add(group);
        }
    }

    private void scheduleGroup(Group group, Duration dueAt) {
        if (group.nextPassAt == null || dueAt.compareTo(group.nextPassAt) < 0) {
            group.nextPassAt = dueAt;
            scheduleEvent(dueAt, group);
        }
    }

    private void scheduleEvent(Duration dueAt, Object target) {
        scheduledEvents.add(new ScheduledEvent(dueAt, nextEventSequence++, target));
    }

    private double numberSetting(String name) {
        return settings.get(name) instanceof Double d ? d : 0;
    }

    private Duration durationSetting(String name) {
        return settings.get(name) instanceof Duration d ? d : Duration.ZERO;
    }

    private boolean flagSetting(String name) {
        return Boolean.TRUE.equals(settings.get(name));
    }
}
