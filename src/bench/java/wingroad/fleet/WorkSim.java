package wingroad.fleet;

import wingroad.fleet.SimFleet.InjectedBug;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

/**
 * Runs short maintenance histories in virtual time, thousands of them at once, or one seed with its
 * log.
 */
final class WorkSim {
    private WorkSim() {}

    /**
     * Arguments: {@code SEED} prints one history; {@code FROM COUNT} runs many on all cores and
     * prints the violations; {@code wrong MOST} searches up to that seed for a history that detects
     * each injected bug; {@code big} runs many drivers and machines.
     */
    static void main(String[] args) {
        if (args[0].equals("big")) {
            System.out.println(runLargeFleet(250, 999, 64));
            return;
        }
        if (args[0].equals("wrong")) {
            for (InjectedBug injectedBug :
                    List.of(
                            InjectedBug.NONE,
                            InjectedBug.NO_LEASE_ON_VIEW,
                            InjectedBug.OUT_BY_MAJORITY,
                            InjectedBug.ORDER_WITHOUT_EPOCH)) {
                long seed = 0;
                SimFleet fleet = runHistory(seed, injectedBug);
                while (fleet.violations.isEmpty() && seed < Long.parseLong(args[1])) {
                    fleet = runHistory(++seed, injectedBug);
                }
                System.out.println(
                        injectedBug
                                + " seed "
                                + seed
                                + ": "
                                + fleet.violations.stream().findFirst().orElse("nothing"));
            }
            return;
        }
        if (args.length == 1) {
            SimFleet fleet = runHistory(Long.parseLong(args[0]), InjectedBug.NONE);
            System.out.println(String.join("\n", fleet.logLines));
            fleet.processes
                    .values()
                    .forEach(
                            process ->
                                    System.out.println(
                                            process.name
                                                    + (process.alive ? "" : " dead")
                                                    + (process.paused ? " paused" : "")
                                                    + (process.consensusNode == null
                                                            ? ""
                                                            : " "
                                                                    + process.consensusNode
                                                                            .status()
                                                                            .get("phase")
                                                                    + " term "
                                                                    + process.consensusNode
                                                                            .status()
                                                                            .get("term")
                                                                    + " leader "
                                                                    + process.consensusNode
                                                                            .status()
                                                                            .get("leader")
                                                                    + " revision "
                                                                    + process.consensusNode
                                                                            .stateMachine()
                                                                            .revision())));
            return;
        }
        long firstSeed = Long.parseLong(args[0]);
        List<String> violations = new ArrayList<>();
        long[] totals = new long[7];
        long startedNanos = System.nanoTime();
        LongStream.range(firstSeed, firstSeed + Long.parseLong(args[1]))
                .parallel()
                .forEach(
                        seed -> {
                            SimFleet fleet = runHistory(seed, InjectedBug.NONE);
                            synchronized (violations) {
                                fleet.violations.forEach(
                                        violation ->
                                                violations.add("seed " + seed + ": " + violation));
                                totals[0] += fleet.faultCount;
                                totals[1] += fleet.maintenance.outCount;
                                totals[2] += fleet.maintenance.returnedCount;
                                totals[3] += fleet.maintenance.txnCount;
                                totals[4] += fleet.maintenance.staleStepsRefused;
                                totals[5] += fleet.maintenance.controllerEpochs.size();
                                totals[6] += fleet.maintenance.declinedTxnCount;
                            }
                        });
        violations.stream().limit(40).forEach(System.out::println);
        System.out.println(
                "work histories "
                        + args[1]
                        + ", broken "
                        + violations.size()
                        + ", faults "
                        + totals[0]
                        + ", out "
                        + totals[1]
                        + ", in "
                        + totals[2]
                        + ", txns "
                        + totals[3]
                        + ", late orders refused "
                        + totals[4]
                        + ", conductors "
                        + totals[5]
                        + ", declined "
                        + totals[6]
                        + ", s "
                        + (System.nanoTime() - startedNanos) / 1_000_000_000);
    }

    static SimFleet runHistory(long seed, InjectedBug injectedBug) {
        SimFleet fleet = new SimFleet(seed, 7, seed % 2 == 0 ? 3 : 5, 1, injectedBug);
        fleet.maintenance = new SimWork(fleet, 9, 6, 2);
        fleet.maintenance.scheduleOperatorActions(60);
        fleet.runHistory(40);
        return fleet;
    }

    /**
     * Runs many drivers and machines without faults, requests maintenance of all machines at once
     * and measures the time until 200 are out of service.
     */
    private static String runLargeFleet(
            int driverCount, int machineCount, int maxConcurrentMachines) {
        SimFleet fleet = new SimFleet(1, driverCount, 5, 0, InjectedBug.NONE);
        fleet.maintenance =
                new SimWork(fleet, machineCount, machineCount / 3, maxConcurrentMachines);
        fleet.processes.values().forEach(SimFleet.SimulatedProcess::start);
        fleet.advance(15_000);
        long idleMessagesPerSecond = fleet.sentMessageCount;
        fleet.advance(5_000);
        idleMessagesPerSecond = (fleet.sentMessageCount - idleMessagesPerSecond) / 5;
        long startedNanos = System.nanoTime();
        long requestedAtNanos = fleet.nowNanos;
        long messagesBefore = fleet.sentMessageCount;
        fleet.maintenance.requestAllMachines();
        while (fleet.maintenance.committedRequestCount() < machineCount
                && fleet.nowNanos - requestedAtNanos < 60_000_000_000L) {
            fleet.advance(20);
        }
        long planMs = (fleet.nowNanos - requestedAtNanos) / 1_000_000;
        fleet.maintenance.scheduleOperatorActions(600);
        int controlRounds = 0;
        while (fleet.maintenance.outCount < 200
                && fleet.nowNanos - requestedAtNanos < 300_000_000_000L) {
            fleet.advance(250);
            controlRounds++;
        }
        double elapsedSeconds = (fleet.nowNanos - requestedAtNanos) / 1e9;
        return String.format(
                java.util.Locale.ROOT,
                "drivers %d, machines %d, at once %d: plan_ms %d (all asks settled), out %d after"
                    + " %.1f s, rounds %d (looks of the conductor), messages_per_machine %.0f (of"
                    + " %.0f a second, %d at rest), broken %d, played in %d s",
                driverCount,
                machineCount,
                maxConcurrentMachines,
                planMs,
                fleet.maintenance.outCount,
                elapsedSeconds,
                controlRounds,
                (fleet.sentMessageCount - messagesBefore - idleMessagesPerSecond * elapsedSeconds)
                        / fleet.maintenance.outCount,
                (fleet.sentMessageCount - messagesBefore) / elapsedSeconds,
                idleMessagesPerSecond,
                fleet.violations.size(),
                (System.nanoTime() - startedNanos) / 1_000_000_000);
    }
}
