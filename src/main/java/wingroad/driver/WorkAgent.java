package wingroad.driver;

import wingroad.fleet.FleetConfig;
import wingroad.fleet.FleetNode;
import wingroad.fleet.MaintenancePlanListener;
import wingroad.protocol.MemberList;
import wingroad.protocol.MemberList.Entry;
import wingroad.state.Member;
import wingroad.state.TxnType;
import wingroad.transport.EventLoop;
import wingroad.work.DriverReport;
import wingroad.work.Machine;
import wingroad.work.MaintenanceController;
import wingroad.work.MaintenancePlan;
import wingroad.work.MaintenanceSettings;
import wingroad.work.MaintenanceStage;
import wingroad.work.MemberAvailability;
import wingroad.work.MemberObservations;
import wingroad.work.PlanCopy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The plan of work at this driver: makes the lists that the module is told from discovery's and the
 * plan's, says of itself what is still at machines that drain, and conducts where that is its duty.
 * On the loop's thread, but for the calls of {@link MaintenancePlanListener}.
 */
final class WorkAgent implements MaintenancePlanListener, Exchange.Watcher {
    /** What is seen of members counts for a lease; within it the conductor asks this often. */
    private static final int ASKS = 3;

    private final EventLoop loop;
    private final Clock clock;
    private final MaintenanceSettings rules;
    private final Collection<String> voters;
    private final TxnType[] types;
    private final Members members;
    private final Consumer<MemberList> learn;
    private final Consumer<String> log;
    private final Duration lease;
    private final Duration look;
    private final Duration askEvery;
    private final MemberAvailability view;
    private final PlanCopy planCopy = new PlanCopy();
    private final MemberObservations observations;

    /** Discovery's list as it is known, and what the module was told last of each member. */
    private final Map<String, Entry> listed = new TreeMap<>();

    private final Map<String, Entry> told = new TreeMap<>();
    private final Map<String, Duration> leftSince = new TreeMap<>();
    private final Map<String, MaintenanceStage> stages = new TreeMap<>();
    private final Map<Integer, Long> busy = new TreeMap<>();
    private final Map<String, Duration> askedAt = new TreeMap<>();
    private FleetNode fleet;
    private Runnable onKnown;
    private Duration nextAt;
    private long epoch;
    private MaintenanceController conductor;
    private long conducts;
    private long knows;
    private long served;
    private long harmed;
    private boolean wasCurrent;

    WorkAgent(
            EventLoop loop,
            Clock clock,
            FleetConfig fleet,
            TxnType[] types,
            Members members,
            Consumer<MemberList> learn,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.rules = fleet.maintenance();
        this.voters = fleet.voterAddresses().keySet();
        this.types = types;
        this.members = members;
        this.learn = learn;
        this.log = log;
        lease = fleet.lease().duration();
        look = fleet.lease().heartbeatInterval().dividedBy(2);
        askEvery = fleet.lease().duration().dividedBy(ASKS);
        view = new MemberAvailability(rules, now(), fleet.lease().duration());
        observations = new MemberObservations(fleet.lease().duration());
        nextAt = view.nextChangeAt(now());
    }

    /** The same clock as the fleet's: its leases are spans on it. */
    private static Duration now() {
        return Duration.ofNanos(System.nanoTime());
    }

    /** Runs the task once the plan is known, or after a lease all the same. */
    void whenKnown(Runnable task) {
        onKnown = task;
        loop.after(lease, this::known);
    }

    private void known() {
        if (onKnown != null) {
            Runnable task = onKnown;
            onKnown = null;
            task.run();
        }
    }

    void begin(FleetNode with) {
        fleet = with;
        lookAgain();
    }

    // ---- lists ----

    /** What the module is to be told of a list that discovery, or the list's owner, has given. */
    MemberList effective(MemberList list) {
        if (list.whole()) {
            Set<String> named = new TreeSet<>();
            list.entries().forEach(e -> named.add(e.uid()));
            for (String uid : List.copyOf(listed.keySet())) {
                if (!named.contains(uid)) {
                    listed.remove(uid);
                    told.remove(uid);
                    observations.updateListing(uid, 0, true, false);
                }
            }
        }
        for (Entry e : list.entries()) {
            observations.updateListing(e.uid(), e.group(), e.gone(), !e.draining());
            if (e.gone()) {
                listed.remove(e.uid());
            } else {
                listed.put(e.uid(), e);
            }
        }
        List<Entry> entries = new ArrayList<>();
        Duration now = now();
        for (Entry e : list.entries()) {
            Entry as = e.gone() ? e : effective(e, now);
            entries.add(as);
            if (e.gone()) {
                told.remove(e.uid());
            } else {
                told.put(e.uid(), as);
            }
        }
        return new MemberList(list.version(), list.whole(), entries);
    }

