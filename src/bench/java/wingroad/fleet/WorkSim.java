package wingroad.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import wingroad.fleet.SimFleet.Wrong;

/**
 * Short histories of work on machines in virtual time by the thousand; one seed with its lines for
 * a look.
 */
final class WorkSim {
    private WorkSim() {}

    /**
     * {@code SEED} shows one; {@code FROM COUNT} plays many on all cores and prints what broke;
     * {@code wrong MOST} looks for each wrong; {@code big} has many drivers and machines.
     */
    static void main(String[] args) {
        if (args[0].equals("big")) {
            System.out.println(big(250, 999, 64));
            return;
        }
        if (args[0].equals("wrong")) {
            for (Wrong w :
                    List.of(
                            Wrong.NONE,
                            Wrong.NO_LEASE_ON_VIEW,
                            Wrong.OUT_BY_MAJORITY,
                            Wrong.ORDER_WITHOUT_EPOCH)) {
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
        if (args.length == 1) {
            SimFleet f = play(Long.parseLong(args[0]), Wrong.NONE);
            System.out.println(String.join("\n", f.lines));
            f.procs
                    .values()
                    .forEach(
                            p ->
                                    System.out.println(
                                            p.name
                                                    + (p.alive ? "" : " dead")
                                                    + (p.paused ? " paused" : "")
                                                    + (p.consensusNode == null
                                                            ? ""
                                                            : " "
                                                                    + p.consensusNode
                                                                            .status()
                                                                            .get("phase")
                                                                    + " term "
                                                                    + p.consensusNode
                                                                            .status()
                                                                            .get("term")
                                                                    + " leader "
                                                                    + p.consensusNode
                                                                            .status()
                                                                            .get("leader")
                                                                    + " revision "
                                                                    + p.consensusNode
                                                                            .stateMachine()
                                                                            .revision())));
            return;
        }
        long from = Long.parseLong(args[0]);
        List<String> broken = new ArrayList<>();
        long[] sums = new long[7];
        long begun = System.nanoTime();
        LongStream.range(from, from + Long.parseLong(args[1]))
                .parallel()
                .forEach(
                        seed -> {
                            SimFleet f = play(seed, Wrong.NONE);
                            synchronized (broken) {
                                f.broken.forEach(b -> broken.add("seed " + seed + ": " + b));
                                sums[0] += f.faults;
                                sums[1] += f.work.out;
                                sums[2] += f.work.in;
                                sums[3] += f.work.txns;
                                sums[4] += f.work.lateOrders;
                                sums[5] += f.work.epochs.size();
                                sums[6] += f.work.declined;
                            }
                        });
        broken.stream().limit(40).forEach(System.out::println);
        System.out.println(
                "work histories "
                        + args[1]
                        + ", broken "
                        + broken.size()
                        + ", faults "
                        + sums[0]
                        + ", out "
                        + sums[1]
                        + ", in "
                        + sums[2]
                        + ", txns "
                        + sums[3]
                        + ", late orders refused "
                        + sums[4]
                        + ", conductors "
                        + sums[5]
                        + ", declined "
                        + sums[6]
                        + ", s "
                        + (System.nanoTime() - begun) / 1_000_000_000);
    }

    static SimFleet play(long seed, Wrong wrong) {
        SimFleet f = new SimFleet(seed, 7, seed % 2 == 0 ? 3 : 5, 1, wrong);
        f.work = new SimWork(f, 9, 6, 2);
        f.work.play(60);
        f.history(40);
        return f;
    }

    /**
     * Many drivers and machines without faults: all machines are asked for at once; what it takes
     * until two hundred are out.
     */
    private static String big(int drivers, int machines, int atOnce) {
        SimFleet f = new SimFleet(1, drivers, 5, 0, Wrong.NONE);
        f.work = new SimWork(f, machines, machines / 3, atOnce);
        f.procs.values().forEach(SimFleet.Proc::start);
        f.play(15_000);
        long idle = f.messages;
        f.play(5_000);
        idle = (f.messages - idle) / 5;
        long begun = System.nanoTime();
        long from = f.now;
        long messages = f.messages;
        f.work.askAll();
        while (f.work.asksSettled() < machines && f.now - from < 60_000_000_000L) {
            f.play(20);
        }
        long settled = (f.now - from) / 1_000_000;
        f.work.play(600);
        int rounds = 0;
        while (f.work.out < 200 && f.now - from < 300_000_000_000L) {
            f.play(250);
            rounds++;
        }
        double seconds = (f.now - from) / 1e9;
        return String.format(
                java.util.Locale.ROOT,
                "drivers %d, machines %d, at once %d: plan_ms %d (all asks settled), out %d after"
                        + " %.1f s, rounds %d (looks of the conductor), messages_per_machine %.0f (of"
                        + " %.0f a second, %d at rest), broken %d, played in %d s",
                drivers,
                machines,
                atOnce,
                settled,
                f.work.out,
                seconds,
                rounds,
                (f.messages - messages - idle * seconds) / f.work.out,
                (f.messages - messages) / seconds,
                idle,
                f.broken.size(),
                (System.nanoTime() - begun) / 1_000_000_000);
    }
}
