import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The owner of a chore is told to end while its statement runs; no other driver may run the chore before that has ended. */
public final class TwoOwners {
    /** A run of the chore as the member saw it. */
    private static final class Run {
        long epoch;
        long began;
        volatile long ended = -1;
    }

    private static final long CHORE_MS = 3000;
    private static final int DRIVERS = 3;

    public static void main(String[] args) throws Exception {
        Rig.main(args, TwoOwners::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Run> runs = Collections.synchronizedList(new ArrayList<>());
        Graz graz = new Graz(rig, 3) {
            @Override
            void chore(Rig.Request request) throws Exception {
                Run run = new Run();
                run.epoch = Long.parseLong(request.key.replace("swept-", ""));
                run.began = rig.ms();
                runs.add(run);
                Rig.sleep(CHORE_MS);
                run.ended = rig.ms();
                rig.log("chore of epoch " + run.epoch + " ended at the primary, begun at " + run.began);
            }
        };
        StringBuilder voters = new StringBuilder();
        int[] ports = new int[DRIVERS];
        for (int i = 0; i < DRIVERS; i++) {
            ports[i] = Rig.freePort();
            voters.append("    voter \"d").append(i + 1).append("\" \"127.0.0.1:").append(ports[i]).append("\"\n");
        }
        List<Rig.Driver> drivers = new ArrayList<>();
        for (int i = 0; i < DRIVERS; i++) {
            Path file = rig.temp.resolve("d" + (i + 1) + ".kdl");
            Files.writeString(file, "fleet \"graz\" {\n    driver \"d" + (i + 1) + "\"\n    listen \"127.0.0.1:" + ports[i]
                    + "\"\n" + voters + "    state \"" + rig.temp.resolve("state-d" + (i + 1)) + "\"\n"
                    + "    lease-ms 5000\n    drift 0.01\n    chore \"sweep\" every=2 group=" + Graz.GROUP
                    + " statement=\"INSERT INTO records (k, v) VALUES ('swept-{epoch}', '\\\\x01') RETURNING v\"\n}\n");
            drivers.add(rig.new Driver("d" + (i + 1), Rig.freePort(), graz.discovery.port(), Graz.SETTINGS,
                    graz.discovery.whole(), file));
        }
        for (Rig.Driver driver : drivers) {
            driver.awaitReady();
        }
        // The owner shows in its own log.
        Rig.Driver owner = null;
        for (int i = 0; i < 300 && owner == null; i++) {
            Rig.sleep(100);
            for (Rig.Driver driver : drivers) {
                if (Files.readString(driver.logFile).contains("chore sweep turn")) {
                    owner = driver;
                }
            }
        }
        if (owner == null) {
            rig.log("nobody runs the chore");
            for (Rig.Driver driver : drivers) {
                driver.logInto(40);
            }
            return Rig.NOT_RUN;
        }
        rig.log("owner of the chore: " + owner.name);
        int known = runs.size();
        while (runs.size() == known) {
            Rig.sleep(10);
        }
        Rig.sleep(300);
        if (rig.trouble) {
            owner.signal("TERM");
        }
        Rig.sleep(8000);
        for (Rig.Driver driver : drivers) {
            driver.logInto(25);
        }
        int overlaps = 0;
        for (Run a : List.copyOf(runs)) {
            for (Run b : List.copyOf(runs)) {
                if (b != a && b.began >= a.began && (a.ended < 0 ? rig.ms() : a.ended) > b.began && b.epoch > a.epoch) {
                    rig.log("the chore of epoch " + b.epoch + " began at " + b.began + ", while that of epoch " + a.epoch
                            + " ran from " + a.began + " to " + a.ended);
                    overlaps++;
                }
            }
        }
        return overlaps > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
