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
 * this driver left, and runs the maintenance controller while this driver owns that duty. Runs on
 * the event loop's thread, except for the calls of {@link MaintenancePlanListener}.
 */
final class MaintenanceAgent implements MaintenancePlanListener, TxnDispatcher.Observer {
    /**
     * How often the controller probes a member within the duration of a lease, which is how long
     * observations of members count.
     */
    private static final int PROBES_PER_LEASE = 3;

    /** A start time computed anew that differs by less than this is taken as unchanged. */
    private static final double START_TIME_TOLERANCE_MS = 1000;

    private final EventLoop loop;
    private final Clock clock;
    private final MaintenanceSettings settings;
    private final Collection<String> voters;
    private final TxnType[] types;
    private final MemberPools memberPools;
    private final Consumer<MemberList> onList;
    private final Consumer<String> log;

    private final Duration leaseDuration;

    private final Duration checkInterval;
    private final Duration probeInterval;
    private final MemberAvailability availability;
    private final PlanCopy planCopy = new PlanCopy();
    private final MemberObservations observations;

    /** Discovery's entries by the member's uid. */
    private final Map<String, Entry> discoveredEntries = new TreeMap<>();

    /** The entries that the router was last given, by the member's uid. */
    private final Map<String, Entry> effectiveEntries = new TreeMap<>();

    /** By machine: since when this driver has known that it drains or is out. */
    private final Map<String, Duration> drainingSince = new TreeMap<>();

    /** The stages of machines at the last change of the plan, to log what changes. */
    private final Map<String, MaintenanceStage> loggedStages = new TreeMap<>();

    /** The time that submissions have spent at the members of each group, in total. */
    private final Map<Integer, Long> busyMsByGroup = new TreeMap<>();

    /** When the controller last probed each member, by the member's uid. */
    private final Map<String, Duration> probedAt = new TreeMap<>();

    /** Null until the driver has joined its fleet. */
    private FleetNode fleet;

    /** Runs once the plan is known; null if it has run. */
    private Runnable onPlanKnown;

    /** When the effective entries change next even without a call from the fleet, or null. */
    private Duration nextRelistAt;

    /** The epoch under which this driver owns the controller's duty, or 0. */
    private long dutyEpoch;

    /** Null while this driver does not own the controller's duty. */
    private MaintenanceController controller;

    /** The epoch for which {@link #controller} was created. */
    private long controllerEpoch;

    /** The plan's revision that the router's member list reflects. */
    private long knownRevision;

    /** Txns committed within their SLA time. */
    private long servedCount;

    /** Txns declined, rolled back or committed late. */
    private long harmedCount;

    /** Whether the view of the plan was current at the last {@link #relist}. */
    private boolean wasCurrent;

    MaintenanceAgent(
            EventLoop loop,
            Clock clock,
            FleetConfig fleetConfig,
            TxnType[] types,
            MemberPools memberPools,
            Consumer<MemberList> onList,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.settings = fleetConfig.maintenance();
        this.voters = fleetConfig.voterAddresses().keySet();
        this.types = types;
        this.memberPools = memberPools;
        this.onList = onList;
        this.log = log;
        leaseDuration = fleetConfig.lease().duration();
        checkInterval = fleetConfig.lease().heartbeatInterval().dividedBy(2);
        probeInterval = fleetConfig.lease().duration().dividedBy(PROBES_PER_LEASE);
        availability = new MemberAvailability(settings, now(), fleetConfig.lease().duration());
        observations = new MemberObservations(fleetConfig.lease().duration());
        nextRelistAt = availability.nextChangeAt(now());
    }

    /** The time by the fleet's clock, in which leases are expressed. */
    private static Duration now() {
        return Duration.ofNanos(System.nanoTime());
    }

    /** Runs the task once the plan is known, but after the duration of a lease at the latest. */
    void whenKnown(Runnable task) {
        onPlanKnown = task;
        loop.schedule(leaseDuration, this::planKnown);
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
        if (list.complete()) {
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
            observations.updateListing(
                    entry.uid(), entry.group(), entry.isGone(), !entry.isDraining());
            if (entry.isGone()) {
                discoveredEntries.remove(entry.uid());
            } else {
                discoveredEntries.put(entry.uid(), entry);
            }
        }
        List<Entry> entries = new ArrayList<>();
        Duration now = now();
        for (Entry entry : list.entries()) {
            Entry effectiveEntry = entry.isGone() ? entry : effective(entry, now);
            entries.add(effectiveEntry);
            if (entry.isGone()) {
                effectiveEntries.remove(entry.uid());
            } else {
                effectiveEntries.put(entry.uid(), effectiveEntry);
            }
        }
        return new MemberList(list.version(), list.complete(), entries);
    }

    private Entry effective(Entry entry, Duration now) {
        MemberAvailability.State state =
                availability.state(entry.uid(), () -> groupHasOtherMember(entry), now);
        return switch (state) {
            case AS_LISTED -> entry;
            case DRAINING -> withState(entry, "draining", entry.startedAtMs());
            case GONE -> withState(entry, "gone", entry.startedAtMs());
            case COLD -> {
                Duration returnedAt = availability.returningSince(entry.uid());
                double startedAtUnixMs =
                        returnedAt == null
                                ? entry.startedAtMs()
                                : System.currentTimeMillis() - now.minus(returnedAt).toMillis();
                // What the router knows of the member should not change from list to list.
                Entry previous = effectiveEntries.get(entry.uid());
                boolean isSteady =
                        previous != null
                                && Math.abs(previous.startedAtMs() - startedAtUnixMs)
                                        < START_TIME_TOLERANCE_MS;
                yield withState(
                        entry,
                        entry.state(),
                        Math.max(
                                entry.startedAtMs(),
                                isSteady ? previous.startedAtMs() : startedAtUnixMs));
            }
        };
    }