    private Entry effective(Entry e, Duration now) {
        MemberAvailability.State s = view.state(e.uid(), () -> others(e), now);
        return switch (s) {
            case AS_LISTED -> e;
            case DRAINING -> with(e, "draining", e.startedAt());
            case GONE -> with(e, "gone", e.startedAt());
            case COLD -> {
                Duration since = view.returningSince(e.uid());
                double at =
                        since == null
                                ? e.startedAt()
                                : System.currentTimeMillis() - now.minus(since).toMillis();
                // The module's figures are to stay where they are from one list to the next.
                Entry was = told.get(e.uid());
                boolean same = was != null && Math.abs(was.startedAt() - at) < 1000;
                yield with(e, e.state(), Math.max(e.startedAt(), same ? was.startedAt() : at));
            }
        };
    }

    private static Entry with(Entry e, String state, double startedAt) {
        return new Entry(
                e.uid(),
                e.host(),
                e.port(),
                e.zone(),
                e.kind(),
                e.group(),
                state,
                e.weight(),
                startedAt,
                e.primary());
    }

    /** Whether its group has another listed member that no plan concerns. */
    private boolean others(Entry e) {
        return listed.values().stream()
                .anyMatch(
                        o ->
                                o.group() == e.group()
                                        && !o.uid().equals(e.uid())
                                        && !o.draining()
                                        && (view.planCopy() == null
                                                || view.planCopy().machineOf(o.uid()) == null
                                                || view.planCopy()
                                                                .entry(
                                                                        view.planCopy()
                                                                                .machineOf(o.uid())
                                                                                .name())
                                                        == null));
    }

    /**
     * Tells the module what has become of members by the plan or by the end of this driver's view.
     */
    private void relist() {
        Duration now = now();
        List<Entry> changed = new ArrayList<>();
        for (Entry e : listed.values()) {
            Entry as = effective(e, now);
            if (!as.equals(told.get(e.uid()))) {
                told.put(e.uid(), as);
                changed.add(as);
            }
        }
        if (!changed.isEmpty()) {
            learn.accept(new MemberList(0, false, changed));
        }
        nextAt = view.nextChangeAt(now);
        boolean current = view.isCurrent(now);
        if (current != wasCurrent) {
            wasCurrent = current;
            log.accept(
                    current
                            ? "work: the plan is known, revision "
                                    + view.revision()
                                    + ", "
                                    + view.planCopy().entries().size()
                                    + " machines asked for"
                            : "work: the view of the plan has ended at revision "
                                    + view.revision()
                                    + ": "
                                    + stages.values().stream()
                                            .filter(MaintenanceStage::announced)
                                            .count()
                                    + " announced machines are left alone");
        }
        if (current) {
            knows = view.revision();
            left(now);
            known();
        }
    }

    private void left(Duration now) {
        Set<String> leaving = new TreeSet<>();
        view.drainingEntries().forEach(e -> leaving.add(e.machine()));
        leftSince.keySet().retainAll(leaving);
        leaving.forEach(m -> leftSince.putIfAbsent(m, now));
    }

    // ---- the exchange ----

    @Override
    public void look() {
        if (nextAt != null && now().compareTo(nextAt) >= 0) {
            relist();
        }
    }

    @Override
    public void told(long member, Member.Role role, Duration position) {
        String uid = members.uid(member);
        if (uid != null) {
            boolean primary = role == Member.Role.PRIMARY;
            observations.recordReport(
                    uid,
                    role == Member.Role.UNKNOWN ? null : primary,
                    primary ? Duration.ZERO : position == null ? null : clock.now().minus(position),
                    now());
        }
    }

    @Override
    public void failed(long member) {
        String uid = members.uid(member);
        if (uid != null) {
            observations.recordFailure(uid, now());
        }
    }

    @Override
    public void took(long member, Duration took) {
        Entry e = listed.get(members.uid(member));
        if (e != null) {
            busy.merge(e.group(), took.toMillis(), Long::sum);
        }
    }

    @Override
    public void answered(int type, Duration after, boolean committed) {
        if (committed && (type >= types.length || after.compareTo(types[type].slaTime()) <= 0)) {
            served++;
        } else {
            harmed++;
        }
    }

    // ---- the fleet ----

    @Override
    public void planUpdated(Map<String, Object> news, List<?> sums, List<?> live) {
        loop.run(
                () -> {
                    boolean grown = planCopy.applyChanges(news);
                    if (sums != null) {
                        planCopy.updateFleetFigures(sums, live);
                    }
                    if (grown || view.planCopy() == null) {
                        view.updatePlan(planCopy, now());
                        tellStages();
                        relist();
                        report();
                    }
                });
    }

