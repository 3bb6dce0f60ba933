package wingroad.driver;

import sun.misc.Signal;

import wingroad.door.FairQueues;
import wingroad.fleet.FleetConfig;
import wingroad.operator.OperatorFile;
import wingroad.protocol.MemberList;
import wingroad.routing.Router;
import wingroad.routing.TxnRouter;
import wingroad.state.TxnType;
import wingroad.terms.RouterSettings;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The server process: starts its parts, reloads its configuration on SIGHUP, and shuts down
 * gracefully on SIGTERM.
 */
public final class Driver {
    private static final Duration COUNTERS_LOG_INTERVAL = Duration.ofSeconds(5);
    private static final Duration SHUTDOWN_CHECK_INTERVAL = Duration.ofMillis(5);

    /** How many descriptors are left to the process itself; a quarter of them if that is less. */
    private static final int MAX_PROCESS_DESCRIPTORS = 24;

    private static final int PROCESS_DESCRIPTORS_DIVISOR = 4;

    /** Connections may buffer this part of all memory at most. */
    private static final long BUFFERED_MEMORY_DIVISOR = 8;

    /** Connections may buffer this part of the heap at most. */
    private static final long BUFFERED_HEAP_DIVISOR = 4;

    /** The system may hold this part of all memory for what clients have sent, or have to read. */
    private static final long SYSTEM_BUFFERS_MEMORY_DIVISOR = 4;

    private static final int MIN_SYSTEM_BUFFER_BYTES = 16 * 1024;

    /** Enough for a client's largest request. */
    private static final int MAX_SYSTEM_BUFFER_BYTES = 256 * 1024;

    private final Clock clock = new Clock();
    private final Counters counters = new Counters();

    private final KnownGroups groups = new KnownGroups();

    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Log log;
    private final Map<String, String> env;
    private Configuration configuration;

    /** The operator's file, or null if there is none; then its optional features are off. */
    private Path operatorPath;

    /** What the operator's file says, or null. */
    private OperatorFile operatorFile;

    /** Null if the operator's file has no door section. */
    private FairQueues fairQueues;

    /** Null until the driver has joined its fleet, and if it has none. */
    private FleetAgent fleetAgent;

    /** Applies the plan of maintenance work at this driver, or null if none is planned. */
    private final MaintenanceAgent maintenanceAgent;

    private final List<String> zoneNames;
    private final List<String> kindNames;

    /** Lists are requested only when the router asks for one, see {@link DiscoveryClient}. */
    private final boolean pullMode;

    private final EventLoop loop;
    private final TxnDispatcher dispatcher;
    private final MemberPools memberPools;
    private final ClientFrontend clientFrontend;
    private final DiscoveryClient discoveryClient;
    private final StaleListFilter staleListFilter = new StaleListFilter();

    /** Null without a fleet: no list comes from another driver then. */
    private final LocalEndpoints localEndpoints;

    /** {@link WarmUp} has ended. */
    private boolean warmedUp;

    /** The first fetch of the list has succeeded or failed. */
    private boolean firstFetchDone;

    /** The address is bound; clients may have been accepted. */
    private boolean serving;

    /** A reload was requested before the driver was serving, or during another one. */
    private boolean reloadRequested;

    /** The files are being read, on a thread of its own. */
    private boolean reading;

    /** Null until the signal to stop. */
    private StopSchedule stopSchedule;

    /** The fleet has not confirmed yet that this driver has left. */
    private boolean leavingFleet;

