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
 * This driver's participation in a fleet, on a thread of its own: the consensus node if it is a
 * voter, its session and its duties. Failures are logged and retried; serving clients never waits
 * for the fleet.
 */
public final class FleetNode {
    /** Delay before startup, or the reload of unreadable state, is tried again. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

    /** Longest wait for the release of duties when the process stops. */
    private static final Duration LEAVE_TIMEOUT = Duration.ofMillis(1500);

    /** How often a driver that leaves looks whether its work under duties has ended. */
    private static final Duration BUSY_CHECK_INTERVAL = Duration.ofMillis(20);

    private static final int MAX_CHANNELS = 1200;

    /** Memory limit of the fleet's connections. */
    private static final long MAX_BUFFERED_BYTES = 32L << 20;

    private final FleetConfig config;
    private final Consumer<String> log;
    private final ChoreRunner choreRunner;
    private final PublicationListener publicationListener;
    private final MaintenancePlanListener planListener;
    private final EventLoop loop;
    private final TcpMessageTransport transport;
    private final EventLoopContext context = new EventLoopContext();
    private final SecureRandom random = new SecureRandom();
    private final Supplier<String> idGenerator = () -> Long.toHexString(random.nextLong());
    private StateFolder stateFolder;
    private ConsensusNode consensusNode;
    private Listener listener;
    private DriverSession driverSession;
    private boolean leaving;
    private String lastFailure = "";

    /** The execution context of the fleet's event loop. */
    private final class EventLoopContext implements ExecutionContext {
        @Override
        public Duration now() {
            return Duration.ofNanos(System.nanoTime());
        }

        @Override
        public long wallClockMs() {
            return System.currentTimeMillis();
        }

        @Override
        public void execute(Runnable task) {
            loop.execute(task);
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            loop.schedule(delay, task);
        }

        @Override
        public void log(String line) {
            log.accept(line);
        }
    }

    private FleetNode(
            FleetConfig config,
            Consumer<String> log,
            Consumer<Throwable> faultHandler,
            ChoreRunner choreRunner,
            PublicationListener publicationListener,
            MaintenancePlanListener planListener)
            throws IOException {
        this.planListener = planListener;
        this.config = config;
        this.log = log;
        this.choreRunner = choreRunner;
        this.publicationListener = publicationListener;
        loop = new EventLoop("fleet", MAX_CHANNELS, MAX_BUFFERED_BYTES, faultHandler);
        transport = new TcpMessageTransport(loop);
    }

    /**
     * Starts on a thread of its own; the listeners and {@code choreRunner} are called on that
     * thread. {@code planListener} may be null.
     */
    public static FleetNode start(
            FleetConfig config,
            Consumer<String> log,
            Consumer<Throwable> faultHandler,
            ChoreRunner choreRunner,
            PublicationListener publicationListener,
            MaintenancePlanListener planListener)
            throws IOException {
        FleetNode fleetNode =
                new FleetNode(
                        config, log, faultHandler, choreRunner, publicationListener, planListener);
        fleetNode.loop.execute(fleetNode::startComponents);
        return fleetNode;
    }

    /** Receives what the owner of the member list publishes, after the epoch fence. */
    public interface PublicationListener {
        void published(long epoch, Map<String, Object> content);
    }

    /** Publishes content to all drivers, if this driver owns the duty now. */
    public void publish(String duty, Map<String, Object> content) {
        loop.execute(
                () -> {
                    if (driverSession != null) {
                        driverSession.publish(duty, content);
                    }
                });
    }

    /** Sets this driver's report to the maintenance controller. */
    public void report(DriverReport report) {
        loop.execute(
                () -> {
                    if (driverSession != null) {
                        driverSession.report(report);
                    }
                });
    }

    /**
     * Proposes maintenance steps, if this driver is still the maintenance controller under this
     * epoch.
     */
    public void proposeSteps(long epoch, List<MaintenanceController.Step> steps) {
        loop.execute(
                () -> {
                    if (driverSession != null) {
                        steps.forEach(
                                step ->
                                        driverSession.proposeAsController(
                                                epoch,
                                                sessionId ->
                                                        Command.maintenanceStep(
                                                                sessionId,
                                                                epoch,
                                                                step.machine(),
                                                                step.target(),
                                                                step.stageRevision(),
                                                                step.reason())));
                    }
                });
    }

