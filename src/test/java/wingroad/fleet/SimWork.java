package wingroad.fleet;

import wingroad.duty.Command;
import wingroad.duty.DutyStateMachine;
import wingroad.fleet.SimFleet.InjectedBug;
import wingroad.fleet.SimFleet.SimulatedProcess;
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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Simulation of machine maintenance in virtual time: the program's maintenance plan, member
 * availability and controller on a simulated fleet, simulated members that count their open txns,
 * operators that send requests at random times, and a checker that knows the actual state.
 */
final class SimWork {
    /** Expiry of txns: how long one may stay open at a member. */
    private static final Duration EXPIRY = Duration.ofSeconds(2);

    /**
     * How long a driver waits after it has stopped sending before it reports a machine as drained.
     */
    private static final Duration DRAIN_GRACE = Duration.ofSeconds(1);

    /** Interval between reports and controller rounds of a driver. */
    private static final Duration CONTROL_INTERVAL = Duration.ofMillis(250);

    final MaintenanceSettings settings;
    private final SimFleet fleet;
    private final Random random;
    private final Map<String, SimulatedMember> members = new TreeMap<>();
    private final Map<Integer, List<SimulatedMember>> membersByGroup = new HashMap<>();
    private final Map<String, List<SimulatedMember>> membersByMachine = new HashMap<>();

    /** Committed stage of each machine in the most advanced state machine. */
    private Map<String, MaintenanceStage> committedStages = Map.of();

    private long highestRevision = -1;
    private final Set<String> requestedMachines = new TreeSet<>();
    private final Map<String, Long> outSinceNanos = new HashMap<>();
    int operatorCommandCount;
    int outCount;
    int returnedCount;
    int txnCount;
    int declinedTxnCount;
    int staleStepsRefused;
    final Set<Long> controllerEpochs = new HashSet<>();
    long lastOutWaits;

    private static final class SimulatedMember {
        final String uid;
        final int group;
        final String machine;
        boolean primary;
        boolean up = true;
        int openTxnCount;

        SimulatedMember(String uid, int group, String machine) {
            this.uid = uid;
            this.group = group;
            this.machine = machine;
        }
    }

    /**
     * Creates machines in three zones. Each holds members of some groups; the first ones host a
     * driver as well.
     */
    SimWork(SimFleet fleet, int machineCount, int groupCount, int maxConcurrentMachines) {
        this.fleet = fleet;
        this.random = new Random(fleet.random.nextLong());
        Map<String, Machine> machineByName = new TreeMap<>();
        List<List<Machine.MemberPattern>> memberPatterns = new ArrayList<>();
        for (int i = 0; i < machineCount; i++) {
            memberPatterns.add(new ArrayList<>());
        }
        int machineOffset = 0;
        for (int group = 0; group < groupCount; group++) {
            // The three members of a group are on machines of three zones.
            for (int zone = 0; zone < 3; zone++) {
                int machineIndex = (machineOffset / 3 * 3 + zone) % machineCount;
                String uid = "g" + group + "z" + zone;
                memberPatterns.get(machineIndex).add(new Machine.MemberPattern(uid, group));
                members.put(uid, new SimulatedMember(uid, group, "m" + machineIndex));
                membersByGroup.computeIfAbsent(group, k -> new ArrayList<>()).add(members.get(uid));
                membersByMachine
                        .computeIfAbsent("m" + machineIndex, k -> new ArrayList<>())
                        .add(members.get(uid));
                members.get(uid).primary = zone == group % 3;
            }
            machineOffset += 3;
        }
        for (int i = 0; i < machineCount; i++) {
            List<String> machineDrivers = i < 3 ? List.of(SimFleet.processName(i * 2)) : List.of();
            machineByName.put(
                    "m" + i,
                    new Machine(
                            "m" + i,
                            "z" + i % 3,
                            List.copyOf(memberPatterns.get(i)),
                            machineDrivers));
        }
        settings =
                new MaintenanceSettings(
                        machineByName,
                        maxConcurrentMachines,
                        MaintenanceSettings.LostViewPolicy.STEADY,
                        Duration.ofSeconds(60),
                        Duration.ofSeconds(1),
                        0.3,
                        Duration.ofMillis(500),
                        0,
                        DRAIN_GRACE.plus(EXPIRY),
                        Duration.ofSeconds(1),
                        DRAIN_GRACE);
    }

    // ---- committed state ----

    DutyStateMachine newStateMachine(long firstRevision) {
        return new CheckedStateMachine(firstRevision);
    }

