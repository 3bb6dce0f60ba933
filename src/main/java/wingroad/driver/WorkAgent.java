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
 * Applies the plan of maintenance work at this driver: combines discovery's member lists with the
 * plan into the lists that the router is given, reports which draining machines have no txns of
 * this driver left, and conducts the work while this driver owns that duty. Runs on the event
 * loop's thread, except for the calls of {@link MaintenancePlanListener}.
 */
final class WorkAgent implements MaintenancePlanListener, TxnDispatcher.Observer {
    /**
     * How often the conductor probes a member within the duration of a lease, which is how long
     * observations of members count.
     */
    private static final int PROBES_PER_LEASE = 3;

    /** A start time computed anew that differs by less than this is taken as unchanged. */
    private static final double START_TIME_TOLERANCE_MS = 1000;

    private final EventLoop loop;
    private final Clock clock;
    private final MaintenanceSettings rules;
    private final Collection<String> voters;
    private final TxnType[] types;
    private final MemberPools memberPools;
    private final Consumer<MemberList> onList;
    private final Consumer<String> log;

    /** For how long a lease is held. */
    private final Duration lease;

    private final Duration checkInterval;
    private final Duration probeInterval;
    private final MemberAvailability view;
    private final PlanCopy planCopy = new PlanCopy();
    private final MemberObservations observations;

    /** Discovery's entries by the member's uid. */
    private final Map<String, Entry> discoveredEntries = new TreeMap<>();

    /** What the router was last told of each member, by the member's uid. */
    private final Map<String, Entry> effectiveEntries = new TreeMap<>();

    /** By machine: since when this driver has known that it drains or is out. */
    private final Map<String, Duration> drainingSince = new TreeMap<>();

    /** The stages of machines at the last change of the plan, to log what changes. */
    private final Map<String, MaintenanceStage> loggedStages = new TreeMap<>();

    /** The time that submissions have spent at the members of each group, in total. */
    private final Map<Integer, Long> busyMsByGroup = new TreeMap<>();

    /** When the conductor last probed each member, by the member's uid. */
    private final Map<String, Duration> probedAt = new TreeMap<>();

    /** Null until the driver has joined its fleet. */
    private FleetNode fleet;

    /** Runs once the plan is known; null if it has run. */
    private Runnable onPlanKnown;

    /** When the effective entries change next even if nothing is heard, or null. */
    private Duration nextRelistAt;

    /** The epoch under which this driver owns the conductor's duty, or 0. */
    private long epoch;

    /** Null while this driver does not conduct. */
    private MaintenanceController conductor;

    /** The epoch for which {@link #conductor} was created. */
    private long conductorEpoch;

    /** The plan's revision of which the router has been told. */
    private long knownRevision;

    /** Txns committed within their SLA time. */
    private long servedCount;

    /** Txns declined, rolled back or committed late. */
    private long harmedCount;

    /** Whether the view of the plan was current at the last {@link #relist}. */
    private boolean wasCurrent;

    WorkAgent(
            EventLoop loop,
            Clock clock,
            FleetConfig fleet,
            TxnType[] types,
            MemberPools memberPools,
            Consumer<MemberList> onList,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.rules = fleet.maintenance();
        this.voters = fleet.voterAddresses().keySet();
        this.types = types;
        this.memberPools = memberPools;
        this.onList = onList;
        this.log = log;
        lease = fleet.lease().duration();
        checkInterval = fleet.lease().heartbeatInterval().dividedBy(2);
        probeInterval = fleet.lease().duration().dividedBy(PROBES_PER_LEASE);
        view = new MemberAvailability(rules, now(), fleet.lease().duration());
        observations = new MemberObservations(fleet.lease().duration());
        nextRelistAt = view.nextChangeAt(now());
    }

    /** The time by the fleet's clock, in which leases are expressed. */
    private static Duration now() {
        return Duration.ofNanos(System.nanoTime());
    }

