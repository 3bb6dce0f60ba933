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
    private static final Duration STEADY_PROBE = Duration.ofSeconds(5);

    private static final Duration WATCH_PROBE = Duration.ofMillis(100);
    private static final Duration WATCH_SPAN = Duration.ofSeconds(30);
    private static final Duration SEARCH_PAUSE = Duration.ofMillis(100);
    private static final double SPILL_SHARE = 0.1;

    /** Reads that may be sent to a group, as a multiple of those answered in time of late. */
    private static final double IN_TIME_MULTIPLE = 1.25;

    /**
     * Work that a member may leave unanswered, in usual answer times, before it counts as silent.
     */
    private static final double PATIENCE = 4;

    /** How many submissions a member gets at once before its answers have set its limit. */
    private static final double FIRST_LIMIT = 8;

    /** After so long a session's last write is no longer told from those of others. */
    private static final Duration SESSION_MEMORY = Duration.ofSeconds(60);

    private record Alarm(Duration at, long number, Object what) {}

    private final Map<String, Object> terms;
    private final Random random;
    private final Consumer<String> log;
    private final TxnType[] types;

    /** How long each txn type takes, over all members and by their kind. */
    private final ResponseTimes[] took;

    private final Map<Integer, ResponseTimes[]> tookByKind = new HashMap<>();
    private final Map<Integer, HostClassLoad> sentToKind = new LinkedHashMap<>();
    private final DecayingSum firsts;
    private final DecayingSum furthers;
    private final DecayingSum ended;
    private final DecayingSum committed;

    /** Submissions that lately found no connection at a member that lives. */
    private final DecayingSum refused;

    private final Duration[] longestTry;
    private final Duration memory;

    /** The shortest age that a read's data may have. */
    private final Duration bound;

    private final Duration step;
    private final Duration cold;
    private final boolean checked;
    private final boolean ask;

    private final Map<Long, Member> members = new LinkedHashMap<>();
    private final Map<Integer, Group> groups = new LinkedHashMap<>();
    private final Map<String, Txn> txns = new HashMap<>();
    private final Map<Long, Duration> sessionWrites = new LinkedHashMap<>(16, 0.75f, true);

    /** The latest of those sessions' writes that are no longer told apart, or null. */
    private Duration oldWrites;

    private final ArrayDeque<Decision> ready = new ArrayDeque<>();
    private final ArrayDeque<Group> dirty = new ArrayDeque<>();
    private final PriorityQueue<Alarm> alarms =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at.equals(b.at)
                                    ? Long.compare(a.number, b.number)
                                    : a.at.compareTo(b.at));
    private long alarmNumber;
    private boolean listWhole;
    private final List<Member> listNamed = new ArrayList<>();
    private int listFailures;
    private Duration listAt;

    public TxnRouter(Map<String, Object> terms, long seed, Consumer<String> log) {
        this.terms = terms;
        this.random = new Random(seed);
        this.log = log;
        this.step = time("step");
        this.cold = time("cold");
        this.checked = !terms.getOrDefault("members-check", "silent").equals("silent");
        this.ask = "ask".equals(terms.get("member-list"));
        this.types = TxnType.fromSettings(terms);
        this.longestTry = new Duration[types.length];
        Arrays.fill(longestTry, Duration.ZERO);
        // Updates set the pace, since the roles are about their member: guards against one txn type
        // that
        // takes many times longer than the rest and would stretch what is remembered of all.
        Duration pace = Duration.ofSeconds(1);
        Duration shortest = null;
        for (TxnType type : types) {
            pace = type.isUpdate() ? max(pace, type.slaTime()) : pace;
            Duration age = type.maxDataAge();
            shortest = age.isZero() ? shortest : shortest == null ? age : min(shortest, age);
        }
        this.memory = pace;
        this.bound = shortest == null ? pace : shortest;
        this.took = newTook();
        Duration span = pace.multipliedBy(4);
        this.firsts = new DecayingSum(span);
        this.furthers = new DecayingSum(span);
        this.ended = new DecayingSum(span);
        this.committed = new DecayingSum(span);
        this.refused = new DecayingSum(pace);
    }

    // ---- inputs: they only update what is known ----

    @Override
    public void memberListStarted(Duration now, boolean whole) {
        listWhole = whole;
        listNamed.clear();
    }

    @Override
    public void memberListed(
            Duration now,
            long id,
            int group,
            int zone,
            int kind,
            double weight,
            boolean primary,
            boolean draining,
            boolean gone,
            Duration startedAt) {
        Member m = members.computeIfAbsent(id, i -> new Member(i, memory));
        if (m.group == null) {
            m.group = groups.computeIfAbsent(group, i -> new Group(i, SPILL_SHARE));
            m.group.members.add(m);
            m.concurrencyLimit = FIRST_LIMIT;
        }
        m.zone = zone;
        m.hostClass = kind;
        sentToKind.computeIfAbsent(kind, k -> new HostClassLoad(memory.multipliedBy(4)));
        m.drainSeen |= draining;
        if (startedAt != null && (m.startedAt == null || startedAt.compareTo(m.startedAt) > 0)) {
            m.startedAt = startedAt;
            m.creditUpdatedAt = null;
            m.concurrencyLimit = Math.max(1, FIRST_LIMIT * warmth(m, now));
        }
        m.stopLearnedAt =
                !draining && !gone ? null : m.stopLearnedAt == null ? now : m.stopLearnedAt;
        m.gone = gone;
        m.listed = !gone;
        listNamed.add(m);
        if (primary
                && !gone
                && m.group.primary == null
                && "late".equals(terms.get("role-in-list"))) {
            m.group.primary = m;
        }
        touch(m.group);
    }

    @Override
    public void memberListEnded(Duration now) {
        for (Iterator<Member> i = members.values().iterator(); i.hasNext(); ) {
            Member m = i.next();
            if (listWhole && !listNamed.contains(m)) {
                m.listed = false;
                m.stopLearnedAt = m.stopLearnedAt == null ? now : m.stopLearnedAt;
                m.gone = true;
            }
            // What is gone and holds nothing is let go; where the list does not bind, once it is
            // lost long.
            boolean lost =
                    m.unreachableSince != null
                            && now.minus(m.unreachableSince).compareTo(max(cold, memory)) > 0;
            boolean held = !m.outstanding.isEmpty() || m.probeInFlight || m == m.group.primary;
            if (m.gone && !held && (lost || mustStop(m, now, false))) {
                m.group.members.remove(m);
                i.remove();
            }
        }
        listFailures = 0;
        if (ask) {
            askListAt(listAt == null ? now : now.plus(time("ask-within").dividedBy(2)));
        }
    }

    @Override
    public void memberListFailed(Duration now) {
        // Guards against asking without a pause: where lists are pushed, the settings name no time
        // for it.
        if (!ask) {
            return;
        }
        listFailures++;
        Duration pause = scale(time("ask-within"), Math.pow(2, Math.min(listFailures, 4) - 6));
        askListAt(now.plus(scale(pause, 0.5 + random.nextDouble())));
    }

    @Override
    public void txnArrived(
            Duration now,
            String id,
            int type,
            int group,
            Duration left,
            long session,
            Duration sinceWrite,
            boolean retry,
            Duration waited) {
        Group g = groups.computeIfAbsent(group, i -> new Group(i, SPILL_SHARE));
        Txn t = new Txn(id, types[type], g, now.minus(waited), now.plus(left), session, retry);
        // The SLA time runs from the first try. One with less time than others of its type is a
        // later one and
        // tells when the first was; where retries are marked, one without a mark has little
        // patience.
        Duration given = left.plus(waited);
        longestTry[type] = max(longestTry[type], given);
        if (given.plus(step).compareTo(longestTry[type]) < 0
                && (retry || !flag("clients-mark-retries"))) {
            t.slaDeadline = t.slaDeadline.minus(max(Duration.ZERO, t.type.expiry().minus(given)));
        }
        if (t.type.freshness() == Freshness.OWN_WRITES) {
            t.requiredPosition =
                    "client".equals(terms.get("session-marks"))
                            ? sinceWrite == null ? null : now.minus(sinceWrite)
                            : sessionWrites.getOrDefault(session, oldWrites);
        }
        txns.put(id, t);
        hold(t, now);
        alarm(giveUpAt(t, now), t);
    }

    @Override
    public void submissionEnded(
            Duration now,
            String id,
            int number,
            long member,
            Outcome end,
            Duration took,
            boolean over,
            Role role,
            Duration position) {
        Member m = members.get(member);
        Txn t = txns.get(id);
        Submission s =
                m.outstanding.stream()
                        .filter(o -> o.txn.id.equals(id) && o.number == number)
                        .findAny()
                        .get();
        m.outstanding.remove(s);
        m.endedSinceLastPass = true;
        s.outcome = end;
        // Guards against a member that lives but takes no further connection: a no at once, and
        // nothing ran.
        boolean turnedAway =
                end == Outcome.UNREACHABLE
                        && took.compareTo(time("connect-time-out").dividedBy(2)) < 0;
        ended.add(now, 1);
        if (end == Outcome.COMMITTED) {
            committed.add(now, 1);
            measure(m, s.txn, took, now);
            if (warmth(m, now) >= 1 && took.compareTo(s.txn.type.slaTime()) <= 0) {
                m.creditMs += IN_TIME_MULTIPLE * calm(s.txn.type);
            }
            if (s.txn.type.isUpdate()
                    && s.txn.session >= 0
                    && position != null
                    && "router".equals(terms.get("session-marks"))) {
                sessionWrites.merge(s.txn.session, position, Durations::max);
                forgetWrites(now);
            }
        }
        if (end == Outcome.TIMED_OUT) {
            m.concurrencyLimit =
                    Math.max(1, Math.min(m.concurrencyLimit, m.outstanding.size() + 1) * 0.75);
        }
        if (end == Outcome.COMMITTED
                || end == Outcome.MISSED
                || end == Outcome.ERROR
                || end == Outcome.FULL) {
            signOfLife(m, now, end);
        } else if (turnedAway) {
            turnedAway(m, now);
        } else if (end != Outcome.CANCELLED
                && end != Outcome.MOOT
                && !(end == Outcome.TIMED_OUT && m.lastProgressAt.compareTo(s.sentAt) > 0)) {
            fault(m, now, end);
        }
        if (m.unresponsive && m.outstanding.isEmpty()) {
            m.unresponsive = false;
            fault(m, now, end);
        }
        if (role != Role.UNKNOWN) {
            heard(m, role, now, now);
        }
        heardPosition(m, position, now);
        Group g = m.group;
        if (s.txn.type.isUpdate()
                && g.primary == m
                && (end == Outcome.MISSED
                        || end == Outcome.ERROR
                        || end == Outcome.UNREACHABLE && !turnedAway
                        || end == Outcome.RESET
                        || end == Outcome.TIMED_OUT)) {
            search(g, now, "write " + end + " at " + m.id);
        }
        touch(g);
        if (t != null && over) {
            close(t);
        } else if (t != null && t.outstandingCount() == 0) {
            hold(t, now);
        }
    }

    private void forgetWrites(Duration now) {
        Iterator<Duration> i = sessionWrites.values().iterator();
        for (Duration d = i.next();
                now.minus(d).compareTo(SESSION_MEMORY) > 0 && i.hasNext();
                d = i.next()) {
            oldWrites = oldWrites == null ? d : max(oldWrites, d);
            i.remove();
        }
    }

    @Override
    public boolean knowsMember(long member) {
        return members.containsKey(member);
    }

    @Override
    public void memberReported(
            Duration now,
            long member,
            Role role,
            Duration position,
            double held,
            double waiting,
            double busy) {
        Member m = members.get(member);
        // A primary's position is the time of its report, a replica's is never later: it dates the
        // role.
        if (role != Role.UNKNOWN && position != null) {
            heard(m, role, position, now);
        }
        heardPosition(m, position, now);
        if (!Double.isNaN(waiting)) {
            m.queueLength = waiting;
            m.queueReportedAt = now;
        }
        touch(m.group);
    }

    @Override
    public void probeEnded(Duration now, long member, boolean answered, Duration took) {
        Member m = members.get(member);
        m.probeInFlight = false;
        if (!answered) {
            m.unreachableSince = m.unreachableSince == null ? now : m.unreachableSince;
            if (m.group.primary == m) {
                search(m.group, now, "probe failed at " + m.id);
            }
        }
        touch(m.group);
    }

    @Override
    public void txnAbandoned(Duration now, String id) {
        Txn t = txns.get(id);
        if (t != null) {
            // Nobody waits for it: what is still out would only be work for nothing.
            t.submissions.forEach(this::cancel);
            close(t);
        }
    }

    @Override
    public void answerAllBy(Duration now, Duration by) {
        for (Txn t : txns.values()) {
            if (t.expiresAt.compareTo(by) > 0) {
                t.expiresAt = by;
                alarm(endAt(t), t);
            }
        }
    }

    /**
     * Guards the rules on drains, old data, answered txns and repeats, and writes for a primary
     * that has moved, against changes while a connection opens: a window may end meanwhile.
     */
    @Override
    public boolean mayStillSend(Duration now, String id, long member) {
        Txn t = txns.get(id);
        Member m = members.get(member);
        Duration need = t == null || checked || stands(m) ? null : needs(t, now);
        return t != null
                && !mustStop(m, now, m == m.group.primary)
                && (!t.type.requiresPrimary()
                        || (t.type.isUpdate() ? m == m.group.primary : stands(m)))
                && (mayRepeat(t, now)
                        || t.submissions.stream()
                                .noneMatch(s -> !s.isOutstanding() && s.mayHaveRun()))
                && (need == null || m.position != null && m.position.compareTo(need) >= 0);
    }

    // ---- decisions ----

    @Override
    public Decision nextDecision(Duration now) {
        while (true) {
            if (!ready.isEmpty()) {
                return ready.poll();
            }
            Alarm a = alarms.peek();
            if (a != null && a.at.compareTo(now) <= 0) {
                alarms.poll();
                if (a.what instanceof Txn t) {
                    check(t, now);
                } else if (a.what instanceof Group g) {
                    g.nextPassAt = null;
                    touch(g);
                } else if (a.what == listAt) {
                    askListAt(now.plus(time("ask-within").dividedBy(4)));
                    return Decision.followList();
                }
            } else if (!dirty.isEmpty()) {
                Group g = dirty.poll();
                g.dirty = false;
                decide(g, now);
            } else {
                return null;
            }
        }
    }

    @Override
    public Duration wakeAt() {
        return alarms.isEmpty() ? null : alarms.peek().at;
    }

    private void decide(Group g, Duration now) {
        Member p = g.primary;
        if (p != null && !g.searching && mustStop(p, now, true)) {
            search(g, now, "primary told to stop " + p.id);
        }
        placeWrites(g, now);
        placeReads(g, now);
        if (g.searching) {
            searchOn(g, now);
        } else if (g.primary != null) {
            watch(g, g.primary, now);
        }
        // Guards against members that take few connections: one that stands idle here keeps all
        // others out.
        for (Member m : g.members) {
            if (m.endedSinceLastPass && m.outstanding.isEmpty() && refused.valueAt(now) > 1) {
                ready.add(Decision.release(m.id));
            }
            m.endedSinceLastPass = false;
        }
    }

    // ---- roles and the writer search ----

    /**
     * Evidence of a role, with the time that it is proven for; the newest claim to be primary wins.
     */
    private void heard(Member m, Role role, Duration at, Duration now) {
        Group g = m.group;
        m.replicaReportedAt = role == Role.REPLICA ? now : m.replicaReportedAt;
        if (m.roleProvenAt != null && at.compareTo(m.roleProvenAt) < 0) {
            return;
        }
        m.roleProvenAt = at;
        if (role == Role.REPLICA) {
            if (g.primary == m
                    && (g.primaryClaimAt == null || at.compareTo(g.primaryClaimAt) > 0)) {
                search(g, now, "primary says replica " + m.id);
            }
            return;
        }
        // Guards against confirming a primary that is gone or hangs by a report from before it
        // went.
        if (g.primaryClaimAt != null && at.compareTo(g.primaryClaimAt) < 0
                || g.primary == m
                        && g.searching
                        && (at.compareTo(g.searchStartedAt) <= 0
                                || m.unresponsive
                                || m.unreachableSince == null
                                        && m.backoffUntil.compareTo(now) > 0)) {
            return;
        }
        m.replicaReportedAt =
                m.replicaReportedAt != null && at.compareTo(m.replicaReportedAt) < 0
                        ? m.replicaReportedAt
                        : null;
        if (g.primary == m && !g.searching) {
            g.primaryClaimAt = at;
            return;
        }
        Member old = g.primary;
        g.primary = m;
        g.primaryClaimAt = at;
        m.backoffUntil = min(m.backoffUntil, now);
        log.accept(
                "group "
                        + g.id
                        + " primary "
                        + m.id
                        + (g.searching
                                ? " found after "
                                        + (long) toMillis(now.minus(g.searchStartedAt))
                                        + " ms, held "
                                        + g.heldWrites.size()
                                : " by claim"));
        g.searching = false;
        // The same primary found again, or a fresh driver's first one, leaves nothing to settle.
        if (old != null && old != m) {
            g.fastProbeUntil = now.plus(WATCH_SPAN);
            // What a former primary still holds of referenced txns goes to the new one.
            for (Submission s : old.outstanding) {
                if (s.txn.type.repeatability() == Repeatability.REFERENCED && !s.txn.answered) {
                    cancel(s);
                }
            }
        }
        touch(g);
    }

    /**
     * It is the primary on record and has not said otherwise since it last claimed to be. Guards
     * against old data: its word may be dated before that claim, and while it is searched for it
     * stays on record.
     */
    private static boolean stands(Member m) {
        return m == m.group.primary && m.replicaReportedAt == null;
    }

    private void search(Group g, Duration now, String cause) {
        if (!g.searching) {
            g.searching = true;
            g.searchStartedAt = now;
            g.searchRounds = 0;
            g.nextSearchProbeAt = now;
            log.accept("group " + g.id + " search: " + cause);
            touch(g);
        }
    }

    private void searchOn(Group g, Duration now) {
        g.heldWrites.removeIf(t -> t.answered);
        // Guards against many drivers' probes that wait for nothing: after one round the rate is
        // steady.
        boolean idle = g.searchRounds > 0 && g.heldWrites.isEmpty();
        Duration due = idle ? g.nextSearchProbeAt.plus(STEADY_PROBE) : g.nextSearchProbeAt;
        if (now.compareTo(due) >= 0) {
            for (Member m : g.members) {
                probe(m, now);
            }
            // A long search must be no load of its own: the pause grows to the time that a lost
            // probe takes.
            g.searchRounds++;
            Duration most = max(SEARCH_PAUSE, time("connect-time-out").multipliedBy(2));
            g.nextSearchProbeAt =
                    now.plus(min(most, scale(SEARCH_PAUSE, Math.pow(1.4, g.searchRounds - 1))));
            due = g.nextSearchProbeAt;
        }
        wake(g, due);
    }

    /**
     * Fast after a change, but only while work of this driver is out there: else a probe guards
     * nothing.
     */
    private void watch(Group g, Member p, Duration now) {
        boolean fast = now.compareTo(g.fastProbeUntil) < 0 && !p.outstanding.isEmpty();
        // All drivers together ask a primary ten times a second at rest, a hundred after a change,
        // at most.
        Duration all = scale(WATCH_PROBE, number("drivers"));
        Duration every = fast ? max(WATCH_PROBE, all.dividedBy(10)) : max(STEADY_PROBE, all);
        Duration last = p.lastProbeAt == null ? g.primaryClaimAt : p.lastProbeAt;
        Duration due = last == null ? now : last.plus(every);
        if (now.compareTo(due) >= 0) {
            probe(p, now);
            due = now.plus(every);
        }
        wake(g, due);
    }

    private boolean probe(Member m, Duration now) {
        if (m.probeInFlight || !flag("may-probe") || mustStop(m, now, true)) {
            return false;
        }
        m.probeInFlight = true;
        m.lastProbeAt = now;
        ready.add(Decision.probe(m.id));
        return true;
    }

    private void placeWrites(Group g, Duration now) {
        if (g.heldWrites.isEmpty()) {
            return;
        }
        Member p = g.primary;
        // Guards against once-only writes lost to a primary that takes work and answers none.
        if (p == null) {
            search(g, now, "no primary known");
        } else if (quiet(p, now)) {
            search(g, now, "primary silent " + p.id + " holding " + p.outstanding.size());
        }
        if (g.searching) {
            return;
        }
        for (int pass = 0; pass < 2; pass++) {
            for (Iterator<Txn> i = g.heldWrites.iterator(); i.hasNext(); ) {
                Txn t = i.next();
                if (t.answered) {
                    i.remove();
                    continue;
                }
                if (t.type.freshness() == Freshness.LATEST && !stands(p)) {
                    probe(p, now);
                    continue;
                }
                if (p.outstanding.size() >= room(p, now) || now.compareTo(p.backoffUntil) < 0) {
                    // Guards against writes held for a crowd that is over: only a newer report ends
                    // it.
                    if (crowded(p, now)
                            && now.minus(p.queueReportedAt).compareTo(memory.dividedBy(2)) > 0) {
                        probe(p, now);
                    }
                    wake(g, max(p.backoffUntil, now.plus(Duration.ofMillis(50))));
                    return;
                }
                // First those that can still be in time; those too late for that take what is left.
                if (pass == 0 && late(t, now)) {
                    continue;
                }
                if (mayGoAgain(t, now)) {
                    i.remove();
                    submit(t, p, now);
                }
            }
        }
    }

    private void placeReads(Group g, Duration now) {
        // Guards a fresh driver whose first list was empty: a group without members holds its txns.
        if (g.heldReads.isEmpty() || g.members.isEmpty()) {
            return;
        }
        // Newest first: under overload those that waited long are late anyway, and get what the
        // others leave.
        for (int pass = 0; pass < 2; pass++) {
            int looked = 0;
            for (Iterator<Txn> i = g.heldReads.descendingIterator(); i.hasNext() && looked < 32; ) {
                Txn t = i.next();
                if (t.answered) {
                    i.remove();
                    continue;
                }
                boolean last = late(t, now);
                if (last != (pass == 1) || !mayGoAgain(t, now)) {
                    continue;
                }
                looked++;
                Member m = choose(g, t, last ? 0.5 : 1, now);
                if (m != null) {
                    i.remove();
                    submit(t, m, now);
                }
            }
        }
    }

    /** What it asks for can hardly be had in time any more. */
    private boolean late(Txn t, Duration now) {
        return toMillis(t.slaDeadline.minus(now)) < calm(t.type);
    }

    /** The member for a read, which may fill the given part of its room, or null: it waits. */
    private Member choose(Group g, Txn t, double part, Duration now) {
        Duration need = needs(t, now);
        Member p = g.primary;
        // Guards against writes held for one stuck connection: a repeatable read asks the silent
        // primary,
        // where such reads of all drivers together are no crowd.
        if (crowd() < 1
                && g.searching
                && p != null
                && p.unresponsive
                && stands(p)
                && !mustStop(p, now, true)
                && t.type.repeatability() == Repeatability.REPEATABLE
                && p.outstanding.stream()
                        .allMatch(s -> s.sentAt.compareTo(g.searchStartedAt) < 0)) {
            return p;
        }
        Member best = null;
        Member leastBehind = null;
        double bestCost = 0;
        int replicas = 0;
        int fresh = 0;
        for (Member m : g.members) {
            // While it is in doubt the primary serves what its proven position allows, as any
            // replica.
            if (stands(m) && !g.searching || mustStop(m, now, false)) {
                continue;
            }
            replicas++;
            if (away(m, now)) {
                continue;
            }
            boolean ok = need == null || m.position != null && m.position.compareTo(need) >= 0;
            if (!ok && checked && m.lag != null) {
                ok = now.minus(m.lag).compareTo(need) >= 0;
            }
            boolean room = m.outstanding.size() < part * room(m, now);
            if (!ok) {
                if (room
                        && !missedAt(t, m)
                        && !sureMiss(m, need, now)
                        && (leastBehind == null || behind(m).compareTo(behind(leastBehind)) < 0)) {
                    leastBehind = m;
                }
                continue;
            }
            fresh++;
            if (room && !missedAt(t, m)) {
                double cost = cost(m, now);
                if (best == null || cost < bestCost) {
                    best = m;
                    bestCost = cost;
                }
            }
        }
        // Guards against a crowd that never ends: trials by many drivers keep a low member full of
        // late work.
        if (best != null
                && crowd() > 1
                && best.concurrencyLimit < FIRST_LIMIT / 2
                && best.queueReportedAt != null
                && now.minus(best.queueReportedAt).compareTo(memory) > 0
                && probe(best, now)) {
            return null;
        }
        if (best != null) {
            return best;
        }
        boolean asked = fresh < 2 && need != null && refresh(g, t, now);
        if (checked && leastBehind != null && fresh == 0 && t.submissions.size() < 2) {
            return leastBehind;
        }
        if (asked && fresh == 0
                || p == null
                || g.searching
                || !stands(p)
                || away(p, now)
                || mustStop(p, now, true)) {
            return null;
        }
        // Reads that need the primary leave a part of its room to the writes.
        double room = part * room(p, now);
        if (replicas == 0) {
            return p.outstanding.size() < room ? p : null;
        }
        if (p.outstanding.size() + 1 > Math.max(Math.min(1, room), room * 0.75)) {
            return null;
        }
        if (t.type.freshness() == Freshness.OWN_WRITES) {
            return p;
        }
        // By chance, not by turns: a driver with few reads would wait long for its turn.
        t.maySpillToPrimary =
                t.maySpillToPrimary == null
                        ? random.nextDouble() < g.spillShare
                        : t.maySpillToPrimary;
        return t.maySpillToPrimary ? p : null;
    }

    /** It was heard lately to be further behind than it would wait for. */
    private boolean sureMiss(Member m, Duration need, Duration now) {
        return m.lag != null
                && m.positionReportedAt.plus(memory.dividedBy(2)).compareTo(now) > 0
                && now.minus(m.lag).plus(time("members-hold-for")).compareTo(need) < 0;
    }

    private static Duration behind(Member m) {
        return m.lag == null ? Duration.ZERO : m.lag;
    }

    private static boolean missedAt(Txn t, Member m) {
        return t.submissions.stream()
                .anyMatch(s -> s.member == m && (s.isOutstanding() || s.outcome == Outcome.MISSED));
    }

    /**
     * The position that a read's data must have reached, or null; a step more than the bound asks
     * for.
     */
    private Duration needs(Txn t, Duration now) {
        return switch (t.type.freshness()) {
            case RECENT -> now.minus(t.type.maxDataAge()).plus(step);
            case OWN_WRITES -> t.requiredPosition == null ? null : t.requiredPosition.plus(step);
            default -> null;
        };
    }

    /**
     * Asks replicas of which too little is known for their position, each not too often for the
     * bound.
     */
    private boolean refresh(Group g, Txn t, Duration now) {
        Duration bound =
                t.type.freshness() == Freshness.RECENT ? t.type.maxDataAge() : t.type.slaTime();
        int asked = 0;
        int start = random.nextInt(g.members.size());
        for (int i = 0; i < g.members.size() && asked < 2; i++) {
            Member m = g.members.get((start + i) % g.members.size());
            if (m != g.primary
                    && !away(m, now)
                    && (m.probeInFlight
                            || (m.lastProbeAt == null
                                            || now.minus(m.lastProbeAt)
                                                            .compareTo(bound.dividedBy(4))
                                                    > 0)
                                    && (m.positionReportedAt == null
                                            || now.minus(m.positionReportedAt)
                                                            .compareTo(bound.dividedBy(4))
                                                    > 0)
                                    && probe(m, now))) {
                asked++;
            }
        }
        wake(g, now.plus(bound.dividedBy(8)));
        return asked > 0;
    }

    private double cost(Member m, Duration now) {
        double slow = Math.min(4, Math.max(0.5, ratio(m, now)));
        double away = m.zone != (int) number("zone") && number("price.cross-zone") > 0 ? 0.25 : 0;
        return (m.outstanding.size() + 0.5) / room(m, now) * slow
                + away
                + random.nextDouble() * 0.02;
    }

    private void submit(Txn t, Member m, Duration now) {
        t.held = false;
        Submission s = new Submission(t, t.submissions.size(), m, now);
        (t.submissions.isEmpty() ? firsts : furthers).add(now, 1);
        t.submissions.add(s);
        m.lastProgressAt = m.outstanding.isEmpty() ? now : m.lastProgressAt;
        m.outstanding.add(s);
        sentToKind.get(m.hostClass).submittedWorkMs.add(now, calm(t.type));
        m.creditMs = Math.max(0, m.creditMs - calm(t.type));
        ready.add(Decision.submit(t.id, m.id, s.number, null));
        alarm(min(endAt(t), now.plus(ofMillis(2 * usual(t.type, now)))), t);
    }

    private void hold(Txn t, Duration now) {
        if (!t.answered && !t.held) {
            t.held = true;
            (t.type.requiresPrimary() ? t.group.heldWrites : t.group.heldReads).add(t);
            touch(t.group);
            if (!t.submissions.isEmpty()) {
                alarm(now, t);
            }
        }
    }

    private void check(Txn t, Duration now) {
        if (t.answered) {
            return;
        }
        boolean spent = t.submissions.size() >= number("most-submissions");
        if (now.compareTo(endAt(t)) >= 0
                || t.held
                        && (spent
                                || now.compareTo(giveUpAt(t, now)) >= 0
                                || t.mayHaveRun() && !mayRepeat(t, now))) {
            finish(t, now);
            return;
        }
        if (t.held) {
            alarm(giveUpAt(t, now), t);
            return;
        }
        for (Submission s : t.submissions) {
            if (s.isOutstanding() && quiet(s.member, now)) {
                moveOn(t, s, now);
            }
        }
        alarm(min(endAt(t), now.plus(ofMillis(usual(t.type, now)))), t);
    }

    /** A submission is out at a member that has gone silent. */
    private void moveOn(Txn t, Submission s, Duration now) {
        Group g = t.group;
        if (g.primary == s.member) {
            search(
                    g,
                    now,
                    "primary silent " + s.member.id + " holding " + s.member.outstanding.size());
        }
        if (t.type.repeatability() != Repeatability.REPEATABLE
                || s.cancelRequested
                || late(t, now)
                || t.held
                || t.submissions.size() >= number("most-submissions")
                || !budget(now)) {
            return;
        }
        if (!flag("second-copies")) {
            cancel(s);
        } else if (t.outstandingCount() < 2) {
            t.held = true;
            (t.type.requiresPrimary() ? g.heldWrites : g.heldReads).add(t);
            touch(g);
        }
    }

    private void cancel(Submission s) {
        if (s.isOutstanding() && !s.cancelRequested && flag("may-cancel")) {
            s.cancelRequested = true;
            ready.add(Decision.cancel(s.txn.id, s.number));
        }
    }

    /** The final answer: a decline where a retry is harmless, else a rollback. */
    private void finish(Txn t, Duration now) {
        boolean harmless =
                t.type.repeatability() == Repeatability.REPEATABLE
                        || !t.mayHaveRun()
                        || t.type.repeatability() == Repeatability.REFERENCED
                                && t.type.everyMemberDropsRepeats();
        // A client that can still be in time may come back at once; one that is too late better
        // waits.
        boolean away = flag("may-advise-come-back") && late(t, now);
        ready.add(
                !harmless
                        ? Decision.rollBack(t.id)
                        : Decision.decline(t.id, away ? time("longest-come-back") : null));
        close(t);
    }

    private void close(Txn t) {
        t.answered = true;
        t.held = false;
        txns.remove(t.id);
    }

    /** When a held txn is given up: what it waits for could no longer be of use by then. */
    private Duration giveUpAt(Txn t, Duration now) {
        Duration takes = ofMillis(Math.max(calm(t.type), usual(t.type, now)));
        Duration last =
                (t.type.lateShare() > 0 ? t.expiresAt : min(t.slaDeadline, t.expiresAt))
                        .minus(takes);
        if (t.type.lateShare() == 0) {
            // Half of it: a client that asks again may then still be served in time.
            last = min(last, t.arrivedAt.plus(t.type.slaTime().minus(takes).dividedBy(2)));
        }
        return min(endAt(t), max(t.arrivedAt.plus(step), last));
    }

    private Duration endAt(Txn t) {
        return t.expiresAt.minus(step);
    }

    private boolean mayRepeat(Txn t, Duration now) {
        return t.type.repeatability() == Repeatability.REPEATABLE
                || !t.mayHaveRun()
                || t.type.repeatability() == Repeatability.REFERENCED
                        && now.plus(step)
                                        .compareTo(
                                                t.earliestPossibleRunAt()
                                                        .plus(t.type.repeatWindow()))
                                < 0;
    }

    private boolean mayGoAgain(Txn t, Duration now) {
        return t.submissions.isEmpty()
                || mayRepeat(t, now)
                        && (t.outstandingCount() == 0 || flag("second-copies"))
                        && t.submissions.size() < number("most-submissions")
                        && budget(now);
    }

    /** Further submissions follow the share of recent ones that succeeded. */
    private boolean budget(Duration now) {
        double share = (committed.valueAt(now) + 1) / (ended.valueAt(now) + 1);
        return furthers.valueAt(now) < 4 + 0.5 * share * firsts.valueAt(now);
    }

    // ---- members' health ----

    private void measure(Member m, Txn t, Duration time, Duration now) {
        for (ResponseTimes of :
                new ResponseTimes[] {took[t.type.index()], kind(m)[t.type.index()]}) {
            of.add(now, toMillis(time));
            // A low mean that rises only slowly; the mean of a few is no ground for it.
            of.baselineMs =
                    of.sampleCount.valueAt(now) < 16
                            ? of.baselineMs
                            : Math.min(of.baselineMs * 1.0002, of.meanMs(now));
        }
        m.answerCount.add(now, 1);
        m.slownessSum.add(now, toMillis(time) / target(m, t.type));
        // Guards against replicas that fall behind as they are crowded: a lag well inside the bound
        // lowers
        // the limit while it grows, else keeps it from rising. Where answers are quick it has
        // another cause.
        boolean behind =
                m != m.group.primary
                        && behind(m).compareTo(bound.dividedBy(4)) > 0
                        && ratio(m, now) > 0.75;
        boolean growing = behind(m).compareTo(m.previousLag) > 0;
        m.previousLag = behind(m);
        if (ratio(m, now) > 1 || behind && growing) {
            m.concurrencyLimit =
                    Math.max(1, Math.min(m.concurrencyLimit, m.outstanding.size() + 1) * 0.75);
        } else if (!behind && m.outstanding.size() + 1 >= m.concurrencyLimit - 1) {
            m.concurrencyLimit += 1 / m.concurrencyLimit;
        }
        if (m == t.group.primary && !t.type.isUpdate()) {
            t.group.spillShare =
                    ratio(m, now) > 1
                            ? Math.max(SPILL_SHARE, t.group.spillShare * 0.8)
                            : Math.min(1, t.group.spillShare * 1.5);
        }
    }

    /** What an answer may take of a member that is used but not crowded. */
    private double target(Member m, TxnType type) {
        double calm = kind(m)[type.index()].baselineMs;
        return Math.sqrt(calm * toMillis(type.slaTime()));
    }

    private ResponseTimes[] kind(Member m) {
        return tookByKind.computeIfAbsent(m.hostClass, k -> newTook());
    }

    private ResponseTimes[] newTook() {
        ResponseTimes[] all = new ResponseTimes[types.length];
        for (int i = 0; i < all.length; i++) {
            all[i] = new ResponseTimes(memory.multipliedBy(4), toMillis(types[i].slaTime()) / 4);
        }
        return all;
    }

    private double ratio(Member m, Duration now) {
        return (m.slownessSum.valueAt(now) + 0.5) / (m.answerCount.valueAt(now) + 1);
    }

    private double usual(TxnType type, Duration now) {
        return took[type.index()].meanMs(now);
    }

    private double calm(TxnType type) {
        return took[type.index()].baselineMs;
    }

    /**
     * Silent: its work has waited, all together, several usual answer times since its last sign.
     */
    private boolean quiet(Member m, Duration now) {
        if (m.unresponsive || m.outstanding.isEmpty()) {
            return m.unresponsive;
        }
        double waited = 0;
        for (Submission s : m.outstanding) {
            // One that later answers have overtaken by far is stuck by itself: it says nothing of
            // the member.
            double usual = usual(s.txn.type, now);
            waited +=
                    toMillis(m.lastProgressAt.minus(s.sentAt)) > PATIENCE * usual
                            ? 0
                            : toMillis(now.minus(max(s.sentAt, m.lastProgressAt))) / usual;
        }
        // The last sign must be a usual answer time away as well: many out are no reason to doubt
        // sooner.
        Txn any = m.outstanding.iterator().next().txn;
        if (waited > PATIENCE && toMillis(now.minus(m.lastProgressAt)) > usual(any.type, now)) {
            m.unresponsive = true;
            log.accept(
                    "member "
                            + m.id
                            + " silent for "
                            + (long) toMillis(now.minus(m.lastProgressAt))
                            + " ms holding "
                            + m.outstanding.size());
        }
        return m.unresponsive;
    }

    /** Not to be used now: silent, or left alone after faults. */
    private boolean away(Member m, Duration now) {
        return now.compareTo(m.backoffUntil) < 0 || quiet(m, now);
    }

    private void signOfLife(Member m, Duration now, Outcome end) {
        m.lastProgressAt = now;
        if (m.unresponsive) {
            m.unresponsive = false;
            log.accept("member " + m.id + " answers again");
        }
        if (end == Outcome.FULL) {
            m.concurrencyLimit = Math.max(1, m.concurrencyLimit / 2);
            m.backoffUntil = max(m.backoffUntil, now.plus(ofMillis(calm(types[0]))));
        } else {
            m.consecutiveFailures = 0;
            // Guards against pushing over one that is back before the list says so: out of reach
            // for a while.
            if (m.unreachableSince != null && now.minus(m.unreachableSince).compareTo(memory) > 0) {
                m.startedAt = now;
                m.creditUpdatedAt = null;
            }
            m.unreachableSince = null;
        }
    }

    /**
     * Whether it still lives is asked of the primary alone; should that fail, the search begins.
     */
    private void turnedAway(Member m, Duration now) {
        refused.add(now, 1);
        m.consecutiveFailures++;
        m.unreachableSince =
                m.unreachableSince == null && m.outstanding.isEmpty() ? now : m.unreachableSince;
        Duration pause =
                ofMillis(calm(types[0]) / 4 * Math.pow(2, Math.min(m.consecutiveFailures, 4)));
        m.backoffUntil = now.plus(scale(pause, 0.75 + 0.5 * random.nextDouble()));
        if (m == m.group.primary && !m.group.searching && !probe(m, now)) {
            search(m.group, now, "no connection to " + m.id);
        }
    }

    private void fault(Member m, Duration now, Outcome end) {
        m.consecutiveFailures++;
        if (m.unreachableSince == null && (end == Outcome.UNREACHABLE || end == Outcome.RESET)) {
            m.unreachableSince = now;
        }
        // One broken connection among answers is no loss; with the next it is left alone for a
        // while.
        if (m.consecutiveFailures < 2 && (end == Outcome.RESET || end == Outcome.UNREACHABLE)) {
            return;
        }
        Duration pause =
                scale(
                        max(Duration.ofMillis(250), time("connect-time-out")),
                        Math.pow(2, Math.min(m.consecutiveFailures - 1, 3)));
        m.backoffUntil = now.plus(scale(pause, 0.75 + 0.5 * random.nextDouble()));
    }

    /** How many submissions the member may hold of this driver. */
    private double room(Member m, Duration now) {
        double most = m == m.group.primary && !m.group.searching ? 2 : FIRST_LIMIT / 2;
        double least = Math.min(most, 1 + crowd());
        if (crowded(m, now) && crowd() > 1) {
            return 0;
        }
        if ((m.concurrencyLimit < least || warmth(m, now) < 1 || crowded(m, now))
                && credit(m, now) < calm(types[0])) {
            return 0;
        }
        return m.consecutiveFailures > 1
                        || m.consecutiveFailures > 0 && now.compareTo(m.backoffUntil) < 0
                ? 1
                : m.concurrencyLimit;
    }

    /**
     * Its own report shows more waiting than is answered in time; one that shows little proves
     * nothing.
     */
    private boolean crowded(Member m, Duration now) {
        return m.queueReportedAt != null
                && m.queueLength * calm(types[0]) > toMillis(memory) / 2
                && now.minus(m.queueReportedAt).compareTo(scale(memory, Math.max(4, crowd()))) < 0;
    }

    /**
     * One submission of each driver at one member, in the updates' SLA times: what limits of one
     * come to.
     */
    private double crowd() {
        return number("drivers") * calm(types[0]) / toMillis(memory);
    }

    // Work that may be sent, saved up at a rate, as rates add up over many drivers. A cold member
    // gets a warm
    // one's, times its warm part and 0.6 of the multiple; a replica of low limit what it answers in
    // time.
    private double credit(Member m, Duration now) {
        double calm = calm(types[0]);
        double warm = warmth(m, now);
        double rate = Math.min(calm / toMillis(memory.multipliedBy(8)), 0.5 / number("drivers"));
        double most = 2 * calm;
        if (warm < 1) {
            HostClassLoad load = sentToKind.get(m.hostClass);
            if (load.countedAt == null || now.minus(load.countedAt).compareTo(time("fall")) > 0) {
                load.countedAt = now;
                // Each counts whole: by warm parts, many that start at once would each get the
                // share of few.
                load.memberCount =
                        members.values().stream()
                                .filter(o -> o.listed && o.hostClass == m.hostClass)
                                .count();
            }
            rate =
                    Math.max(
                            calm / toMillis(cold),
                            warm
                                    * number("fall-multiple")
                                    * 0.6
                                    * load.submittedWorkMs.valueAt(now)
                                    * Math.log(2)
                                    / toMillis(load.halfLife)
                                    / Math.max(1, load.memberCount));
            most = calm + rate * toMillis(time("fall")) / 4;
        }
        if (m.creditUpdatedAt == null) {
            m.creditMs = warm < 1 || crowd() > 1 ? random.nextDouble() * calm : most;
        } else {
            m.creditMs = Math.min(most, m.creditMs + rate * toMillis(now.minus(m.creditUpdatedAt)));
        }
        m.creditUpdatedAt = now;
        return m.creditMs;
    }

    private double warmth(Member m, Duration now) {
        if (m.startedAt == null || cold.isZero()) {
            return 1;
        }
        double age = toMillis(now.minus(m.startedAt)) / toMillis(cold);
        return age >= 1 ? 1 : number("cold-share") + (1 - number("cold-share")) * Math.max(0, age);
    }

    /**
     * Nothing new goes there; a primary is used on for most of the grace, until it has handed over.
     */
    private boolean mustStop(Member m, Duration now, boolean asPrimary) {
        // Where the list does not prove who is gone, the txn path does: faults there leave a member
        // alone.
        if (m.stopLearnedAt == null || m.gone && !m.drainSeen && flag("removal-not-binding")) {
            return false;
        }
        Duration grace =
                asPrimary && !m.gone
                        ? time("drain-grace").minus(step.multipliedBy(2))
                        : Duration.ZERO;
        return now.compareTo(m.stopLearnedAt.plus(grace)) >= 0;
    }

    private void heardPosition(Member m, Duration position, Duration now) {
        if (position == null) {
            return;
        }
        m.position = m.position == null ? position : max(m.position, position);
        m.lag = now.minus(m.position);
        m.positionReportedAt = now;
    }

    /**
     * Where the list must be asked for: follow it, again after failures and when it was quiet for
     * long.
     */
    private void askListAt(Duration at) {
        listAt = at;
        alarm(at, at);
    }

    private void touch(Group g) {
        if (!g.dirty) {
            g.dirty = true;
            dirty.add(g);
        }
    }

    private void wake(Group g, Duration at) {
        if (g.nextPassAt == null || at.compareTo(g.nextPassAt) < 0) {
            g.nextPassAt = at;
            alarm(at, g);
        }
    }

    private void alarm(Duration at, Object what) {
        alarms.add(new Alarm(at, alarmNumber++, what));
    }

    private double number(String name) {
        return terms.get(name) instanceof Double d ? d : 0;
    }

    private Duration time(String name) {
        return terms.get(name) instanceof Duration d ? d : Duration.ZERO;
    }

    private boolean flag(String name) {
        return Boolean.TRUE.equals(terms.get(name));
    }
}
