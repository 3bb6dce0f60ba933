package wingroad.fleet;

import wingroad.fleet.SimFleet.InjectedBug;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs short fleet histories in virtual time, thousands of them at once, or one seed with its log.
 */
public final class OwnerSim {
    private OwnerSim() {}

    /**
     * Arguments: {@code SEED} prints one history; {@code FROM COUNT} runs many on all cores and
     * prints the violations; {@code wrong MOST} searches up to that seed for a history that detects
     * each injected bug; {@code big} runs a large fleet; {@code work ...} passes the rest to {@link
     * WorkSim}.
     */
    public static void main(String[] args) {
        if (args[0].equals("big")) {
            System.out.println(runLargeFleet(250, 100));
            return;
        }
        if (args.length == 1) {
            SimFleet fleet = runHistory(Long.parseLong(args[0]), InjectedBug.NONE);
            System.out.println(String.join("\n", fleet.logLines));
            return;
        }
        if (args[0].equals("work")) {
            WorkSim.main(java.util.Arrays.copyOfRange(args, 1, args.length));
            return;
        }
        if (args[0].equals("wrong")) {
            for (InjectedBug injectedBug :
                    List.of(
                            InjectedBug.NONE,
                            InjectedBug.NO_FENCE,
                            InjectedBug.LEASE_FROM_ANSWER,
                            InjectedBug.VOTE_FORGOTTEN)) {
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
        long firstSeed = Long.parseLong(args[0]);
        List<String> violations = new ArrayList<>();
        long[] totals = new long[3];
        long startedNanos = System.nanoTime();
        java.util.stream.LongStream.range(firstSeed, firstSeed + Long.parseLong(args[1]))
                .parallel()
                .forEach(
                        seed -> {
                            SimFleet fleet = runHistory(seed, InjectedBug.NONE);
                            synchronized (violations) {
                                fleet.violations.forEach(
                                        violation ->
                                                violations.add("seed " + seed + ": " + violation));
                                totals[0] += fleet.faultCount;
                                totals[1] += fleet.staleEffectsRefused;
                                totals[2] += fleet.receiver.acceptedCount;
                            }
                        });
        violations.stream().limit(40).forEach(System.out::println);
        System.out.println(
                "histories "
                        + args[1]
                        + ", broken "
                        + violations.size()
                        + ", faults "
                        + totals[0]
                        + ", late refused "
                        + totals[1]
                        + ", accepted "
                        + totals[2]
                        + ", s "
                        + (System.nanoTime() - startedNanos) / 1_000_000_000);
    }

    /** Runs many drivers without faults, then kills a tenth of them at once. */
    static String runLargeFleet(int driverCount, int dutyCount) {
        SimFleet fleet =
                new SimFleet(
                        1, driverCount, 5, dutyCount, Duration.ofSeconds(60), InjectedBug.NONE);
        fleet.processes.values().forEach(SimFleet.SimulatedProcess::start);
        fleet.advance(15_000);
        long sentBytesBefore = fleet.sentBytes;
        long cpuNanosBefore = processCpuNanos();
        fleet.advance(30_000);
        double bytesPerDriverSecond = (fleet.sentBytes - sentBytesBefore) / 30.0 / driverCount;
        double cpuShare = (processCpuNanos() - cpuNanosBefore) / 30e9;
        List<SimFleet.SimulatedProcess> killed =
                fleet.processes.values().stream()
                        .skip(5)
                        .filter(process -> process.name.hashCode() % 10 == 0)
                        .limit(driverCount / 10)
                        .toList();
        killed.forEach(SimFleet.SimulatedProcess::kill);
        long killedAtNanos = fleet.nowNanos;
        while (fleet.nowNanos - killedAtNanos < 60_000_000_000L
                && fleet.dutyOwners().values().stream()
                        .anyMatch(
                                owner ->
                                        owner.isEmpty()
                                                || killed.stream()
                                                        .anyMatch(
                                                                killedProcess ->
                                                                        owner.startsWith(
                                                                                killedProcess.name
                                                                                        + "/")))) {
            fleet.advance(20);
        }
        return String.format(
                "drivers %d, duties %d, dead %d: bytes_per_driver_s %.0f, cpu of all in one process"
                        + " %.3f of a core, takeover_all_ms %d (lease %d), broken %d",
                driverCount,
                dutyCount,
                killed.size(),
                bytesPerDriverSecond,
                cpuShare,
                (fleet.nowNanos - killedAtNanos) / 1_000_000,
                SimFleet.LEASE_DURATION.toMillis(),
                fleet.violations.size());
    }

    private static long processCpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        java.lang.management.ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    static SimFleet runHistory(long seed, InjectedBug injectedBug) {
        if (injectedBug == InjectedBug.VOTE_FORGOTTEN) {
            SimFleet fleet = new SimFleet(seed, 5, 3, 2, injectedBug);
            fleet.runVoteAndRestart();
            return fleet;
        }
        SimFleet fleet = new SimFleet(seed, 7, seed % 2 == 0 ? 3 : 5, 5, injectedBug);
        fleet.runHistory(40);
        return fleet;
    }
}