    private static Entry withState(Entry entry, String state, double startedAt) {
        return new Entry(
                entry.uid(),
                entry.host(),
                entry.port(),
                entry.zone(),
                entry.model(),
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
                                        && !other.isDraining()
                                        && (availability.planCopy() == null
                                                || availability.planCopy().machineOf(other.uid())
                                                        == null
                                                || availability
                                                                .planCopy()
                                                                .entry(
                                                                        availability
                                                                                .planCopy()
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
        nextRelistAt = availability.nextChangeAt(now);
        boolean current = availability.isCurrent(now);
        if (current != wasCurrent) {
            wasCurrent = current;
            log.accept(
                    current
                            ? "work: the plan is known, revision "
                                    + availability.revision()
                                    + ", "
                                    + availability.planCopy().entries().size()
                                    + " machines requested"
                            : "work: the view of the plan has expired at revision "
                                    + availability.revision()
                                    + ": "
                                    + loggedStages.values().stream()
                                            .filter(MaintenanceStage::announced)
                                            .count()
                                    + " announced machines are avoided");
        }
        if (current) {
            knownRevision = availability.revision();
            updateDrainingSince(now);
            planKnown();
        }
    }

    private void updateDrainingSince(Duration now) {
        Set<String> drainingMachines = new TreeSet<>();
        availability
                .drainingEntries()
                .forEach(planEntry -> drainingMachines.add(planEntry.machine()));
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
            observations.recordReport(
                    uid,
                    role == Member.Role.UNKNOWN ? null : role == Member.Role.PRIMARY,
                    position == null ? null : clock.now().minus(position),
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
        loop.execute(
                () -> {
                    boolean isNewer = planCopy.applyChanges(changes);
                    if (figures != null) {
                        planCopy.updateFleetFigures(figures, liveDrivers);
                    }
                    if (isNewer || availability.planCopy() == null) {
                        availability.updatePlan(planCopy, now());
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
    public void leaseUpdated(Duration leaseEnd, boolean sessionEnded, long conductorEpoch) {
        loop.execute(
                () -> {
                    dutyEpoch = sessionEnded ? 0 : conductorEpoch;
                    if (sessionEnded) {
                        availability.endLease();
                    } else {
                        availability.extendLease(leaseEnd);
                    }
                    if (availability.isCurrent(now()) != wasCurrent) {
                        relist();
                        sendReport();
                    } else {
                        nextRelistAt = availability.nextChangeAt(now());
                    }
                });
    }

    private void checkPeriodically() {
        beforeRouting();
        sendReport();
        controlMaintenance();
        loop.schedule(checkInterval, this::checkPeriodically);
    }

    /** Sends the fleet this driver's state with regard to the plan. */
    private void sendReport() {
        if (fleet == null || !availability.isKnown()) {
            return;
        }
        Duration now = now();
        Set<String> clearedMachines = new TreeSet<>();
        Map<Integer, String> believedPrimaries = new TreeMap<>();
        Map<Integer, Long> busyMs = new TreeMap<>();
        if (availability.isCurrent(now)) {
            for (Map.Entry<String, Duration> draining : drainingSince.entrySet()) {
                Machine machine = planCopy.machines().get(draining.getKey());
                if (machine != null
                        && now.minus(draining.getValue()).compareTo(settings.drainGrace()) > 0
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

    // ---- control of maintenance work ----

    private void controlMaintenance() {
        if (dutyEpoch == 0 || fleet == null || !availability.isCurrent(now())) {
            controller = null;
            return;
        }
        if (controller == null || controllerEpoch != dutyEpoch) {
            controller = new MaintenanceController(settings, voters);
            controllerEpoch = dutyEpoch;
            log.accept(
                    "work: this driver is the conductor in epoch "
                            + dutyEpoch
                            + ", "
                            + planCopy.entries().size()
                            + " machines requested");
        }
        if (!Objects.equals(planCopy.inventoryLines(), settings.toLines())) {
            fleet.proposeMachines(dutyEpoch, settings.toLines());
            return;
        }
        List<MaintenanceController.Step> steps =
                controller.nextSteps(planCopy, observations, System.currentTimeMillis(), now());
        probeMembers();
        controller
                .takeAlerts()
                .forEach((machine, text) -> log.accept("work: " + machine + " " + text));
        if (!steps.isEmpty()) {
            fleet.proposeSteps(dutyEpoch, steps);
        }
    }

    /**
     * Probes the members of the groups concerned, since a controller with few txns of its own
     * observes too little.
     */
    private void probeMembers() {
        Duration now = now();
        Set<Integer> groups = controller.groupsToObserve(planCopy);
        probedAt.keySet().retainAll(discoveredEntries.keySet());
        for (Entry entry : discoveredEntries.values()) {
            Duration lastProbeAt = probedAt.get(entry.uid());
            Entry effectiveEntry = effectiveEntries.get(entry.uid());
            if (groups.contains(entry.group())
                    && effectiveEntry != null
                    && !effectiveEntry.isGone()
                    && !effectiveEntry.isDraining()
                    && (lastProbeAt == null
                            || now.minus(lastProbeAt).compareTo(probeInterval) >= 0)) {
                probedAt.put(entry.uid(), now);
                memberPools.probeRole(entry.uid());
            }
        }
    }
}