    /** The program's state machine with the checker attached, or with an injected bug. */
    private final class CheckedStateMachine extends DutyStateMachine {
        CheckedStateMachine(long firstRevision) {
            super(
                    firstRevision,
                    fleet.injectedBug == InjectedBug.OUT_BY_MAJORITY
                            ? new MajorityPlan()
                            : new MaintenancePlan());
        }

        @Override
        protected boolean isFromCurrentController(Command command) {
            return fleet.injectedBug == InjectedBug.ORDER_WITHOUT_EPOCH
                    || super.isFromCurrentController(command);
        }

        @Override
        public String apply(Command command) {
            boolean fromController =
                    command.kind() == Command.Kind.WORK_STEP
                            || command.kind() == Command.Kind.WORK_MACHINES;
            boolean currentEpoch = !fromController || super.isFromCurrentController(command);
            String result = super.apply(command);
            if (fromController && !currentEpoch && result.isEmpty()) {
                fleet.recordViolation(
                        "a stale controller step was accepted: "
                                + command.subject()
                                + " to "
                                + command.argument()
                                + " under "
                                + command.epoch());
            }
            if (revision() > highestRevision) {
                highestRevision = revision();
                if (fromController && !currentEpoch) {
                    staleStepsRefused++;
                }
                if (fromController && currentEpoch) {
                    controllerEpochs.add(command.epoch());
                }
                if (fromController
                        || command.kind() == Command.Kind.WORK_WORD
                        || command.kind() == Command.Kind.WORK_ASK) {
                    checkPlan(this);
                }
            }
            return result;
        }
    }

    private static final class MajorityPlan extends MaintenancePlan {
        @Override
        protected boolean mayProceedWithout(Set<String> missing) {
            return missing.size() * 2 < sessionCount();
        }
    }

    private void checkPlan(DutyStateMachine stateMachine) {
        Map<String, MaintenanceStage> stageByMachine = new TreeMap<>();
        stateMachine.plan().entries().forEach(e -> stageByMachine.put(e.machine(), e.stage()));
        stageByMachine.forEach(
                (machine, stage) -> {
                    if (stage != committedStages.get(machine)) {
                        fleet.logLine(
                                "#",
                                machine
                                        + " "
                                        + stage
                                        + " revision "
                                        + stateMachine.plan().revision());
                    }
                    if (stage == MaintenanceStage.OUT
                            && committedStages.get(machine) != MaintenanceStage.OUT) {
                        outCount++;
                        outSinceNanos.put(machine, fleet.nowNanos);
                        membersByMachine.getOrDefault(machine, List.of()).stream()
                                .filter(member -> member.openTxnCount > 0)
                                .forEach(
                                        member ->
                                                fleet.recordViolation(
                                                        machine
                                                                + " was committed as out with "
                                                                + member.openTxnCount
                                                                + " txns at "
                                                                + member.uid));
                    }
                });
        committedStages.keySet().stream()
                .filter(machine -> !stageByMachine.containsKey(machine))
                .forEach(machine -> returnedCount++);
        committedStages = stageByMachine;
        List<String> unavailable =
                stageByMachine.entrySet().stream()
                        .filter(e -> e.getValue() != MaintenanceStage.ASKED)
                        .map(Map.Entry::getKey)
                        .toList();
        for (String first : unavailable) {
            for (String second : unavailable) {
                if (first.compareTo(second) < 0) {
                    Machine firstMachine = settings.machines().get(first);
                    Machine secondMachine = settings.machines().get(second);
                    if (!firstMachine.zone().equals(secondMachine.zone())
                            || firstMachine.groups().stream()
                                    .anyMatch(secondMachine.groups()::contains)) {
                        fleet.recordViolation("unavailable together: " + first + " and " + second);
                    }
                }
            }
        }
    }

    // ---- a driver ----

    MaintenancePlanListener newAgent(SimulatedProcess process) {
        SimulatedAgent agent = new SimulatedAgent(process);
        process.schedule(CONTROL_INTERVAL, agent::runControlLoop);
        process.schedule(Duration.ofMillis(20), agent::sendTxn);
        return agent;
    }

    private final class SimulatedAgent implements MaintenancePlanListener {
        private final SimulatedProcess process;
        private final MemberAvailability availability;
        private final PlanCopy planCopy = new PlanCopy();
        private final MemberObservations observations =
                new MemberObservations(SimFleet.LEASE_DURATION);
        private final Map<String, Integer> openTxnsByMember = new HashMap<>();
        private final Map<String, Duration> drainingSince = new HashMap<>();
        private MaintenanceController controller;
        private long controllerEpoch;
        private long leasedEpoch;
        private long knownRevision;
        private boolean wasCurrent;
        private long servedTxnCount;
        private long harmedTxnCount;

