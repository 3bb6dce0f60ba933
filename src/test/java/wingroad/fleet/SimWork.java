package wingroad.fleet;

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
import wingroad.duty.Command;
import wingroad.duty.DutyStateMachine;
import wingroad.fleet.SimFleet.Proc;
import wingroad.fleet.SimFleet.Wrong;
import wingroad.work.DriverReport;
import wingroad.work.Machine;
import wingroad.work.MaintenanceController;
import wingroad.work.MaintenancePlan;
import wingroad.work.MaintenanceSettings;
import wingroad.work.MaintenanceStage;
import wingroad.work.MemberAvailability;
import wingroad.work.MemberObservations;
import wingroad.work.PlanCopy;

/**
 * Work on machines in virtual time: the program's plan, view and conductor on the played fleet,
 * played members with a ledger, operators that ask at random times, and a checker that knows the
 * truth.
 */
final class SimWork {
    private static final Duration EXPIRY = Duration.ofSeconds(2);
    private static final Duration GRACE = Duration.ofSeconds(1);
    private static final Duration LOOK = Duration.ofMillis(250);

    final MaintenanceSettings rules;
    private final SimFleet fleet;
    private final Random random;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<Integer, List<Member>> byGroup = new HashMap<>();
    private final Map<String, List<Member>> byMachine = new HashMap<>();

    /** What is settled, by the furthest register: machine to stage; and how far that is. */
    private Map<String, MaintenanceStage> settled = Map.of();

    private long furthest = -1;
    private final Set<String> wanted = new TreeSet<>();
    private final Map<String, Long> outAt = new HashMap<>();
    int asked;
    int out;
    int in;
    int txns;
    int declined;
    int lateOrders;
    final Set<Long> epochs = new HashSet<>();
    long lastOutWaits;

    private static final class Member {
        final String uid;
        final int group;
        final String machine;
        boolean primary;
        boolean up = true;
        int open;

        Member(String uid, int group, String machine) {
            this.uid = uid;
            this.group = group;
            this.machine = machine;
        }
    }