    private void tellStages() {
        Map<String, MaintenanceStage> now = new LinkedHashMap<>();
        planCopy.entries().forEach(e -> now.put(e.machine(), e.stage()));
        now.forEach(
                (m, s) -> {
                    if (stages.get(m) != s) {
                        log.accept(
                                "work: "
                                        + m
                                        + " "
                                        + s.name().toLowerCase(java.util.Locale.ROOT)
                                        + ", revision "
                                        + planCopy.revision());
                    }
                });
        stages.keySet().stream()
                .filter(m -> !now.containsKey(m))
                .forEach(
                        m ->
                                log.accept(
                                        "work: "
                                                + m
                                                + " in, or no more asked for, revision "
                                                + planCopy.revision()));
        stages.clear();
        stages.putAll(now);
    }

    @Override
    public void leaseUpdated(Duration ends, boolean over, long conductsUnder) {
        loop.run(
                () -> {
                    epoch = over ? 0 : conductsUnder;
                    if (over) {
                        view.endLease();
                    } else {
                        view.extendLease(ends);
                    }
                    if (view.isCurrent(now()) != wasCurrent) {
                        relist();
                        report();
                    } else {
                        nextAt = view.nextChangeAt(now());
                    }
                });
    }

    private void lookAgain() {
        look();
        report();
        conduct();
        loop.after(look, this::lookAgain);
    }

    /** What this driver says of itself. */
    private void report() {
        if (fleet == null || !view.isKnown()) {
            return;
        }
        Duration now = now();
        Set<String> clear = new TreeSet<>();
        Map<Integer, String> believes = new TreeMap<>();
        Map<Integer, Long> use = new TreeMap<>();
        if (view.isCurrent(now)) {
            for (Map.Entry<String, Duration> l : leftSince.entrySet()) {
                Machine m = planCopy.machines().get(l.getKey());
                if (m != null
                        && now.minus(l.getValue()).compareTo(rules.drainGrace()) > 0
                        && !members.busy(m::holds)) {
                    clear.add(l.getKey());
                }
            }
        }
        for (int g : touched()) {
            String primary = observations.primary(g, now);
            if (primary != null) {
                believes.put(g, primary);
            }
            use.put(g, busy.getOrDefault(g, 0L));
        }
        fleet.report(new DriverReport(knows, clear, believes, served, harmed, use));
    }

    /** The groups that have a member on a machine that is announced. */
    private Set<Integer> touched() {
        Set<Integer> groups = new TreeSet<>();
        for (MaintenancePlan.Entry e : planCopy.entries()) {
            Machine m = e.stage().announced() ? planCopy.machines().get(e.machine()) : null;
            if (m != null) {
                groups.addAll(m.groups());
            }
        }
        return groups;
    }

    // ---- conducting ----

    private void conduct() {
        if (epoch == 0 || fleet == null || !view.isCurrent(now())) {
            conductor = null;
            return;
        }
        if (conductor == null || conducts != epoch) {
            conductor = new MaintenanceController(rules, voters);
            conducts = epoch;
            log.accept(
                    "work: conducts under epoch "
                            + epoch
                            + ", "
                            + planCopy.entries().size()
                            + " machines asked for");
        }
        if (!Objects.equals(planCopy.inventoryLines(), rules.toLines())) {
            fleet.proposeMachines(epoch, rules.toLines());
            return;
        }
        List<MaintenanceController.Step> steps =
                conductor.nextSteps(planCopy, observations, System.currentTimeMillis(), now());
        askMembers();
        conductor.takeAlerts().forEach((m, text) -> log.accept("work: " + m + " " + text));
        if (!steps.isEmpty()) {
            fleet.proposeSteps(epoch, steps);
        }
    }

    /**
     * A conductor with few txns of its own sees little: it asks the members of the groups concerned
     * itself.
     */
    private void askMembers() {
        Duration now = now();
        Set<Integer> groups = conductor.groupsToObserve(planCopy);
        askedAt.keySet().retainAll(listed.keySet());
        for (Entry e : listed.values()) {
            Duration at = askedAt.get(e.uid());
            Entry as = told.get(e.uid());
            if (groups.contains(e.group())
                    && as != null
                    && !as.gone()
                    && !as.draining()
                    && (at == null || now.minus(at).compareTo(askEvery) >= 0)) {
                askedAt.put(e.uid(), now);
                members.ask(e.uid());
            }
        }
    }
}