        SimulatedAgent(SimulatedProcess process) {
            this.process = process;
            availability = new MemberAvailability(settings, process.now(), SimFleet.LEASE_DURATION);
            members.values()
                    .forEach(
                            member ->
                                    observations.updateListing(
                                            member.uid, member.group, false, true));
        }

        @Override
        public void planUpdated(Map<String, Object> changes, List<?> figures, List<?> liveDrivers) {
            planCopy.applyChanges(changes);
            if (figures != null) {
                planCopy.updateFleetFigures(figures, liveDrivers);
            }
            availability.updatePlan(planCopy, process.now());
            applyPlan();
        }

        @Override
        public void leaseUpdated(Duration leaseEnd, boolean expired, long grantedEpoch) {
            leasedEpoch = expired ? 0 : grantedEpoch;
            if (expired && fleet.injectedBug != InjectedBug.NO_LEASE_ON_VIEW) {
                availability.endLease();
            } else {
                availability.extendLease(
                        fleet.injectedBug == InjectedBug.NO_LEASE_ON_VIEW
                                ? Duration.ofDays(9)
                                : leaseEnd);
            }
            applyPlan();
        }

        private void applyPlan() {
            boolean current = availability.isCurrent(process.now());
            if (current != wasCurrent) {
                wasCurrent = current;
                fleet.logLine(
                        process.name,
                        "plan view "
                                + (current ? "current" : "ended")
                                + " at revision "
                                + availability.revision());
            }
            if (current) {
                knownRevision = availability.revision();
                Set<String> drainingMachines = new TreeSet<>();
                availability.drainingEntries().forEach(e -> drainingMachines.add(e.machine()));
                drainingSince.keySet().retainAll(drainingMachines);
                drainingMachines.forEach(
                        machine -> drainingSince.putIfAbsent(machine, process.now()));
            }
            sendReport();
        }

        private void sendReport() {
            if (!availability.isKnown()) {
                return;
            }
            Set<String> drainedMachines = new TreeSet<>();
            Map<Integer, String> primaryByGroup = new TreeMap<>();
            if (availability.isCurrent(process.now())) {
                drainingSince.forEach(
                        (machine, since) -> {
                            boolean noOpenTxns =
                                    membersByMachine.getOrDefault(machine, List.of()).stream()
                                            .noneMatch(
                                                    member ->
                                                            openTxnsByMember.getOrDefault(
                                                                            member.uid, 0)
                                                                    > 0);
                            if (noOpenTxns
                                    && process.now().minus(since).compareTo(DRAIN_GRACE) > 0) {
                                drainedMachines.add(machine);
                            }
                        });
            }
            for (MaintenancePlan.Entry entry : planCopy.entries()) {
                for (int group :
                        entry.stage().announced()
                                ? planCopy.machines().get(entry.machine()).groups()
                                : Set.<Integer>of()) {
                    String primary = observations.primary(group, process.now());
                    if (primary != null) {
                        primaryByGroup.put(group, primary);
                    }
                }
            }
            process.driverSession.report(
                    new DriverReport(
                            knownRevision,
                            drainedMachines,
                            primaryByGroup,
                            servedTxnCount,
                            harmedTxnCount,
                            Map.of()));
        }

        private void runControlLoop() {
            sendReport();
            Duration now = process.now();
            if (leasedEpoch == 0 || !availability.isCurrent(now)) {
                controller = null;
            } else {
                if (controller == null || controllerEpoch != leasedEpoch) {
                    controller = new MaintenanceController(settings, fleet.voters.keySet());
                    controllerEpoch = leasedEpoch;
                }
                if (!planCopy.inventoryLines().equals(settings.toLines())) {
                    process.driverSession.proposeAsController(
                            leasedEpoch,
                            sessionId ->
                                    Command.setMachines(
                                            sessionId, leasedEpoch, settings.toLines()));
                } else {
                    members.values()
                            .forEach(
                                    member -> {
                                        if (member.up
                                                && !fleet.heldDirections.contains(
                                                        "member>" + process.name)) {
                                            observations.recordReport(
                                                    member.uid,
                                                    member.primary,
                                                    Duration.ofMillis(30),
                                                    now);
                                        } else {
                                            observations.recordFailure(member.uid, now);
                                        }
                                    });
                    long stepEpoch = leasedEpoch;
                    for (MaintenanceController.Step step :
                            controller.nextSteps(
                                    planCopy, observations, process.wallClockMs(), now)) {
                        Runnable proposal =
                                () ->
                                        process.driverSession.proposeAsController(
                                                stepEpoch,
                                                sessionId ->
                                                        Command.maintenanceStep(
                                                                sessionId,
                                                                stepEpoch,
                                                                step.machine(),
                                                                step.target(),
                                                                step.stageRevision(),
                                                                step.reason()));
                        if (random.nextInt(4) == 0) {
                            // Proposes the step again later, like a controller whose message is
                            // delayed or that resumes without checking its lease.
                            String session = process.driverSession.sessionLease().sessionId();
                            fleet.scheduleAt(
                                    fleet.nowNanos + random.nextInt(8_000) * 1_000_000L,
                                    () ->
                                            proposeLate(
                                                    Command.maintenanceStep(
                                                            session,
                                                            stepEpoch,
                                                            step.machine(),
                                                            step.target(),
                                                            step.stageRevision(),
                                                            step.reason())));
                        }
                        proposal.run();
                    }
                }
            }
            process.schedule(CONTROL_INTERVAL, this::runControlLoop);
        }