    private Driver(
            Map<String, String> env,
            Configuration configuration,
            PrintStream out,
            OperatorFile operatorFile)
            throws IOException {
        this.env = env;
        this.configuration = configuration;
        log = new Log(clock, out);
        zoneNames = configuration.names("azs");
        kindNames = configuration.names("shapes");
        Map<String, Object> routerSettings = RouterSettings.fromWire(configuration.settings());
        pullMode = "ask".equals(routerSettings.get("member-list"));
        // The remaining descriptors are for the process itself: its class archive, its selectors,
        // its log. Connections may buffer a quarter of the heap and an eighth of all memory at
        // most, since a statement is copied while it is processed.
        loop =
                new EventLoop(
                        configuration.descriptorLimit()
                                - Math.min(
                                        MAX_PROCESS_DESCRIPTORS,
                                        configuration.descriptorLimit()
                                                / PROCESS_DESCRIPTORS_DIVISOR),
                        Math.min(
                                configuration.memoryBytes() / BUFFERED_MEMORY_DIVISOR,
                                Runtime.getRuntime().maxMemory() / BUFFERED_HEAP_DIVISOR),
                        log::error);
        Router router =
                new TxnRouter(
                        operatorFile == null || operatorFile.fleet() == null
                                ? routerSettings
                                : ChoreExecutor.withChoreType(routerSettings),
                        configuration.seed(),
                        log::info);
        dispatcher =
                new TxnDispatcher(
                        loop,
                        clock,
                        router,
                        (Duration) routerSettings.get("connect-time-out"),
                        log::error);
        dispatcher.setRequestLog(new RequestLog(log::info));
        clientFrontend =
                new ClientFrontend(
                        loop,
                        dispatcher,
                        counters,
                        configuration.names("grades"),
                        routerSettings,
                        groups);
        clientFrontend.limitSystemBuffers(systemBufferBytes(configuration));
        memberPools = new MemberPools(loop, clock, counters, routerSettings, dispatcher);
        discoveryClient =
                new DiscoveryClient(
                        loop,
                        configuration.discovery(),
                        configuration.knownMembers().version(),
                        counters,
                        pullMode,
                        this::listFound,
                        () -> dispatcher.router().memberListFailed(clock.now()));
        dispatcher.attach(memberPools, discoveryClient, clientFrontend::closeIdleConnection);
        localEndpoints =
                operatorFile == null || operatorFile.fleet() == null ? null : new LocalEndpoints();
        maintenanceAgent =
                operatorFile == null
                                || operatorFile.fleet() == null
                                || operatorFile.fleet().maintenance() == null
                        ? null
                        : new MaintenanceAgent(
                                loop,
                                clock,
                                ChoreExecutor.withDeploymentSettings(
                                        operatorFile.fleet(), routerSettings),
                                TxnType.fromSettings(routerSettings),
                                memberPools,
                                this::applyAndLogList,
                                log::info);
        if (maintenanceAgent != null) {
            dispatcher.setObserver(maintenanceAgent);
        }
    }

    /**
     * How much the system may hold of what each client has sent, and of what it has not read: for
     * all connections together a part of the memory limit each, since the system's buffers may
     * count against it.
     */
    private static int systemBufferBytes(Configuration configuration) {
        long share =
                configuration.memoryBytes()
                        / SYSTEM_BUFFERS_MEMORY_DIVISOR
                        / configuration.descriptorLimit();
        return (int) Math.max(MIN_SYSTEM_BUFFER_BYTES, Math.min(MAX_SYSTEM_BUFFER_BYTES, share));
    }

    /** Starts serving; returns the exit status: 0 once it serves, 2 if it can't start. */
    public static int run(Map<String, String> env, PrintStream out, PrintStream err) {
        return run(env, out, err, null, null);
    }

    /** Starts serving with the features of the operator's file, which was read from this path. */
    public static int run(
            Map<String, String> env,
            PrintStream out,
            PrintStream err,
            Path operatorPath,
            OperatorFile operatorFile) {
        try {
            // The handler is installed before the configuration is read, since the signal's default
            // action would end the process.
            AtomicBoolean reloadBeforeStart = new AtomicBoolean();
            AtomicReference<Driver> started = new AtomicReference<>();
            Signal.handle(
                    new Signal("HUP"),
                    signal -> {
                        reloadBeforeStart.set(true);
                        if (started.get() != null) {
                            started.get().loop.execute(started.get()::reload);
                        }
                    });
            Configuration configuration = Configuration.read(env);
            Driver driver = new Driver(env, configuration, out, operatorFile);
            driver.operatorPath = operatorPath;
            driver.operatorFile = operatorFile;
            // In this order a signal between the two causes two reloads, and none is missed.
            started.set(driver);
            if (reloadBeforeStart.get()) {
                driver.loop.execute(driver::reload);
            }
            driver.start();
            return 0;
        } catch (Configuration.InvalidConfigurationException e) {
            err.println("wingroad: " + e.getMessage());
        } catch (IOException | RuntimeException e) {
            err.println("wingroad: can't start: " + e.getMessage());
        }
        return 2;
    }