    /** Runs the task once the plan is known, but after the duration of a lease at the latest. */
    void whenKnown(Runnable task) {
        onPlanKnown = task;
        loop.after(lease, this::planKnown);
    }

    private void planKnown() {
        if (onPlanKnown != null) {
            Runnable task = onPlanKnown;
            onPlanKnown = null;
            task.run();
        }
    }

    void start(FleetNode joinedFleet) {
        fleet = joinedFleet;
        checkPeriodically();
    }

    // ---- member lists ----

    /** Applies the plan to a list received from discovery or the list's owner, for the router. */
    MemberList effective(MemberList list) {
        if (list.whole()) {
            Set<String> listedUids = new TreeSet<>();
            list.entries().forEach(entry -> listedUids.add(entry.uid()));
            for (String uid : List.copyOf(discoveredEntries.keySet())) {
                if (!listedUids.contains(uid)) {
                    discoveredEntries.remove(uid);
                    effectiveEntries.remove(uid);
                    observations.updateListing(uid, 0, true, false);
                }
            }
        }
        for (Entry entry : list.entries()) {
            observations.updateListing(entry.uid(), entry.group(), entry.gone(), !entry.draining());
            if (entry.gone()) {
                discoveredEntries.remove(entry.uid());
            } else {
                discoveredEntries.put(entry.uid(), entry);
            }
        }
        List<Entry> entries = new ArrayList<>();
        Duration now = now();
        for (Entry entry : list.entries()) {
            Entry effectiveEntry = entry.gone() ? entry : effective(entry, now);
            entries.add(effectiveEntry);
            if (entry.gone()) {
                effectiveEntries.remove(entry.uid());
            } else {
                effectiveEntries.put(entry.uid(), effectiveEntry);
            }
        }
        return new MemberList(list.version(), list.whole(), entries);
    }

    private Entry effective(Entry entry, Duration now) {
        MemberAvailability.State state =
                view.state(entry.uid(), () -> groupHasOtherMember(entry), now);
        return switch (state) {
            case AS_LISTED -> entry;
            case DRAINING -> withState(entry, "draining", entry.startedAt());
            case GONE -> withState(entry, "gone", entry.startedAt());
            case COLD -> {
                Duration returnedAt = view.returningSince(entry.uid());
                double startedAtUnixMs =
                        returnedAt == null
                                ? entry.startedAt()
                                : System.currentTimeMillis() - now.minus(returnedAt).toMillis();
                // What the router is told of the member should not change from list to list.
                Entry previous = effectiveEntries.get(entry.uid());
                boolean isSteady =
                        previous != null
                                && Math.abs(previous.startedAt() - startedAtUnixMs)
                                        < START_TIME_TOLERANCE_MS;
                yield withState(
                        entry,
                        entry.state(),
                        Math.max(
                                entry.startedAt(),
                                isSteady ? previous.startedAt() : startedAtUnixMs));
            }
        };
    }

    private static Entry withState(Entry entry, String state, double startedAt) {
        return new Entry(
                entry.uid(),
                entry.host(),
                entry.port(),
                entry.zone(),
                entry.kind(),
                entry.group(),
                state,
                entry.weight(),
                startedAt,
                entry.primary());
    }

    /** Whether the group has another listed member that is not draining and in no plan. */
    private boolean groupHasOtherMember(Entry entry) {
        return discoveredEntries.values().stream()
                .anyMatch(
                        other ->
                                other.group() == entry.group()
                                        && !other.uid().equals(entry.uid())
                                        && !other.draining()
                                        && (view.planCopy() == null
                                                || view.planCopy().machineOf(other.uid()) == null
                                                || view.planCopy()
                                                                .entry(
                                                                        view.planCopy()
                                                                                .machineOf(
                                                                                        other.uid())
                                                                                .name())
                                                        == null));
    }

