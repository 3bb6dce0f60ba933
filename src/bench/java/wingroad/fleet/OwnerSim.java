package wingroad.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import wingroad.fleet.SimFleet.Wrong;

/**
 * Short histories of fleets in virtual time by the thousand; one seed with its lines for a look.
 */
public final class OwnerSim {
    private OwnerSim() {}

    /** {@code SEED} shows one; {@code FROM COUNT} plays many on all cores and prints what broke. */
    public static void main(String[] args) {
        if (args[0].equals("big")) {
            System.out.println(big(250, 100));
            return;
        }
        if (args.length == 1) {
            SimFleet f = play(Long.parseLong(args[0]), Wrong.NONE);
            System.out.println(String.join("\n", f.lines));
            return;
        }
        if (args[0].equals("work")) {
            WorkSim.main(java.util.Arrays.copyOfRange(args, 1, args.length));
            return;
        }
        if (args[0].equals("wrong")) {
            for (Wrong w :
                    List.of(
                            Wrong.NONE,
                            Wrong.NO_FENCE,
                            Wrong.LEASE_FROM_ANSWER,
                            Wrong.VOTE_FORGOTTEN)) {
                long seed = 0;
                SimFleet f = play(seed, w);
                while (f.broken.isEmpty() && seed < Long.parseLong(args[1])) {
                    f = play(++seed, w);
                }
                System.out.println(
                        w
                                + " seed "
                                + seed
                                + ": "
                                + f.broken.stream().findFirst().orElse("nothing"));
            }
            return;
        }
        long from = Long.parseLong(args[0]);
        List<String> broken = new ArrayList<>();
        long[] sums = new long[3];
        long begun = System.nanoTime();
        java.util.stream.LongStream.range(from, from + Long.parseLong(args[1]))
                .parallel()
                .forEach(
                        seed -> {
                            SimFleet f = play(seed, Wrong.NONE);
                            synchronized (broken) {
                                f.broken.forEach(b -> broken.add("seed " + seed + ": " + b));
                                sums[0] += f.faults;
                                sums[1] += f.lateRefused;
                                sums[2] += f.receiver.accepted;
                            }
                        });
        broken.stream().limit(40).forEach(System.out::println);
        System.out.println(
                "histories "
                        + args[1]
                        + ", broken "
                        + broken.size()
                        + ", faults "
                        + sums[0]
                        + ", late refused "
                        + sums[1]
                        + ", accepted "
                        + sums[2]
                        + ", s "
                        + (System.nanoTime() - begun) / 1_000_000_000);
    }

    /** Many drivers without faults, then a tenth of them killed at once. */
    static String big(int drivers, int duties) {
        SimFleet f = new SimFleet(1, drivers, 5, duties, Duration.ofSeconds(60), Wrong.NONE);
        f.procs.values().forEach(SimFleet.Proc::start);
        f.play(15_000);
        long bytes = f.bytes;
        long cpu = cpu();
        f.play(30_000);
        double perDriver = (f.bytes - bytes) / 30.0 / drivers;
        double share = (cpu() - cpu) / 30e9;
        List<SimFleet.Proc> dead =
                f.procs.values().stream()
                        .skip(5)
                        .filter(p -> p.name.hashCode() % 10 == 0)
                        .limit(drivers / 10)
                        .toList();
        dead.forEach(SimFleet.Proc::kill);
        long from = f.now;
        while (f.now - from < 60_000_000_000L
                && f.owners().values().stream()
                        .anyMatch(
                                o ->
                                        o.isEmpty()
                                                || dead.stream()
                                                        .anyMatch(
                                                                d -> o.startsWith(d.name + "/")))) {
            f.play(20);
        }
        return String.format(
                "drivers %d, duties %d, dead %d: bytes_per_driver_s %.0f, cpu of all in one process %.3f of a core, "
                        + "takeover_all_ms %d (lease %d), broken %d",
                drivers,
                duties,
                dead.size(),
                perDriver,
                share,
                (f.now - from) / 1_000_000,
                SimFleet.LEASE.toMillis(),
                f.broken.size());
    }

    private static long cpu() {
        return ((com.sun.management.OperatingSystemMXBean)
                        java.lang.management.ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    static SimFleet play(long seed, Wrong wrong) {
        if (wrong == Wrong.VOTE_FORGOTTEN) {
            SimFleet f = new SimFleet(seed, 5, 3, 2, wrong);
            f.voteAndStartAgain();
            return f;
        }
        SimFleet f = new SimFleet(seed, 7, seed % 2 == 0 ? 3 : 5, 5, wrong);
        f.history(40);
        return f;
    }
}
