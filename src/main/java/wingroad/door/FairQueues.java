package wingroad.door;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

import wingroad.state.Durations;
import wingroad.state.ResponseTimes;
import wingroad.state.Submission.Outcome;
import wingroad.state.TimingWheel;
import wingroad.state.TxnType;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Decides who goes next to the module, who is declined at the door, and when to come back:
 * start-time fair queueing by tenant, charged by work, within a window that each lane finds for
 * itself. The reasons: docs/notes/fair-queues.md. The host tells what happens, then pulls {@link
 * #next} until it is null, and again at {@link #nextWakeUp}. Which member, whether to submit again
 * and what is declined once it is in stays with the module.
 */
public final class FairQueues implements Accounts.Lanes {
    /**
     * The part of the time that the module would hold a txn which may pass at the door: some is
     * left for the module.
     */
    private static final double DOORS_PART = 0.9;

    /**
     * Waits are foretold only for accounts with so many claims: one who asks for little is never
     * declined by a forecast.
     */
    private static final int FEW = 2;

    /**
     * A submission out for so many usual answer times no longer fills a place: it may never be
     * answered.
     */
    private static final double STUCK = 4;

    /**
     * A txn that turns out to be so many times the usual work is charged no more: a silent member
     * is no tenant's work.
     */
    private static final double MOST_CHARGED = 4;

    private static final double LEAST_CHARGED = 0.05;
    private static final Duration LEAST_ADVICE = Duration.ofMillis(10);

    /** Who comes so much before its time is as good as on time: advice is in whole milliseconds. */
    private static final long EARLY = 5_000_000;

    /** A booking stands for a quarter of its wait past its time, and so much more. */
    private static final long STANDS_ON = 30_000_000;

    private static final int MOST_BOOKINGS = 1024;

    /** How many accounts are drawn to find a long queue when all is full. */
    private static final int DRAWS = 8;

    private static final Duration MODE_AFTER = Duration.ofMillis(500);

    private final TxnType[] types;

    /**
     * The work of each type as lately measured, and its usual answer time over a long span: the
     * unit of the windows.
     */
    private final ResponseTimes[] works;

    private final ResponseTimes[] usual;
    private final boolean mayAdvise;
    private final boolean marksRetries;
    private final Duration longestAdvice;
    private final Random random;
    private final Consumer<String> log;
    private final Hasher64 hasher;

    private final Accounts accounts = new Accounts();
    private final Booking[] firstBooking = new Booking[Accounts.ROWS];
    private final Names names;
    private final List<Lane> lanes = new ArrayList<>();
    private final Map<Long, Lane> lanesByGroup = new HashMap<>();
    private final TimingWheel wheel = new TimingWheel();
    private final ArrayDeque<Lane> dirty = new ArrayDeque<>();
    private final ArrayDeque<AdmissionDecision> ready = new ArrayDeque<>();
    private FairQueueSettings updateSettings;
    private int queuedCount;
    private int bookings;
    private Duration drainBy;
    private long letIn;
    private long declined;

    public FairQueues(
            Map<String, Object> terms, FairQueueSettings rules, long seed, Consumer<String> log) {
        this.updateSettings = rules;
        this.random = new Random(seed);
        this.log = log;
        this.hasher = Hashing.komihash5_0(random.nextLong());
        this.names = new Names(rules.maxNamesPerAddress());
        this.mayAdvise = Boolean.TRUE.equals(terms.get("may-advise-come-back"));
        this.marksRetries = Boolean.TRUE.equals(terms.get("clients-mark-retries"));
        this.longestAdvice =
                terms.get("longest-come-back") instanceof Duration d ? d : Duration.ZERO;
        this.types = TxnType.fromSettings(terms);
        this.works = new ResponseTimes[types.length];
        this.usual = new ResponseTimes[types.length];
        for (int i = 0; i < types.length; i++) {
            double guess = Math.max(1, Durations.toMillis(types[i].slaTime()) / 4);
            works[i] = new ResponseTimes(Duration.ofSeconds(4), guess);
            usual[i] = new ResponseTimes(Duration.ofSeconds(60), guess);
        }
    }

    // ---- inputs: they only update what is known ----

    /**
     * Other rules from now on. What waits keeps its place; weights count from the next txn that is
     * let in.
     */
    public void updateSettings(Duration now, FairQueueSettings next) {
        updateSettings = next;
        names.each(next.maxNamesPerAddress());
        // First as if nobody were listed; whose queue is empty learns what it is due when it comes
        // again.
        for (int row = 0; row < Accounts.ROWS; row++) {
            if (accounts.waiting[row] > 0) {
                dues(row, next.defaultTenant());
            }
        }
        for (Lane lane : lanes) {
            next.tenants()
                    .forEach(
                            (name, due) -> {
                                int row = accounts.find(key(hasher.hashCharsToLong(name), lane));
                                if (row >= 0) {
                                    dues(row, due);
                                }
                            });
            touch(lane);
        }
    }

    private void dues(int row, FairQueueSettings.TenantSettings due) {
        if (accounts.waiting[row] > 0) {
            lanes.get(accounts.lanes[row]).waitingWeight += due.weight() - accounts.weights[row];
        }
        accounts.weights[row] = (float) due.weight();
        accounts.caps[row] = (float) due.maxConcurrencyShare();
    }

    /** The program ends: nothing waits past this time. */
    public void drainBy(Duration at) {
        drainBy = at;
        for (QueuedTxn first : accounts.first) {
            for (QueuedTxn v = first; v != null; v = v.behind) {
                Duration last = at.minus(Durations.ofMillis(usual(v.type, at)));
                wheel.schedule(v, Math.min(v.dueNanos(), last.toNanos()));
            }
        }
    }

    /**
     * A txn has come. Its verdict is pulled.
     *
     * @param name the tenant's name as far as the txn or the connection tells one, or null
     * @param retry the client is known to have asked before
     */
    public QueuedTxn onTxnArrived(
            Duration now,
            String txn,
            int type,
            int group,
            Duration left,
            ClientContext caller,
            String name,
            boolean retry) {
        long nanos = now.toNanos();
        Lane lane = lane(group, types[type].requiresPrimary());
        int row = account(nanos, lane, caller, name);
        boolean told = row >= 0 && keepsTime(nanos, row, caller, retry);
        QueuedTxn v = new QueuedTxn(txn, type, lane.number, row, now, caller);
        if (row < 0) {
            v.place = QueuedTxn.Place.OVER;
            ready.add(
                    new AdmissionDecision(v, false, mayAdvise ? spread(longestAdvice, 0.9) : null));
            return v;
        }
        long budget = mayWait(types[type], now, left).toNanos();
        int claims = accounts.waiting[row] + accounts.booked[row];
        if (!told
                && claims >= FEW
                && !lane.stands(nanos)
                && claims / rate(row, lane, nanos) * 1e9 > budget) {
            decline(v, now, budget);
            return v;
        }
        if (queuedCount >= updateSettings.maxQueuedTxns() && !makeRoom(row, now)) {
            decline(v, now, budget);
            return v;
        }
        enqueue(v, row, lane, nanos);
        wheel.schedule(v, nanos + Math.max(0, budget));
        return v;
    }

    private void enqueue(QueuedTxn v, int row, Lane lane, long now) {
        v.before = accounts.last[row];
        if (v.before == null) {
            accounts.first[row] = v;
        } else {
            v.before.behind = v;
        }
        accounts.last[row] = v;
        queuedCount++;
        if (lane.waiting++ == 0) {
            lane.waitingSince = now;
        }
        if (accounts.waiting[row]++ == 0) {
            lane.waitingWeight += accounts.weights[row];
            stand(row, lane);
        }
        touch(lane);
    }

    /**
     * Puts an account with something waiting among those that may be next. An idle one hoards no
     * credit.
     */
    private void stand(int row, Lane lane) {
        accounts.aside[row] = false;
        accounts.tags[row] = Math.max(accounts.tags[row], lane.virtualTime);
        lane.heaps[accounts.first[row].type].add(row);
    }

    private void unqueue(QueuedTxn v) {
        int row = v.row;
        Lane lane = lanes.get(v.lane);
        boolean wasFirst = v.before == null;
        if (wasFirst) {
            if (accounts.places[row] >= 0) {
                lane.heaps[v.type].remove(row);
            }
            accounts.first[row] = v.behind;
        } else {
            v.before.behind = v.behind;
        }
        if (v.behind == null) {
            accounts.last[row] = v.before;
        } else {
            v.behind.before = v.before;
        }
        v.before = null;
        v.behind = null;
        queuedCount--;
        if (--lane.waiting == 0) {
            lane.waitingSince = -1;
        }
        if (--accounts.waiting[row] == 0) {
            lane.waitingWeight = lane.waiting == 0 ? 0 : lane.waitingWeight - accounts.weights[row];
            accounts.aside[row] = false;
        } else if (wasFirst && !accounts.aside[row]) {
            stand(row, lane);
        }
    }

    /** A submission of a txn that is in goes out. */
    public void onSubmitted(Duration now, QueuedTxn v) {
        Lane lane = lanes.get(v.lane);
        v.submissionsOut++;
        if (v.place == QueuedTxn.Place.HELD) {
            v.place = QueuedTxn.Place.OUT;
            lane.heldAll--;
            lane.held[v.type]--;
            lane.out++;
            v.round = lane.window.round();
            lane.window.begins(lane.out);
            lane.movedAt = now.toNanos();
            wheel.schedule(
                    v,
                    now.toNanos()
                            + (long)
                                    (STUCK
                                            * Math.max(
                                                    usual(v.type, now) * 1e6,
                                                    lane.window.meanNanos())));
            touch(lane);
        }
    }

    /** A submission of a txn that is in has ended. */
    public void onSubmissionEnded(Duration now, QueuedTxn v, Outcome end, Duration took) {
        Lane lane = lanes.get(v.lane);
        double ms = Durations.toMillis(took);
        v.submissionsOut--;
        v.work += end.neverRan() ? 0 : ms;
        if (end == Outcome.COMMITTED) {
            double share = ms / Math.max(0.01, usual(v.type, now));
            usual[v.type].add(now, ms);
            works[v.type].add(now, v.work);
            lane.window.answered(
                    now.toNanos(),
                    v.place == QueuedTxn.Place.OUT ? v.round : -1,
                    share,
                    took.toNanos());
        }
        if (v.submissionsOut == 0
                && (v.place == QueuedTxn.Place.OUT || v.place == QueuedTxn.Place.STUCK)) {
            lane.out -= v.place == QueuedTxn.Place.OUT ? 1 : 0;
            wheel.cancel(v);
            hold(v, lane);
            touch(lane);
        }
    }

    private void hold(QueuedTxn v, Lane lane) {
        v.place = QueuedTxn.Place.HELD;
        lane.heldAll++;
        lane.held[v.type]++;
    }

    /** The txn has its final answer, or its client has left. */
    public void onTxnClosed(Duration now, QueuedTxn v) {
        Lane lane = lanes.get(v.lane);
        wheel.cancel(v);
        switch (v.place) {
            case WAITING -> unqueue(v);
            case HELD -> {
                lane.heldAll--;
                lane.held[v.type]--;
                leaves(v, lane);
            }
            case OUT -> {
                lane.out--;
                leaves(v, lane);
            }
            case STUCK -> leaves(v, lane);
            default -> {
                return;
            }
        }
        v.place = QueuedTxn.Place.OVER;
        touch(lane);
    }

    private void leaves(QueuedTxn v, Lane lane) {
        int row = v.row;
        accounts.in[row]--;
        // What it has cost is known now: the account is charged the difference.
        double owed =
                Math.max(LEAST_CHARGED * v.charged, Math.min(MOST_CHARGED * v.charged, v.work));
        accounts.tags[row] += (owed - v.charged) / accounts.weights[row];
        if (accounts.places[row] >= 0) {
            accounts.tags[row] = Math.max(accounts.tags[row], lane.virtualTime);
            lane.heaps[accounts.first[row].type].moved(row);
        } else if (accounts.aside[row]) {
            stand(row, lane);
        }
        if (lane.waiting == 0 && lane.out + lane.heldAll == 0) {
            // Nobody is here: nobody is ahead of anybody.
            lane.virtualTime = Math.max(lane.virtualTime, lane.largestTag);
        }
    }

    // ---- decisions ----

    /** The next verdict, or null where there is none for now. */
    public AdmissionDecision nextDecision(Duration now) {
        long nanos = now.toNanos();
        while (true) {
            if (!ready.isEmpty()) {
                return ready.poll();
            }
            TimingWheel.Timer due = wheel.poll(nanos);
            if (due instanceof QueuedTxn v) {
                overdue(v, now);
            } else if (due instanceof Booking b) {
                drop(b);
            } else if (!dirty.isEmpty()) {
                Lane lane = dirty.poll();
                lane.dirty = false;
                serve(lane, now);
            } else {
                return null;
            }
        }
    }

    /** When to call {@link #nextDecision} again even if nothing comes in, or null. */
    public Duration nextWakeUp() {
        long due = wheel.nextPollNanos();
        return due < 0 ? null : Duration.ofNanos(due);
    }

    private void overdue(QueuedTxn v, Duration now) {
        Lane lane = lanes.get(v.lane);
        if (v.place == QueuedTxn.Place.WAITING) {
            unqueue(v);
            decline(v, now, 0);
        } else if (v.place == QueuedTxn.Place.OUT) {
            // Guards against a silent member that would fill the lane's places with what it never
            // answers.
            v.place = QueuedTxn.Place.STUCK;
            lane.out--;
        }
        touch(lane);
    }

    private void serve(Lane lane, Duration now) {
        long nanos = now.toNanos();
        while (lane.mayLetIn()) {
            TagHeap heap = lane.next(accounts.tags);
            if (heap == null) {
                break;
            }
            int row = heap.first();
            if (accounts.in[row] >= Math.max(1, accounts.caps[row] * lane.window.limit())) {
                heap.remove(row);
                accounts.aside[row] = true;
                continue;
            }
            letIn(accounts.first[row], row, lane, nanos, now);
        }
        if (lane.anyInLine()) {
            lane.window.waits(!lane.mayLetIn());
        }
        boolean full = lane.waiting > 0 && nanos - lane.waitingSince > MODE_AFTER.toNanos();
        if (full != lane.full && (full || lane.waiting == 0)) {
            lane.full = full;
            log.accept(
                    "door "
                            + lane.name
                            + (full ? " is full: " : " is open: ")
                            + "window "
                            + Math.round(lane.window.width())
                            + ", out "
                            + lane.out
                            + ", held "
                            + lane.heldAll
                            + ", waiting "
                            + lane.waiting
                            + ", let in "
                            + Math.round(lane.rate(nanos))
                            + " a second");
        }
    }

    private void letIn(QueuedTxn v, int row, Lane lane, long nanos, Duration now) {
        double tag = accounts.tags[row];
        lane.virtualTime = Math.max(lane.virtualTime, tag);
        v.charged = works[v.type].meanMs(now);
        accounts.letIn[row] = Lane.decayed(accounts.letIn[row], accounts.letInAt[row], nanos) + 1;
        accounts.letInAt[row] = nanos;
        accounts.in[row]++;
        wheel.cancel(v);
        lane.heaps[v.type].remove(row);
        accounts.tags[row] = tag + v.charged / accounts.weights[row];
        lane.largestTag = Math.max(lane.largestTag, accounts.tags[row]);
        unqueue(v);
        lane.letIn(nanos);
        hold(v, lane);
        letIn++;
        ready.add(new AdmissionDecision(v, true, null));
    }

    private void decline(QueuedTxn v, Duration now, long budget) {
        v.place = QueuedTxn.Place.OVER;
        declined++;
        ready.add(new AdmissionDecision(v, false, book(v, now, budget)));
    }

    /**
     * All places to wait are taken: one that waits in a long queue makes room for one of a short
     * queue, the last of it. False where the newcomer's own is as long as any that was drawn.
     */
    private boolean makeRoom(int row, Duration now) {
        int longest = row;
        for (int i = 0; i < DRAWS; i++) {
            TagHeap heap = drawHeap();
            if (heap != null) {
                int drawn = heap.at(random.nextInt(heap.size()));
                longest =
                        accounts.waiting[drawn] / accounts.weights[drawn]
                                        > (accounts.waiting[longest] + (longest == row ? 1 : 0))
                                                / accounts.weights[longest]
                                ? drawn
                                : longest;
            }
        }
        if (longest == row) {
            return false;
        }
        QueuedTxn gives = accounts.last[longest];
        wheel.cancel(gives);
        unqueue(gives);
        decline(gives, now, 0);
        return true;
    }

    /**
     * One in which somebody stands, by chance: the first from a lane and type that were drawn; null
     * where there is none.
     */
    private TagHeap drawHeap() {
        int each = types.length;
        int start = random.nextInt(lanes.size() * each);
        for (int i = 0; i < lanes.size() * each; i++) {
            int at = (start + i) % (lanes.size() * each);
            TagHeap heap = lanes.get(at / each).heaps[at % each];
            if (heap.size() > 0) {
                return heap;
            }
        }
        return null;
    }

    // ---- when to come back ----

    /**
     * For a txn that the module declines: when its client should come back, or null where none may
     * be told.
     */
    public Duration retryAfter(Duration now, QueuedTxn v) {
        return v.place == QueuedTxn.Place.OVER ? null : book(v, now, 0);
    }

    private Duration book(QueuedTxn v, Duration now, long budget) {
        if (!mayAdvise || longestAdvice.isZero()) {
            return null;
        }
        Lane lane = lanes.get(v.lane);
        long nanos = now.toNanos();
        int claims = accounts.waiting[v.row] + accounts.booked[v.row];
        double each = 1e9 / Math.max(1e-3, rate(v.row, lane, nanos));
        double wait =
                Math.max(LEAST_ADVICE.toNanos(), Math.max(each, claims * each - budget / 2.0))
                        * (1 + 0.1 * random.nextDouble());
        if (lane.stands(nanos) || wait > longestAdvice.toNanos() || bookings >= MOST_BOOKINGS) {
            return spread(longestAdvice, 0.9);
        }
        Booking b = new Booking(v.row, nanos + (long) wait);
        // In the order of their times: that is the order in which they are made, but for the
        // spread.
        if (firstBooking[v.row] == null) {
            firstBooking[v.row] = b;
            b.behind = b;
            b.before = b;
        } else {
            Booking end = firstBooking[v.row];
            b.before = end.before;
            b.behind = end;
            end.before.behind = b;
            end.before = b;
        }
        bookings++;
        accounts.booked[v.row]++;
        wheel.schedule(b, nanos + (long) (1.25 * wait) + STANDS_ON);
        v.caller.booking = b;
        return Duration.ofNanos((long) wait);
    }

    private Duration spread(Duration most, double least) {
        return Durations.scale(most, least + (1 - least) * random.nextDouble());
    }

    private void drop(Booking b) {
        wheel.cancel(b);
        bookings--;
        accounts.booked[b.row]--;
        if (b.behind == b) {
            firstBooking[b.row] = null;
        } else {
            b.before.behind = b.behind;
            b.behind.before = b.before;
            firstBooking[b.row] = firstBooking[b.row] == b ? b.behind : firstBooking[b.row];
        }
        b.over = true;
    }

    /** Whether it was told to come now; its booking has served, or is forfeit. */
    private boolean keepsTime(long now, int row, ClientContext caller, boolean retry) {
        Booking own = caller.booking;
        caller.booking = null;
        boolean fresh = !caller.came;
        caller.came = true;
        if (own != null && !own.over) {
            drop(own);
            return own.row == row && now >= own.at - EARLY;
        }
        // Marked as a retry, or where nobody marks them over a new connection: the first due was
        // meant for one like it.
        Booking due = own == null && (marksRetries ? retry : fresh) ? firstBooking[row] : null;
        if (due == null || now < due.at - EARLY) {
            return false;
        }
        drop(due);
        return true;
    }

    // ---- who, where, how fast ----

    private int account(long now, Lane lane, ClientContext caller, String name) {
        if (!caller.known) {
            caller.known = true;
            caller.addressHash = hasher.hashCharsToLong(caller.address);
        }
        FairQueueSettings.TenantSettings due =
                updateSettings.tenants().get(name == null ? caller.address : name);
        long who = caller.addressHash;
        if (name != null) {
            if (!name.equals(caller.lastName)) {
                caller.lastName = name;
                caller.lastHash = hasher.hashCharsToLong(name);
            }
            if (due != null || names.apart(now, caller.lastHash, caller.addressHash)) {
                who = caller.lastHash;
            }
        }
        due = due == null ? updateSettings.defaultTenant() : due;
        long key = key(who, lane);
        int row = accounts.find(key);
        if (row < 0) {
            row = accounts.open(key, lane.number, this);
            if (row < 0) {
                return -1;
            }
            accounts.tags[row] = lane.debts == null ? 0 : lane.debts.tag(key);
            accounts.weights[row] = (float) due.weight();
            accounts.caps[row] = (float) due.maxConcurrencyShare();
        } else if (accounts.weights[row] != (float) due.weight()
                || accounts.caps[row] != (float) due.maxConcurrencyShare()) {
            dues(row, due);
        }
        return row;
    }

    private static long key(long who, Lane lane) {
        long k = (who ^ lane.number * 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        return k ^ k >>> 29;
    }

    private Lane lane(int group, boolean toPrimary) {
        return lanesByGroup.computeIfAbsent(
                2L * group + (toPrimary ? 1 : 0),
                k -> {
                    TagHeap[] heaps = new TagHeap[types.length];
                    for (int i = 0; i < heaps.length; i++) {
                        heaps[i] = new TagHeap(accounts.tags, accounts.places);
                    }
                    Lane lane =
                            new Lane(
                                    lanes.size(),
                                    "group " + group + (toPrimary ? " primary" : " reads"),
                                    types.length,
                                    heaps);
                    lanes.add(lane);
                    return lane;
                });
    }

    private void touch(Lane lane) {
        if (!lane.dirty) {
            lane.dirty = true;
            dirty.add(lane);
        }
    }

    @Override
    public double virtualTime(int lane) {
        return lanes.get(lane).virtualTime;
    }

    @Override
    public void owes(int lane, long key, double tag) {
        Lane l = lanes.get(lane);
        l.debts = l.debts == null ? new TagSketch() : l.debts;
        l.debts.put(key, tag);
    }

    /**
     * How many txns a second the account is let in: as measured, or its fair share where that is
     * more.
     */
    private double rate(int row, Lane lane, long now) {
        double weight = accounts.weights[row];
        double all = lane.waitingWeight + (accounts.waiting[row] > 0 ? 0 : weight);
        double own = Lane.perSecond(Lane.decayed(accounts.letIn[row], accounts.letInAt[row], now));
        return Math.max(own, lane.rate(now) * weight / Math.max(weight, all));
    }

    /**
     * How long it may wait at the door: by the module's own measure it can still be in time then.
     */
    private Duration mayWait(TxnType type, Duration now, Duration left) {
        Duration takes = Durations.ofMillis(usual(type.index(), now));
        Duration most =
                (type.lateShare() > 0 ? left : Durations.min(type.slaTime(), left)).minus(takes);
        if (type.lateShare() == 0) {
            most = Durations.min(most, type.slaTime().minus(takes).dividedBy(2));
        }
        most = Durations.scale(most, DOORS_PART);
        return drainBy == null ? most : Durations.min(most, drainBy.minus(now).minus(takes));
    }

    private double usual(int type, Duration now) {
        return usual[type].meanMs(now);
    }

    // ---- for the log, the bench and the tests ----

    /** What was done since the last time, and how it stands; null where nothing was. */
    public String takeStatsLine() {
        if (letIn + declined == 0) {
            return null;
        }
        StringBuilder s =
                new StringBuilder("door let in ")
                        .append(letIn)
                        .append(", declined ")
                        .append(declined)
                        .append(", waiting ")
                        .append(queuedCount)
                        .append(", booked ")
                        .append(bookings)
                        .append(", accounts ")
                        .append(accounts.used())
                        .append(", gave way ")
                        .append(accounts.gaveWay());
        for (Lane l : lanes) {
            if (l.full) {
                s.append("; ")
                        .append(l.name)
                        .append(" window ")
                        .append(Math.round(l.window.width()))
                        .append(" out ")
                        .append(l.out)
                        .append(" waiting ")
                        .append(l.waiting);
            }
        }
        letIn = 0;
        declined = 0;
        return s.toString();
    }

    public int queuedCount() {
        return queuedCount;
    }

    int accountsUsed() {
        return accounts.used();
    }

    /** The width of the group's window. */
    double window(int group, boolean toPrimary) {
        return lane(group, toPrimary).window.width();
    }

    int out(int group, boolean toPrimary) {
        return lane(group, toPrimary).out;
    }

    /** Bytes of its own state, txns that wait aside. */
    public int memoryBytes() {
        int all = accounts.bytes() + names.bytes() + 4 * Accounts.ROWS;
        for (Lane l : lanes) {
            all += l.bytes();
        }
        return all;
    }
}