    /** Tells the router which members changed because of the plan or the end of a lease. */
    private void relist() {
        Duration now = now();
        List<Entry> changed = new ArrayList<>();
        for (Entry entry : discoveredEntries.values()) {
            Entry effectiveEntry = effective(entry, now);
            if (!effectiveEntry.equals(effectiveEntries.get(entry.uid()))) {
                effectiveEntries.put(entry.uid(), effectiveEntry);
                changed.add(effectiveEntry);
            }
        }
        if (!changed.isEmpty()) {
            onList.accept(new MemberList(0, false, changed));
        }
        nextRelistAt = view.nextChangeAt(now);
        boolean current = view.isCurrent(now);
        if (current != wasCurrent) {
            wasCurrent = current;
            log.accept(
                    current
                            ? "work: the plan is known, revision "
                                    + view.revision()
                                    + ", "
                                    + view.planCopy().entries().size()
                                    + " machines requested"
                            : "work: the view of the plan has expired at revision "
                                    + view.revision()
                                    + ": "
                                    + loggedStages.values().stream()
                                            .filter(MaintenanceStage::announced)
                                            .count()
                                    + " announced machines are avoided");
        }
        if (current) {
            knownRevision = view.revision();
            updateDrainingSince(now);
            planKnown();
        }
    }

    private void updateDrainingSince(Duration now) {
        Set<String> drainingMachines = new TreeSet<>();
        view.drainingEntries().forEach(planEntry -> drainingMachines.add(planEntry.machine()));
        drainingSince.keySet().retainAll(drainingMachines);
        drainingMachines.forEach(machine -> drainingSince.putIfAbsent(machine, now));
    }

    // ---- observations from the dispatcher ----

    @Override
    public void beforeRouting() {
        if (nextRelistAt != null && now().compareTo(nextRelistAt) >= 0) {
            relist();
        }
    }