    /** Checks the configuration as a start would; returns the exit status. */
    public static int check(Map<String, String> env, PrintStream out, PrintStream err) {
        try {
            Configuration configuration = Configuration.read(env);
            Map<String, Object> routerSettings = RouterSettings.fromWire(configuration.settings());
            out.println(
                    "list "
                            + routerSettings.get("member-list")
                            + ", reports "
                            + routerSettings.get("reports")
                            + ", members check "
                            + routerSettings.get("members-check")
                            + ", drivers "
                            + ((Double) routerSettings.get("drivers")).longValue()
                            + ", txn types "
                            + configuration.names("grades").size());
            return 0;
        } catch (Configuration.InvalidConfigurationException e) {
            err.println("wingroad: " + e.getMessage());
            return 2;
        }
    }

    /**
     * Runs the warm-up alone, to create an archive of the classes that serving loads; returns the
     * exit status.
     */
    public static int rehearse(Map<String, String> env, PrintStream err) {
        try {
            Configuration configuration = Configuration.read(env);
            CountDownLatch finished = new CountDownLatch(1);
            WarmUp.run(
                    new EventLoop(1, Runtime.getRuntime().maxMemory(), Throwable::printStackTrace),
                    configuration.names("grades"),
                    RouterSettings.fromWire(configuration.settings()),
                    finished::countDown);
            finished.await();
            return 0;
        } catch (Configuration.InvalidConfigurationException
                | IOException
                | InterruptedException e) {
            err.println("wingroad: " + e.getMessage());
            return 2;
        }
    }