        /** Sends one txn to a random eligible member; the clock is read in the same task. */
        private void sendTxn() {
            int group = random.nextInt(members.size() / 3);
            Duration now = process.now();
            List<SimulatedMember> eligible =
                    membersByGroup.get(group).stream()
                            .filter(member -> member.up)
                            .filter(
                                    member -> {
                                        MemberAvailability.State state =
                                                availability.state(member.uid, () -> true, now);
                                        return state == MemberAvailability.State.AS_LISTED
                                                || state == MemberAvailability.State.COLD;
                                    })
                            .toList();
            if (eligible.isEmpty()) {
                harmedTxnCount++;
                declinedTxnCount++;
            } else {
                SimulatedMember member = eligible.get(random.nextInt(eligible.size()));
                openTxnsByMember.merge(member.uid, 1, Integer::sum);
                fleet.scheduleAt(
                        fleet.nowNanos + 100_000 + random.nextInt(1_000_000),
                        () -> txnArrives(member));
            }
            process.schedule(Duration.ofMillis(20 + random.nextInt(30)), this::sendTxn);
        }

        private void txnArrives(SimulatedMember member) {
            txnCount++;
            member.openTxnCount++;
            if (committedStages.get(member.machine) == MaintenanceStage.OUT) {
                fleet.recordViolation(
                        "a txn of "
                                + process.name
                                + " at "
                                + member.uid
                                + " on "
                                + member.machine
                                + ", out since "
                                + (fleet.nowNanos - outSinceNanos.get(member.machine)) / 1_000_000
                                + " ms");
            }
            long durationMs = random.nextInt(30) == 0 ? 1500 : 2 + random.nextInt(20);
            fleet.scheduleAt(
                    fleet.nowNanos + durationMs * 1_000_000,
                    () -> {
                        member.openTxnCount--;
                        openTxnsByMember.merge(member.uid, -1, Integer::sum);
                        servedTxnCount++;
                        observations.recordReport(
                                member.uid, member.primary, Duration.ofMillis(30), process.now());
                    });
        }
    }

    private void proposeLate(Command command) {
        fleet.processes.values().stream()
                .filter(
                        process ->
                                process.alive
                                        && process.consensusNode != null
                                        && process.consensusNode.isLeader())
                .findFirst()
                .ifPresent(
                        process ->
                                process.runAt(
                                        fleet.nowNanos,
                                        () -> process.consensusNode.proposeForTest(command)));
    }

    // ---- operators and members ----

    /**
     * Schedules random operator requests and member failures; primaries are moved when the plan
     * needs it.
     */
    void scheduleOperatorActions(int seconds) {
        for (int second = 3; second < seconds; second++) {
            fleet.scheduleAt(fleet.nowNanos + second * 1_000_000_000L, this::runOperatorActions);
        }
    }

    private boolean requestsStopped;

    private void runOperatorActions() {
        if (!requestsStopped && random.nextInt(3) == 0) {
            String machineName = "m" + random.nextInt(settings.machines().size());
            sendOperatorCommand(
                    Command.requestMaintenance(
                            machineName, "test", 0, 0, List.of(), "ask " + operatorCommandCount++));
            requestedMachines.add(machineName);
        }
        if (!requestsStopped && random.nextInt(20) == 0) {
            sendOperatorCommand(
                    Command.operatorCommand(
                            "hold",
                            MaintenancePlan.ALL_MACHINES,
                            "hold " + operatorCommandCount++));
            fleet.scheduleAt(
                    fleet.nowNanos + 3_000_000_000L,
                    () ->
                            sendOperatorCommand(
                                    Command.operatorCommand(
                                            "go",
                                            MaintenancePlan.ALL_MACHINES,
                                            "go " + operatorCommandCount++)));
        }
        if (!requestsStopped && random.nextInt(12) == 0) {
            List<SimulatedMember> machineByName = new ArrayList<>(members.values());
            SimulatedMember machineName = machineByName.get(random.nextInt(machineByName.size()));
            machineName.up = false;
            fleet.scheduleAt(fleet.nowNanos + 4_000_000_000L, () -> machineName.up = true);
        }
        serviceMachines();
    }

