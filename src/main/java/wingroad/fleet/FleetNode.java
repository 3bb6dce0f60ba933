package wingroad.fleet;

import wingroad.duty.Command;
import wingroad.duty.SessionLease;
import wingroad.transport.EventLoop;
import wingroad.transport.Listener;
import wingroad.work.DriverReport;
import wingroad.work.MaintenanceController;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A driver's part in the fleet, on a thread of its own: the voter's consensus node where it has
 * one, its session, its duties. What goes wrong here is told and tried again; serving clients never
 * waits for it.
 */
public final class FleetNode {
    private static final Duration AGAIN = Duration.ofSeconds(2);
    private static final Duration LEAVE_WITHIN = Duration.ofMillis(1500);
    private static final int MOST_CHANNELS = 1200;
    private static final long MOST_HELD = 32L << 20;

    private final FleetConfig rules;
    private final Consumer<String> log;
    private final ChoreRunner runner;
    private final PublicationListener news;
    private final WorkPlanListener worker;
    private final EventLoop loop;
    private final LoopNet net;
    private final Here here = new Here();
    private final SecureRandom random = new SecureRandom();
    private final Supplier<String> names = () -> Long.toHexString(random.nextLong());
    private StateFolder folder;
    private ConsensusNode consensusNode;
    private Listener door;
    private CouncilSession councilSession;
    private boolean leaving;
    private String failure = "";

    /** The thread with its clocks. */
    private final class Here implements Host {
        @Override
        public Duration now() {
            return Duration.ofNanos(System.nanoTime());
        }

        @Override
        public long wall() {
            return System.currentTimeMillis();
        }

        @Override
        public void run(Runnable task) {
            loop.run(task);
        }

        @Override
        public void after(Duration wait, Runnable task) {
            loop.after(wait, task);
        }

        @Override
        public void log(String line) {
            log.accept(line);
        }
    }

    private FleetNode(
            FleetConfig rules,
            Consumer<String> log,
            Consumer<Throwable> bug,
            ChoreRunner runner,
            PublicationListener news,
            WorkPlanListener worker)
            throws IOException {
        this.worker = worker;
        this.rules = rules;
        this.log = log;
        this.runner = runner;
        this.news = news;
        loop = new EventLoop("fleet", MOST_CHANNELS, MOST_HELD, bug);
        net = new LoopNet(loop);
    }

    /**
     * Begins on a thread of its own; {@code runner}, {@code news} and {@code worker} (or null) are
     * called on that thread.
     */
    public static FleetNode start(
            FleetConfig rules,
            Consumer<String> log,
            Consumer<Throwable> bug,
            ChoreRunner runner,
            PublicationListener news,
            WorkPlanListener worker)
            throws IOException {
        FleetNode f = new FleetNode(rules, log, bug, runner, news, worker);
        f.loop.run(f::enter);
        return f;
    }

    /** Hears what the owner of the list hands on, past the fence. */
    public interface PublicationListener {
        void published(long epoch, Map<String, Object> what);
    }

    /** Hands something on to all drivers, if this one owns the duty now. */
    public void publish(String duty, Map<String, Object> what) {
        loop.run(
                () -> {
                    if (councilSession != null) {
                        councilSession.publish(duty, what);
                    }
                });
    }

    /** What this driver says of itself to whoever plans work. */
    public void report(DriverReport what) {
        loop.run(
                () -> {
                    if (councilSession != null) {
                        councilSession.report(what);
                    }
                });
    }

    /** Proposes the conductor's steps, if this driver still conducts under this epoch. */
    public void proposeSteps(long epoch, List<MaintenanceController.Step> steps) {
        loop.run(
                () -> {
                    if (councilSession != null) {
                        steps.forEach(
                                x ->
                                        councilSession.order(
                                                epoch,
                                                s ->
                                                        Command.maintenanceStep(
                                                                s,
                                                                epoch,
                                                                x.machine(),
                                                                x.target(),
                                                                x.stageRevision(),
                                                                x.reason())));
                    }
                });
    }

    /** Proposes the machines that there are, likewise. */
    public void proposeMachines(long epoch, List<String> lines) {
        loop.run(
                () -> {
                    if (councilSession != null) {
                        councilSession.order(epoch, s -> Command.setMachines(s, epoch, lines));
                    }
                });
    }

    /** Runs a task on the fleet's thread. */
    public void execute(Runnable task) {
        loop.run(task);
    }

    private void enter() {
        if (leaving) {
            return;
        }
        try {
            if (folder == null) {
                folder = new StateFolder(rules.stateFolder(), names);
            }
            String identity = folder.identity();
            if (rules.listenAddress() != null) {
                consensusNode =
                        new ConsensusNode(here, net, rules, folder::store, random.nextLong());
                door =
                        net.listen(
                                LoopNet.address(rules.listenAddress()),
                                () -> consensusNode.guest());
                consensusNode.start();
                watch();
            }
            councilSession =
                    new CouncilSession(
                            here,
                            net,
                            rules,
                            identity,
                            names,
                            s -> new SessionLease(rules.lease(), s),
                            news);
            councilSession.work(worker);
            councilSession.start(new Chores(here, rules, councilSession, runner));
            log.accept(
                    "fleet: driver "
                            + rules.driver()
                            + " of fleet "
                            + rules.name()
                            + ", "
                            + (rules.listenAddress() == null
                                    ? "no voter"
                                    : "listens at "
                                            + door.at().getHostString()
                                            + ":"
                                            + door.at().getPort())
                            + ", lease "
                            + rules.lease().duration().toMillis()
                            + " ms, "
                            + rules.duties().size()
                            + " duties");
        } catch (IOException | RuntimeException e) {
            if (!e.toString().equals(failure)) {
                failure = e.toString();
                log.accept("fleet: can't begin, tries again: " + e.getMessage());
            }
            if (consensusNode != null) {
                consensusNode.stop();
                consensusNode = null;
            }
            if (door != null) {
                door.close();
                door = null;
            }
            loop.after(AGAIN, this::enter);
        }
    }

    /** A voter whose state could not be written reads it again, once that works. */
    private void watch() {
        if (consensusNode != null
                && consensusNode.phase() == ConsensusNode.Phase.BROKEN
                && !leaving) {
            try {
                consensusNode.resume();
            } catch (IOException e) {
                // Still not: it goes on being no voter.
            }
        }
        loop.after(AGAIN, this::watch);
    }

    /**
     * Gives all duties back and goes; {@code then} runs once that is settled, or after a while all
     * the same.
     */
    public void leave(Runnable then) {
        loop.run(
                () -> {
                    if (leaving) {
                        return;
                    }
                    leaving = true;
                    boolean[] gone = new boolean[1];
                    Runnable once =
                            () -> {
                                if (!gone[0]) {
                                    gone[0] = true;
                                    if (councilSession != null) {
                                        councilSession.stop();
                                    }
                                    then.run();
                                }
                            };
                    if (councilSession == null) {
                        once.run();
                    } else {
                        councilSession.leave(once);
                        loop.after(LEAVE_WITHIN, once);
                    }
                });
    }

    /** Closes the voter's state; for the end of the process. */
    public void close() {
        loop.run(
                () -> {
                    if (door != null) {
                        door.close();
                    }
                    if (consensusNode != null) {
                        consensusNode.stop();
                    }
                    if (folder != null) {
                        folder.close();
                    }
                });
    }
}