    private void start() throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        CompletableFuture<Void> ready = new CompletableFuture<>();
        // What discovery's agent holds counts as known from the start of the process, so the list
        // is fetched before any client is accepted.
        loop.execute(
                () -> {
                    if (localEndpoints != null) {
                        localEndpoints.record(configuration.knownMembers());
                    }
                    applyList(currentList(configuration.knownMembers()));
                    if (pullMode) {
                        firstFetchDone = true;
                    } else {
                        discoveryClient.watch();
                        discoveryClient.fetch(
                                () -> {
                                    firstFetchDone = true;
                                    serveOnceReady(ready);
                                });
                    }
                });
        WarmUp.run(
                loop,
                configuration.names("grades"),
                RouterSettings.fromWire(configuration.settings()),
                () -> {
                    warmedUp = true;
                    serveOnceReady(ready);
                });
        try {
            ready.join();
        } catch (CompletionException e) {
            stopped.countDown();
            throw new IOException(configuration.listen() + ": " + e.getCause().getMessage());
        }
        loop.schedule(COUNTERS_LOG_INTERVAL, this::logCounters);
        if (operatorFile != null && operatorFile.fleet() != null) {
            loop.execute(this::joinFleet);
        }
    }

    /** Accepts clients once the start-up steps are done, unless the process is already stopping. */
    private void serveOnceReady(CompletableFuture<Void> ready) {
        if (!warmedUp || !firstFetchDone || ready.isDone()) {
            return;
        }
        try {
            if (stopSchedule == null) {
                serve();
            }
            ready.complete(null);
        } catch (IOException | RuntimeException e) {
            ready.completeExceptionally(e);
        }
    }

    private void serve() throws IOException {
        enableFairQueues();
        if (maintenanceAgent == null) {
            clientFrontend.listen(configuration.listen());
        } else {
            // Until the plan is known hardly any member may be used: clients wait in the backlog,
            // or connect elsewhere.
            clientFrontend.bind(configuration.listen());
            maintenanceAgent.whenKnown(clientFrontend::startAccepting);
        }
        InetSocketAddress address = clientFrontend.localAddress();
        log.info(
                configuration.name()
                        + " serves "
                        + address.getHostString()
                        + ":"
                        + address.getPort()
                        + ", members "
                        + memberPools.memberCount()
                        + ", descriptor limit "
                        + loop.maxChannels());
        serving = true;
        if (reloadRequested) {
            reloadRequested = false;
            reload();
        }
    }

    /** Joins the fleet; clients are served even if that fails. */
    private void joinFleet() {
        try {
            FleetConfig fleetConfig =
                    maintenanceAgent == null
                            ? operatorFile.fleet()
                            : ChoreExecutor.withDeploymentSettings(
                                    operatorFile.fleet(),
                                    RouterSettings.fromWire(configuration.settings()));
            fleetAgent =
                    FleetAgent.start(
                            fleetConfig,
                            loop,
                            clock,
                            dispatcher,
                            discoveryClient,
                            localEndpoints,
                            configuration,
                            !pullMode,
                            this::listLearnt,
                            maintenanceAgent,
                            log);
        } catch (IOException e) {
            log.info("fleet: can't start: " + e.getMessage());
        }
    }

    private void enableFairQueues() {
        if (fairQueues == null && operatorFile != null && operatorFile.fairQueues() != null) {
            fairQueues =
                    new FairQueues(
                            RouterSettings.fromWire(configuration.settings()),
                            operatorFile.fairQueues(),
                            configuration.seed(),
                            log::info);
            dispatcher.useFairQueues(fairQueues);
            clientFrontend.identifyClients(operatorFile.fairQueues());
            log.info(
                    "admission control (door) enabled: "
                            + operatorFile.fairQueues().tenants().size()
                            + " tenants listed, at most "
                            + operatorFile.fairQueues().maxQueuedTxns()
                            + " txns queued in all");
        }
    }

    private void listFound(MemberList list) {
        if (localEndpoints != null) {
            localEndpoints.record(list);
        }
        listLearnt(list);
        if (fleetAgent != null) {
            fleetAgent.listFound(list);
        }
    }

    private void listLearnt(MemberList list) {
        applyAndLogList(currentList(list));
    }

    /** What a received list means beside those before and the maintenance plan. */
    private MemberList currentList(MemberList list) {
        MemberList current = staleListFilter.filter(list, clock.now());
        if (current != list) {
            log.info(
                    "list "
                            + list.version()
                            + " is older than one before: members known to drain or to be gone"
                            + " stay so");
        }
        return maintenanceAgent == null ? current : maintenanceAgent.effective(current);
    }

    private void applyAndLogList(MemberList list) {
        applyList(list);
        if (!list.entries().isEmpty()) {
            log.info(
                    "list "
                            + list.version()
                            + (list.complete() ? " whole, " : " changes ")
                            + list.entries().size());
        }
    }

    /** Passes a list to the router and the connection pools. */
    private void applyList(MemberList list) {
        Duration now = clock.now();
        Router router = dispatcher.router();
        router.memberListStarted(now, list.complete());
        for (MemberList.Entry entry : list.entries()) {
            groups.list(entry.group());
            router.memberListed(
                    now,
                    memberPools.updateMember(entry),
                    entry.group(),
                    Math.max(0, zoneNames.indexOf(entry.zone())),
                    Math.max(0, kindNames.indexOf(entry.model())),
                    entry.weight(),
                    entry.primary(),
                    entry.isDraining(),
                    entry.isGone(),
                    entry.startedAtMs() > 0 ? clock.fromUnixMs(entry.startedAtMs()) : null);
        }
        router.memberListEnded(now);
        memberPools.removeUnknown(router::knowsMember);
    }

    /** Reloads both files; one that can't be read leaves its old version in force. */
    private void reload() {
        if (!serving) {
            reloadRequested = true;
            return;
        }
        if (reading) {
            reloadRequested = true;
            return;
        }
        reading = true;
        Thread reader = new Thread(this::readFiles, "reload");
        reader.setDaemon(true);
        reader.start();
    }

    /** Reads both files on a thread of its own, since a read may hang, and applies them. */
    private void readFiles() {
        try {
            OperatorFile.LoadResult readFile =
                    operatorPath == null ? null : OperatorFile.read(operatorPath);
            if (readFile != null) {
                loop.execute(() -> applyOperatorFile(readFile));
            }
            Configuration next = Configuration.read(env);
            loop.execute(() -> applyConfiguration(next));
        } catch (Configuration.InvalidConfigurationException e) {
            log.info("configuration not reloaded, the old one stays in force: " + e.getMessage());
        } catch (RuntimeException | OutOfMemoryError error) {
            log.error(error);
        }
        loop.execute(this::filesRead);
    }

    private void filesRead() {
        reading = false;
        if (reloadRequested) {
            reloadRequested = false;
            reload();
        }
    }

    /** Applies the operator's file; a log line names the first problem of one that is rejected. */
    private void applyOperatorFile(OperatorFile.LoadResult read) {
        if (read.file() == null) {
            log.info(
                    "operator's file not reloaded, the old one stays in force: "
                            + read.problems().get(0)
                            + (read.problems().size() > 1
                                    ? " (and " + (read.problems().size() - 1) + " more)"
                                    : ""));
            return;
        }
        if (read.file().fairQueues() == null && fairQueues != null) {
            log.info(
                    "operator's file not reloaded, the old one stays in force: the door can only be"
                            + " removed by a restart");
            return;
        }
        if (!Objects.equals(read.file().fleet(), operatorFile.fleet())) {
            log.info("operator's file: changes of the fleet take effect at the next start");
        }
        operatorFile = new OperatorFile(read.file().fairQueues(), operatorFile.fleet());
        if (fairQueues == null) {
            enableFairQueues();
        } else {
            fairQueues.updateSettings(clock.now(), operatorFile.fairQueues());
            clientFrontend.identifyClients(operatorFile.fairQueues());
        }
        log.info(
                "operator's file reloaded"
                        + (fairQueues == null
                                ? ""
                                : ", "
                                        + operatorFile.fairQueues().tenants().size()
                                        + " tenants listed, txns waiting "
                                        + fairQueues.queuedCount()));
    }

    private void applyConfiguration(Configuration next) {
        log.info(
                "configuration reloaded: discovery at "
                        + next.discovery()
                        + (next.equalsExceptDiscovery(configuration)
                                ? ""
                                : "; all other changes since the start take effect at the next"
                                        + " start"));
        configuration = next;
        discoveryClient.setAddress(next.discovery());
    }

    private void logCounters() {
        String summary = counters.takeSummary();
        if (summary != null) {
            log.info(
                    "counts since the last such line: "
                            + summary
                            + "; now: client connections "
                            + clientFrontend.connectionCount()
                            + ", member connections "
                            + memberPools.connectionCount()
                            + ", open txns "
                            + dispatcher.openTxnCount());
        }
        String queueReport = fairQueues == null ? null : fairQueues.takeStatsLine();
        if (queueReport != null) {
            log.info(queueReport);
        }
        loop.schedule(COUNTERS_LOG_INTERVAL, this::logCounters);
    }

    /** Shuts down gracefully; runs as the shutdown hook, so the process exits when it returns. */
    private void stop() {
        if (stopped.getCount() > 0) {
            loop.execute(this::beginStop);
        }
        try {
            stopped.await();
            log.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void beginStop() {
        stopSchedule = new StopSchedule(clock.now(), clientFrontend.longestExpiry());
        log.info("told to stop, open txns " + dispatcher.openTxnCount());
        if (!serving) {
            stopped.countDown();
            return;
        }
        dispatcher.setAnswerDeadline(stopSchedule.answerDeadline());
        dispatcher.requestLog().setStopping();
        clientFrontend.keepIdleConnections();
        // Clients that wait for the plan of maintenance work are answered too.
        clientFrontend.startAccepting();
        if (fleetAgent != null) {
            leavingFleet = true;
            fleetAgent.leave(() -> loop.execute(this::leftFleet));
        }
        continueStop();
    }

    private void leftFleet() {
        leavingFleet = false;
        log.info("fleet: left after " + millisSinceStopRequest() + " ms");
    }

    private long millisSinceStopRequest() {
        return stopSchedule.sinceRequest(clock.now()).toMillis();
    }

    /** Takes the steps of the shutdown that are due; called repeatedly until the exit. */
    private void continueStop() {
        StopSchedule.Step step = nextStopStep();
        while (step != null && step != StopSchedule.Step.EXIT) {
            takeStopStep(step);
            step = nextStopStep();
        }
        if (step == StopSchedule.Step.EXIT) {
            exit();
        } else {
            loop.schedule(SHUTDOWN_CHECK_INTERVAL, this::continueStop);
        }
    }

    private StopSchedule.Step nextStopStep() {
        return stopSchedule.nextStep(
                clock.now(),
                new StopSchedule.Remaining(
                        clientFrontend.isBacklogEmpty(),
                        clientFrontend.isIdle(),
                        clientFrontend.connectionCount(),
                        dispatcher.openTxnCount(),
                        leavingFleet));
    }

    private void takeStopStep(StopSchedule.Step step) {
        log.info(
                "stop, "
                        + millisSinceStopRequest()
                        + " ms: "
                        + step
                        + "; client connections "
                        + clientFrontend.connectionCount()
                        + ", open txns "
                        + dispatcher.openTxnCount());
        switch (step) {
            case CLOSE_LISTENER -> clientFrontend.stopListening();
            case BEGIN_CLOSING -> clientFrontend.beginClosing();
            case DECLINE_COMMANDS -> clientFrontend.declineAll();
            case SHUT_DOWN_OUTPUT -> {
                dispatcher.answerOpenTxns();
                clientFrontend.finishAll();
            }
            default -> throw new IllegalStateException("no step to take: " + step);
        }
    }

    private void exit() {
        log.info("stops after " + millisSinceStopRequest() + " ms");
        if (fleetAgent != null) {
            fleetAgent.close();
        }
        loop.close();
        stopped.countDown();
    }
}