    /**
     * Reports drivers as gone whose process has ended for good with its state: another process has
     * their name now.
     */
    private void reportLostDrivers() {
        fleet.processes.values().stream()
                .filter(process -> process.alive && process.consensusNode != null)
                .forEach(
                        process ->
                                process.consensusNode
                                        .stateMachine()
                                        .plan()
                                        .lostDrivers()
                                        .forEach(
                                                driver -> {
                                                    if (!fleet.processes
                                                            .get(driver.name())
                                                            .identity
                                                            .equals(driver.identity())) {
                                                        sendOperatorCommand(
                                                                Command.operatorCommand(
                                                                        "gone",
                                                                        driver.displayName(),
                                                                        "gone "
                                                                                + operatorCommandCount++));
                                                    }
                                                }));
    }

    /** Requests maintenance of all machines at once. */
    void requestAllMachines() {
        requestsStopped = true;
        settings.machines()
                .keySet()
                .forEach(
                        machine ->
                                sendOperatorCommand(
                                        Command.requestMaintenance(
                                                machine,
                                                "test",
                                                0,
                                                0,
                                                List.of(),
                                                "ask " + operatorCommandCount++)));
    }

    int committedRequestCount() {
        return committedStages.size() + returnedCount;
    }

    private void serviceMachines() {
        reportLostDrivers();
        committedStages.forEach(
                (machine, stage) -> {
                    if (stage == MaintenanceStage.OUT
                            && fleet.nowNanos - outSinceNanos.get(machine) > 2_000_000_000L) {
                        sendOperatorCommand(
                                Command.operatorCommand(
                                        "done", machine, "done " + operatorCommandCount++));
                    }
                    if (stage == MaintenanceStage.PLANNED) {
                        for (SimulatedMember member :
                                membersByMachine.getOrDefault(machine, List.of())) {
                            if (member.primary) {
                                membersByGroup.get(member.group).stream()
                                        .filter(successor -> successor != member && successor.up)
                                        .findFirst()
                                        .ifPresent(
                                                successor -> {
                                                    member.primary = false;
                                                    successor.primary = true;
                                                });
                            }
                        }
                    }
                });
    }

    private void sendOperatorCommand(Command command) {
        List<SimulatedProcess> voters =
                fleet.processes.values().stream()
                        .filter(
                                voter ->
                                        voter.alive && !voter.paused && voter.consensusNode != null)
                        .toList();
        if (!voters.isEmpty()) {
            SimulatedProcess voter = voters.get(random.nextInt(voters.size()));
            voter.runAt(
                    fleet.nowNanos,
                    () ->
                            voter.consensusNode.proposeForTest(
                                    command.withProposedAt(voter.wallClockMs())));
        }
    }

    /**
     * Returns whether all requested machines are back in service; ends new requests and member
     * failures.
     */
    boolean isIdle() {
        requestsStopped = true;
        members.values().forEach(member -> member.up = true);
        serviceMachines();
        if (fleet.random.nextInt(4) == 0) {
            sendOperatorCommand(
                    Command.operatorCommand(
                            "go", MaintenancePlan.ALL_MACHINES, "go " + operatorCommandCount++));
        }
        return committedStages.isEmpty();
    }

    void checkAllReturned() {
        if (!committedStages.isEmpty()) {
            String waitReasons =
                    fleet.processes.values().stream()
                            .filter(
                                    process ->
                                            process.alive
                                                    && process.consensusNode != null
                                                    && process.consensusNode
                                                                    .stateMachine()
                                                                    .revision()
                                                            == highestRevision)
                            .findFirst()
                            .map(process -> process.consensusNode.stateMachine().plan())
                            .map(
                                    plan ->
                                            plan.entries().stream()
                                                    .map(
                                                            entry ->
                                                                    entry.machine()
                                                                            + " "
                                                                            + entry.stage()
                                                                            + " waits "
                                                                            + plan.waitReason(
                                                                                    entry))
                                                    .toList()
                                                    .toString())
                            .orElse("");
            fleet.recordViolation(
                    "maintenance not finished at the end: " + committedStages + " " + waitReasons);
        }
    }
}
