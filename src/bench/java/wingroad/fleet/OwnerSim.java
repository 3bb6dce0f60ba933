package wingroad.fleet;

import java.util.ArrayList;
import java.util.List;
import wingroad.fleet.SimFleet.Wrong;

/** Short histories of fleets in virtual time by the thousand; one seed with its lines for a look. */
public final class OwnerSim {
    private OwnerSim() {
    }

    /** {@code SEED} shows one; {@code FROM COUNT} plays many on all cores and prints what broke. */
    public static void main(String[] args) {
        if (args.length == 1) {
            SimFleet f = play(Long.parseLong(args[0]), Wrong.NONE);
            System.out.println(String.join("\n", f.lines));
            return;
        }
        if (args[0].equals("wrong")) {
            for (Wrong w : Wrong.values()) {
                long seed = 0;
                SimFleet f = play(seed, w);
                while (f.broken.isEmpty() && seed < Long.parseLong(args[1])) {
                    f = play(++seed, w);
                }
                System.out.println(w + " seed " + seed + ": " + f.broken.stream().findFirst().orElse("nothing"));
            }
            return;
        }
        long from = Long.parseLong(args[0]);
        List<String> broken = new ArrayList<>();
        long[] sums = new long[3];
        long begun = System.nanoTime();
        java.util.stream.LongStream.range(from, from + Long.parseLong(args[1])).parallel().forEach(seed -> {
            SimFleet f = play(seed, Wrong.NONE);
            synchronized (broken) {
                f.broken.forEach(b -> broken.add("seed " + seed + ": " + b));
                sums[0] += f.faults;
                sums[1] += f.lateRefused;
                sums[2] += f.receiver.accepted;
            }
        });
        broken.stream().limit(40).forEach(System.out::println);
        System.out.println("histories " + args[1] + ", broken " + broken.size() + ", faults " + sums[0] + ", late refused "
            + sums[1] + ", accepted " + sums[2] + ", s " + (System.nanoTime() - begun) / 1_000_000_000);
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