    /**
     * Proposes the machine inventory, if this driver is still the maintenance controller under this
     * epoch.
     */
    public void proposeMachines(long epoch, List<String> lines) {
        loop.execute(
                () -> {
                    if (driverSession != null) {
                        driverSession.proposeAsController(
                                epoch, sessionId -> Command.setMachines(sessionId, epoch, lines));
                    }
                });
    }

    /** Runs a task on the fleet's thread. */
    public void execute(Runnable task) {
        loop.execute(task);
    }

    /** Starts the voter and the session; retried after a delay if this fails. */
    private void startComponents() {
        if (leaving) {
            return;
        }
        try {
            if (stateFolder == null) {
                stateFolder = new StateFolder(config.stateFolder(), idGenerator);
            }
            String identity = stateFolder.identity();
            if (config.listenAddress() != null) {
                consensusNode =
                        new ConsensusNode(
                                context,
                                transport,
                                config,
                                stateFolder::openStore,
                                random.nextLong());
                listener =
                        transport.listen(
                                TcpMessageTransport.parseAddress(config.listenAddress()),
                                () -> consensusNode.newInboundHandler());
                consensusNode.start();
                retryReload();
            }
            driverSession =
                    new DriverSession(
                            context,
                            transport,
                            config,
                            identity,
                            idGenerator,
                            sessionId -> new SessionLease(config.lease(), sessionId),
                            publicationListener);
            driverSession.setPlanListener(planListener);
            driverSession.start(new ChoreScheduler(context, config, driverSession, choreRunner));
            log.accept(
                    "fleet: driver "
                            + config.driver()
                            + " of fleet "
                            + config.name()
                            + ", "
                            + (config.listenAddress() == null
                                    ? "not a voter"
                                    : "listens at "
                                            + listener.localAddress().getHostString()
                                            + ":"
                                            + listener.localAddress().getPort())
                            + ", lease "
                            + config.lease().duration().toMillis()
                            + " ms, "
                            + config.duties().size()
                            + " duties");
        } catch (IOException | RuntimeException e) {
            if (!e.toString().equals(lastFailure)) {
                lastFailure = e.toString();
                log.accept("fleet: start failed, retrying: " + e.getMessage());
            }
            if (consensusNode != null) {
                consensusNode.stop();
                consensusNode = null;
            }
            if (listener != null) {
                listener.close();
                listener = null;
            }
            loop.schedule(RETRY_DELAY, this::startComponents);
        }
    }

    /** Periodically tries to reload the state of a voter whose state could not be written. */
    private void retryReload() {
        if (consensusNode != null
                && consensusNode.phase() == ConsensusNode.Phase.BROKEN
                && !leaving) {
            try {
                consensusNode.reloadState();
            } catch (IOException e) {
                // The state still cannot be read: it remains no voter.
            }
        }
        loop.schedule(RETRY_DELAY, this::retryReload);
    }

    /**
     * Begins nothing more under any duty, waits for what is under way, and leaves; {@code then}
     * runs once that is committed, or after a timeout.
     */
    public void leave(Runnable then) {
        loop.execute(
                () -> {
                    if (leaving) {
                        return;
                    }
                    leaving = true;
                    boolean[] finished = new boolean[1];
                    Runnable finishOnce =
                            () -> {
                                if (!finished[0]) {
                                    finished[0] = true;
                                    if (driverSession != null) {
                                        driverSession.stop();
                                    }
                                    then.run();
                                }
                            };
                    if (driverSession == null) {
                        finishOnce.run();
                    } else {
                        driverSession.stopActing();
                        leaveOnceIdle(finishOnce);
                    }
                });
    }

    /**
     * Leaves once nothing runs under a duty any more: a successor's statement would run beside it.
     * Where the process ends before that, its lease runs out.
     */
    private void leaveOnceIdle(Runnable onLeft) {
        if (driverSession.isBusy()) {
            loop.schedule(BUSY_CHECK_INTERVAL, () -> leaveOnceIdle(onLeft));
            return;
        }
        driverSession.leave(onLeft);
        loop.schedule(LEAVE_TIMEOUT, onLeft);
    }

    /** Closes the voter's state, at the end of the process. */
    public void close() {
        loop.execute(
                () -> {
                    if (listener != null) {
                        listener.close();
                    }
                    if (consensusNode != null) {
                        consensusNode.stop();
                    }
                    if (stateFolder != null) {
                        stateFolder.close();
                    }
                });
    }
}