    @Override
    public void onMemberStatus(long member, Member.Role role, Duration position) {
        String uid = memberPools.uid(member);
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
    public void onMemberFailure(long member) {
        String uid = memberPools.uid(member);
        if (uid != null) {
            observations.recordFailure(uid, now());
        }
    }

    @Override
    public void onSubmissionEnd(long member, Duration elapsed) {
        Entry entry = discoveredEntries.get(memberPools.uid(member));
        if (entry != null) {
            busyMsByGroup.merge(entry.group(), elapsed.toMillis(), Long::sum);
        }
    }

    @Override
    public void onTxnEnd(int typeIndex, Duration sinceArrival, boolean committed) {
        if (committed
                && (typeIndex >= types.length
                        || sinceArrival.compareTo(types[typeIndex].slaTime()) <= 0)) {
            servedCount++;
        } else {
            harmedCount++;
        }
    }

    // ---- calls from the fleet ----

    @Override
    public void planUpdated(Map<String, Object> changes, List<?> figures, List<?> liveDrivers) {
        loop.run(
                () -> {
                    boolean isNewer = planCopy.applyChanges(changes);
                    if (figures != null) {
                        planCopy.updateFleetFigures(figures, liveDrivers);
                    }
                    if (isNewer || view.planCopy() == null) {
                        view.updatePlan(planCopy, now());
                        logStageChanges();
                        relist();
                        sendReport();
                    }
                });
    }

    private void logStageChanges() {
        Map<String, MaintenanceStage> current = new LinkedHashMap<>();
        planCopy.entries()
                .forEach(planEntry -> current.put(planEntry.machine(), planEntry.stage()));
        current.forEach(
                (machine, stage) -> {
                    if (loggedStages.get(machine) != stage) {
                        log.accept(
                                "work: "
                                        + machine
                                        + " "
                                        + stage.name().toLowerCase(java.util.Locale.ROOT)
                                        + ", revision "
                                        + planCopy.revision());
                    }
                });
        loggedStages.keySet().stream()
                .filter(machine -> !current.containsKey(machine))
                .forEach(
                        machine ->
                                log.accept(
                                        "work: "
                                                + machine
                                                + " back in service, or no longer requested,"
                                                + " revision "
                                                + planCopy.revision()));
        loggedStages.clear();
        loggedStages.putAll(current);
    }

    @Override
    public void leaseUpdated(Duration leaseEnd, boolean sessionEnded, long conductingEpoch) {
        loop.run(
                () -> {
                    epoch = sessionEnded ? 0 : conductingEpoch;
                    if (sessionEnded) {
                        view.endLease();
                    } else {
                        view.extendLease(leaseEnd);
                    }
                    if (view.isCurrent(now()) != wasCurrent) {
                        relist();
                        sendReport();
                    } else {
                        nextRelistAt = view.nextChangeAt(now());
                    }
                });
    }

    private void checkPeriodically() {
        beforeRouting();
        sendReport();
        conduct();
        loop.after(checkInterval, this::checkPeriodically);
    }

    /** Sends the fleet this driver's state with regard to the plan. */
    private void sendReport() {
        if (fleet == null || !view.isKnown()) {
            return;
        }
        Duration now = now();
        Set<String> clearedMachines = new TreeSet<>();
        Map<Integer, String> believedPrimaries = new TreeMap<>();
        Map<Integer, Long> busyMs = new TreeMap<>();
        if (view.isCurrent(now)) {
            for (Map.Entry<String, Duration> draining : drainingSince.entrySet()) {
                Machine machine = planCopy.machines().get(draining.getKey());
                if (machine != null
                        && now.minus(draining.getValue()).compareTo(rules.drainGrace()) > 0
                        && !memberPools.hasTxnAt(machine::holds)) {
                    clearedMachines.add(draining.getKey());
                }
            }
        }
        for (int group : affectedGroups()) {
            String primary = observations.primary(group, now);
            if (primary != null) {
                believedPrimaries.put(group, primary);
            }
            busyMs.put(group, busyMsByGroup.getOrDefault(group, 0L));
        }
        fleet.report(
                new DriverReport(
                        knownRevision,
                        clearedMachines,
                        believedPrimaries,
                        servedCount,
                        harmedCount,
                        busyMs));
    }

    /** The groups that have a member on an announced machine. */
    private Set<Integer> affectedGroups() {
        Set<Integer> groups = new TreeSet<>();
        for (MaintenancePlan.Entry planEntry : planCopy.entries()) {
            Machine machine =
                    planEntry.stage().announced()
                            ? planCopy.machines().get(planEntry.machine())
                            : null;
            if (machine != null) {
                groups.addAll(machine.groups());
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
        if (conductor == null || conductorEpoch != epoch) {
            conductor = new MaintenanceController(rules, voters);
            conductorEpoch = epoch;
            log.accept(
                    "work: conducts in epoch "
                            + epoch
                            + ", "
                            + planCopy.entries().size()
                            + " machines requested");
        }
        if (!Objects.equals(planCopy.inventoryLines(), rules.toLines())) {
            fleet.proposeMachines(epoch, rules.toLines());
            return;
        }
        List<MaintenanceController.Step> steps =
                conductor.nextSteps(planCopy, observations, System.currentTimeMillis(), now());
        probeMembers();
        conductor
                .takeAlerts()
                .forEach((machine, text) -> log.accept("work: " + machine + " " + text));
        if (!steps.isEmpty()) {
            fleet.proposeSteps(epoch, steps);
        }
    }

    /**
     * Probes the members of the groups concerned, since a conductor with few txns of its own
     * observes too little.
     */
    private void probeMembers() {
        Duration now = now();
        Set<Integer> groups = conductor.groupsToObserve(planCopy);
        probedAt.keySet().retainAll(discoveredEntries.keySet());
        for (Entry entry : discoveredEntries.values()) {
            Duration lastProbeAt = probedAt.get(entry.uid());
            Entry effectiveEntry = effectiveEntries.get(entry.uid());
            if (groups.contains(entry.group())
                    && effectiveEntry != null
                    && !effectiveEntry.gone()
                    && !effectiveEntry.draining()
                    && (lastProbeAt == null
                            || now.minus(lastProbeAt).compareTo(probeInterval) >= 0)) {
                probedAt.put(entry.uid(), now);
                memberPools.probeRole(entry.uid());
            }
        }
    }
}