    /**
     * Machines in three zones; each holds a member of some groups, the first ones a driver as well.
     */
    SimWork(SimFleet fleet, int machines, int groups, int atOnce) {
        this.fleet = fleet;
        this.random = new Random(fleet.random.nextLong());
        Map<String, Machine> all = new TreeMap<>();
        List<List<Machine.MemberPattern>> parts = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            parts.add(new ArrayList<>());
        }
        int at = 0;
        for (int g = 0; g < groups; g++) {
            // Three members of a group on machines of three zones.
            for (int z = 0; z < 3; z++) {
                int on = (at / 3 * 3 + z) % machines;
                String uid = "g" + g + "z" + z;
                parts.get(on).add(new Machine.MemberPattern(uid, g));
                members.put(uid, new Member(uid, g, "m" + on));
                byGroup.computeIfAbsent(g, k -> new ArrayList<>()).add(members.get(uid));
                byMachine.computeIfAbsent("m" + on, k -> new ArrayList<>()).add(members.get(uid));
                members.get(uid).primary = z == g % 3;
            }
            at += 3;
        }
        for (int i = 0; i < machines; i++) {
            List<String> drivers = i < 3 ? List.of(SimFleet.name(i * 2)) : List.of();
            all.put("m" + i, new Machine("m" + i, "z" + i % 3, List.copyOf(parts.get(i)), drivers));
        }
        rules =
                new MaintenanceSettings(
                        all,
                        atOnce,
                        MaintenanceSettings.LostViewPolicy.STEADY,
                        Duration.ofSeconds(60),
                        Duration.ofSeconds(1),
                        0.3,
                        Duration.ofMillis(500),
                        0,
                        GRACE.plus(EXPIRY),
                        Duration.ofSeconds(1),
                        GRACE);
    }

    // ---- what is settled ----

    DutyStateMachine register(long first) {
        return new Watched(first);
    }

    /** The program's register, with the checker beside it, or with a wrong put in. */
    private final class Watched extends DutyStateMachine {
        Watched(long first) {
            super(
                    first,
                    fleet.wrong == Wrong.OUT_BY_MAJORITY
                            ? new ByMajority()
                            : new MaintenancePlan());
        }

        @Override
        protected boolean isFromCurrentController(Command op) {
            return fleet.wrong == Wrong.ORDER_WITHOUT_EPOCH || super.isFromCurrentController(op);
        }

        @Override
        public String apply(Command op) {
            boolean order =
                    op.kind() == Command.Kind.WORK_STEP || op.kind() == Command.Kind.WORK_MACHINES;
            boolean force = !order || super.isFromCurrentController(op);
            String result = super.apply(op);
            if (order && !force && result.isEmpty()) {
                fleet.breaks(
                        "a late order was taken: "
                                + op.subject()
                                + " to "
                                + op.argument()
                                + " under "
                                + op.epoch());
            }
            if (revision() > furthest) {
                furthest = revision();
                if (order && !force) {
                    lateOrders++;
                }
                if (order && force) {
                    epochs.add(op.epoch());
                }
                if (order
                        || op.kind() == Command.Kind.WORK_WORD
                        || op.kind() == Command.Kind.WORK_ASK) {
                    look(this);
                }
            }
            return result;
        }
    }

    private static final class ByMajority extends MaintenancePlan {
        @Override
        protected boolean mayProceedWithout(Set<String> missing) {
            return missing.size() * 2 < sessionCount();
        }
    }

    private void look(DutyStateMachine r) {
        Map<String, MaintenanceStage> now = new TreeMap<>();
        r.plan().entries().forEach(e -> now.put(e.machine(), e.stage()));
        now.forEach(
                (m, s) -> {
                    if (s != settled.get(m)) {
                        fleet.line("#", m + " " + s + " revision " + r.plan().revision());
                    }
                    if (s == MaintenanceStage.OUT && settled.get(m) != MaintenanceStage.OUT) {
                        out++;
                        outAt.put(m, fleet.now);
                        byMachine.getOrDefault(m, List.of()).stream()
                                .filter(x -> x.open > 0)
                                .forEach(
                                        x ->
                                                fleet.breaks(
                                                        m
                                                                + " was told to be out with "
                                                                + x.open
                                                                + " txns at "
                                                                + x.uid));
                    }
                });
        settled.keySet().stream().filter(m -> !now.containsKey(m)).forEach(m -> in++);
        settled = now;
        List<String> away =
                now.entrySet().stream()
                        .filter(e -> e.getValue() != MaintenanceStage.ASKED)
                        .map(Map.Entry::getKey)
                        .toList();
        for (String a : away) {
            for (String b : away) {
                if (a.compareTo(b) < 0) {
                    Machine x = rules.machines().get(a);
                    Machine y = rules.machines().get(b);
                    if (!x.zone().equals(y.zone())
                            || x.groups().stream().anyMatch(y.groups()::contains)) {
                        fleet.breaks("away together: " + a + " and " + b);
                    }
                }
            }
        }
    }

    // ---- a driver ----

    MaintenancePlanListener agent(Proc p) {
        Agent d = new Agent(p);
        p.schedule(LOOK, d::look);
        p.schedule(Duration.ofMillis(20), d::send);
        return d;
    }

    private final class Agent implements MaintenancePlanListener {
        private final Proc proc;
        private final MemberAvailability view;
        private final PlanCopy planCopy = new PlanCopy();
        private final MemberObservations observations = new MemberObservations(SimFleet.LEASE);
        private final Map<String, Integer> open = new HashMap<>();
        private final Map<String, Duration> leftSince = new HashMap<>();
        private MaintenanceController conductor;
        private long conducts;
        private long epoch;
        private long knows;
        private boolean was;
        private long served;
        private long harmed;

        Agent(Proc proc) {
            this.proc = proc;
            view = new MemberAvailability(rules, proc.now(), SimFleet.LEASE);
            members.values().forEach(m -> observations.updateListing(m.uid, m.group, false, true));
        }

        @Override
        public void planUpdated(Map<String, Object> news, List<?> sums, List<?> live) {
            planCopy.applyChanges(news);
            if (sums != null) {
                planCopy.updateFleetFigures(sums, live);
            }
            view.updatePlan(planCopy, proc.now());
            follow();
        }

        @Override
        public void leaseUpdated(Duration ends, boolean over, long conductsUnder) {
            epoch = over ? 0 : conductsUnder;
            if (over && fleet.wrong != Wrong.NO_LEASE_ON_VIEW) {
                view.endLease();
            } else {
                view.extendLease(fleet.wrong == Wrong.NO_LEASE_ON_VIEW ? Duration.ofDays(9) : ends);
            }
            follow();
        }

        private void follow() {
            boolean current = view.isCurrent(proc.now());
            if (current != was) {
                was = current;
                fleet.line(
                        proc.name,
                        "view " + (current ? "current" : "ended") + " at " + view.revision());
            }
            if (current) {
                knows = view.revision();
                Set<String> leaving = new TreeSet<>();
                view.drainingEntries().forEach(e -> leaving.add(e.machine()));
                leftSince.keySet().retainAll(leaving);
                leaving.forEach(m -> leftSince.putIfAbsent(m, proc.now()));
            }
            report();
        }

        private void report() {
            if (!view.isKnown()) {
                return;
            }
            Set<String> clear = new TreeSet<>();
            Map<Integer, String> believes = new TreeMap<>();
            if (view.isCurrent(proc.now())) {
                leftSince.forEach(
                        (m, since) -> {
                            boolean none =
                                    byMachine.getOrDefault(m, List.of()).stream()
                                            .noneMatch(x -> open.getOrDefault(x.uid, 0) > 0);
                            if (none && proc.now().minus(since).compareTo(GRACE) > 0) {
                                clear.add(m);
                            }
                        });
            }
            for (MaintenancePlan.Entry e : planCopy.entries()) {
                for (int g :
                        e.stage().announced()
                                ? planCopy.machines().get(e.machine()).groups()
                                : Set.<Integer>of()) {
                    String primary = observations.primary(g, proc.now());
                    if (primary != null) {
                        believes.put(g, primary);
                    }
                }
            }
            proc.councilSession.report(
                    new DriverReport(knows, clear, believes, served, harmed, Map.of()));
        }

        private void look() {
            report();
            Duration now = proc.now();
            if (epoch == 0 || !view.isCurrent(now)) {
                conductor = null;
            } else {
                if (conductor == null || conducts != epoch) {
                    conductor = new MaintenanceController(rules, fleet.voters.keySet());
                    conducts = epoch;
                }
                if (!planCopy.inventoryLines().equals(rules.toLines())) {
                    proc.councilSession.proposeAsController(
                            epoch, s -> Command.setMachines(s, epoch, rules.toLines()));
                } else {
                    members.values()
                            .forEach(
                                    m -> {
                                        if (m.up && !fleet.held.contains("member>" + proc.name)) {
                                            observations.recordReport(
                                                    m.uid, m.primary, Duration.ofMillis(30), now);
                                        } else {
                                            observations.recordFailure(m.uid, now);
                                        }
                                    });
                    long mine = epoch;
                    for (MaintenanceController.Step x :
                            conductor.nextSteps(planCopy, observations, proc.wallClockMs(), now)) {
                        Runnable order =
                                () ->
                                        proc.councilSession.proposeAsController(
                                                mine,
                                                s ->
                                                        Command.maintenanceStep(
                                                                s,
                                                                mine,
                                                                x.machine(),
                                                                x.target(),
                                                                x.stageRevision(),
                                                                x.reason()));
                        if (random.nextInt(4) == 0) {
                            // As one that is held up on its way, or wakes up late and does not look
                            // at its lease again.
                            String session = proc.councilSession.sessionLease().sessionId();
                            fleet.at(
                                    fleet.now + random.nextInt(8_000) * 1_000_000L,
                                    () ->
                                            late(
                                                    Command.maintenanceStep(
                                                            session,
                                                            mine,
                                                            x.machine(),
                                                            x.target(),
                                                            x.stageRevision(),
                                                            x.reason())));
                        }
                        order.run();
                    }
                }
            }
            proc.schedule(LOOK, this::look);
        }

        /** One txn to some member that may be sent to; the clock is read in the same turn. */
        private void send() {
            int g = random.nextInt(members.size() / 3);
            Duration now = proc.now();
            List<Member> fit =
                    byGroup.get(g).stream()
                            .filter(m -> m.up)
                            .filter(
                                    m -> {
                                        MemberAvailability.State s =
                                                view.state(m.uid, () -> true, now);
                                        return s == MemberAvailability.State.AS_LISTED
                                                || s == MemberAvailability.State.COLD;
                                    })
                            .toList();
            if (fit.isEmpty()) {
                harmed++;
                declined++;
            } else {
                Member m = fit.get(random.nextInt(fit.size()));
                open.merge(m.uid, 1, Integer::sum);
                fleet.at(fleet.now + 100_000 + random.nextInt(1_000_000), () -> arrives(m));
            }
            proc.schedule(Duration.ofMillis(20 + random.nextInt(30)), this::send);
        }

        private void arrives(Member m) {
            txns++;
            m.open++;
            if (settled.get(m.machine) == MaintenanceStage.OUT) {
                fleet.breaks(
                        "a txn of "
                                + proc.name
                                + " at "
                                + m.uid
                                + " on "
                                + m.machine
                                + ", out since "
                                + (fleet.now - outAt.get(m.machine)) / 1_000_000
                                + " ms");
            }
            long took = random.nextInt(30) == 0 ? 1500 : 2 + random.nextInt(20);
            fleet.at(
                    fleet.now + took * 1_000_000,
                    () -> {
                        m.open--;
                        open.merge(m.uid, -1, Integer::sum);
                        served++;
                        observations.recordReport(
                                m.uid, m.primary, Duration.ofMillis(30), proc.now());
                    });
        }
    }

    private void late(Command op) {
        fleet.procs.values().stream()
                .filter(p -> p.alive && p.consensusNode != null && p.consensusNode.isLeader())
                .findFirst()
                .ifPresent(p -> p.task(fleet.now, () -> p.consensusNode.proposeForTest(op)));
    }

    // ---- operators and members ----

    /**
     * Operators ask now and then, members fail and come back, primaries are moved where the plan
     * wants that.
     */
    void play(int seconds) {
        for (int s = 3; s < seconds; s++) {
            fleet.at(fleet.now + s * 1_000_000_000L, this::second);
        }
    }

    private boolean quiet;

    private void second() {
        if (!quiet && random.nextInt(3) == 0) {
            String m = "m" + random.nextInt(rules.machines().size());
            operator(Command.requestMaintenance(m, "test", 0, 0, List.of(), "ask " + asked++));
            wanted.add(m);
        }
        if (!quiet && random.nextInt(20) == 0) {
            operator(
                    Command.operatorCommand(
                            "hold", MaintenancePlan.ALL_MACHINES, "hold " + asked++));
            fleet.at(
                    fleet.now + 3_000_000_000L,
                    () ->
                            operator(
                                    Command.operatorCommand(
                                            "go", MaintenancePlan.ALL_MACHINES, "go " + asked++)));
        }
        if (!quiet && random.nextInt(12) == 0) {
            List<Member> all = new ArrayList<>(members.values());
            Member m = all.get(random.nextInt(all.size()));
            m.up = false;
            fleet.at(fleet.now + 4_000_000_000L, () -> m.up = true);
        }
        serveMachines();
    }

    /**
     * An operator knows of a process that has ended for good, with its state: there is another one
     * of its name now.
     */
    private void tellGone() {
        fleet.procs.values().stream()
                .filter(p -> p.alive && p.consensusNode != null)
                .forEach(
                        p ->
                                p.consensusNode
                                        .stateMachine()
                                        .plan()
                                        .lostDrivers()
                                        .forEach(
                                                a -> {
                                                    if (!fleet.procs
                                                            .get(a.name())
                                                            .identity
                                                            .equals(a.identity())) {
                                                        operator(
                                                                Command.operatorCommand(
                                                                        "gone",
                                                                        a.displayName(),
                                                                        "gone " + asked++));
                                                    }
                                                }));
    }

    /** Everything there is, at once. */
    void askAll() {
        quiet = true;
        rules.machines()
                .keySet()
                .forEach(
                        m ->
                                operator(
                                        Command.requestMaintenance(
                                                m, "test", 0, 0, List.of(), "ask " + asked++)));
    }

    int asksSettled() {
        return settled.size() + in;
    }

    private void serveMachines() {
        tellGone();
        settled.forEach(
                (m, s) -> {
                    if (s == MaintenanceStage.OUT && fleet.now - outAt.get(m) > 2_000_000_000L) {
                        operator(Command.operatorCommand("done", m, "done " + asked++));
                    }
                    if (s == MaintenanceStage.PLANNED) {
                        for (Member x : byMachine.getOrDefault(m, List.of())) {
                            if (x.primary) {
                                byGroup.get(x.group).stream()
                                        .filter(y -> y != x && y.up)
                                        .findFirst()
                                        .ifPresent(
                                                y -> {
                                                    x.primary = false;
                                                    y.primary = true;
                                                });
                            }
                        }
                    }
                });
    }

    private void operator(Command op) {
        List<Proc> voters =
                fleet.procs.values().stream()
                        .filter(p -> p.alive && !p.paused && p.consensusNode != null)
                        .toList();
        if (!voters.isEmpty()) {
            Proc p = voters.get(random.nextInt(voters.size()));
            p.task(
                    fleet.now,
                    () -> p.consensusNode.proposeForTest(op.withProposedAt(p.wallClockMs())));
        }
    }

    /** Whether everything that was asked for is in again. */
    boolean atRest() {
        quiet = true;
        members.values().forEach(m -> m.up = true);
        serveMachines();
        if (fleet.random.nextInt(4) == 0) {
            operator(Command.operatorCommand("go", MaintenancePlan.ALL_MACHINES, "go " + asked++));
        }
        return settled.isEmpty();
    }

    void end() {
        if (!settled.isEmpty()) {
            String waits =
                    fleet.procs.values().stream()
                            .filter(
                                    p ->
                                            p.alive
                                                    && p.consensusNode != null
                                                    && p.consensusNode.stateMachine().revision()
                                                            == furthest)
                            .findFirst()
                            .map(p -> p.consensusNode.stateMachine().plan())
                            .map(
                                    p ->
                                            p.entries().stream()
                                                    .map(
                                                            e ->
                                                                    e.machine()
                                                                            + " "
                                                                            + e.stage()
                                                                            + " waits "
                                                                            + p.waitReason(e))
                                                    .toList()
                                                    .toString())
                            .orElse("");
            fleet.breaks("left on the way at the end: " + settled + " " + waits);
        }
    }
}
