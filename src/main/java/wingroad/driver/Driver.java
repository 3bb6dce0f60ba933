package wingroad.driver;

import static wingroad.state.Spans.min;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import sun.misc.Signal;
import wingroad.door.FairQueues;
import wingroad.fleet.FleetRules;
import wingroad.operator.OperatorFile;
import wingroad.protocol.MemberList;
import wingroad.routing.Router;
import wingroad.routing.TxnRouter;
import wingroad.state.TxnType;
import wingroad.terms.Terms;
import wingroad.transport.EventLoop;

/** The program on sockets: puts its parts together, and takes them down when it is told to stop. */
public final class Driver {
    /** After the word to stop, clients may still come for most of this. */
    private static final Duration ACCEPT_AFTER_STOP = Duration.ofMillis(700);

    /**
     * The kill comes no earlier than the longest expiry, counted as this where it is longer, and
     * STILL_COMING after the word. So long, and half of STILL_COMING, the connected are served on:
     * they may have nowhere else to go, as when the drivers are restarted one after the other. The
     * other half is left to what is then still open.
     */
    private static final Duration MAX_COUNTED_EXPIRY = Duration.ofSeconds(3);

    private static final Duration KILL_MARGIN = Duration.ofMillis(100);

    /**
     * Before it leaves, those that were told the end have so long at the least to take their answer
     * and end their side.
     */
    private static final Duration MIN_CLIENT_CLOSE_TIME = Duration.ofMillis(50);

    private static final Duration COUNTERS_LOG_INTERVAL = Duration.ofSeconds(5);
    private static final Duration SHUTDOWN_CHECK_INTERVAL = Duration.ofMillis(5);

    private final Clock clock = new Clock();
    private final Counters counters = new Counters();
    private final Set<Integer> groups = new HashSet<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Log log;
    private final Map<String, String> env;
    private Configuration configuration;

    /** The operator's own file, or null: all that it could switch on is off. */
    private Path operatorPath;

    private OperatorFile operatorFile;
    private FairQueues fairQueues;

    /** The driver's part in the fleet, or null. */
    private FleetAgent fleetAgent;

    /** The plan of work on machines at this driver, or null. */
    private final WorkAgent workAgent;

    private final List<String> zoneNames;
    private final List<String> kindNames;

    /** The list comes only when the module asks for it. */
    private final boolean pullMode;

    private final EventLoop loop;
    private final TxnDispatcher dispatcher;
    private final MemberPools memberPools;
    private final ClientFrontend clientFrontend;
    private final DiscoveryClient discoveryClient;

    /** What the first txns run through has been played. */
    private boolean warmedUp;

    /** The first call for the list has its answer, or has none. */
    private boolean firstFetchDone;

    /** The door has been opened: clients may have been let in. */
    private boolean serving;

    /** The word that there is another configuration came before the door was open. */
    private boolean reloadRequested;

    private Duration stopRequestedAt;
    private Duration exitDeadline;

    /** All that are connected have been told the end. */
    private boolean clientsFinished;

    private Driver(
            Map<String, String> env,
            Configuration configuration,
            PrintStream out,
            OperatorFile operatorFile)
            throws IOException {
        this.env = env;
        configuration = configuration;
        log = new Log(clock, out);
        zoneNames = configuration.names("azs");
        kindNames = configuration.names("shapes");
        Map<String, Object> terms = Terms.of(configuration.settings());
        pullMode = "ask".equals(terms.get("member-list"));
        // The rest is for what the program itself holds open: its archive, its polling, its log.
        // A quarter of the heap may be in flight, an eighth of all memory at most: a statement is
        // copied on its way.
        loop =
                new EventLoop(
                        configuration.descriptorLimit()
                                - Math.min(24, configuration.descriptorLimit() / 4),
                        Math.min(
                                configuration.memoryBytes() / 8,
                                Runtime.getRuntime().maxMemory() / 4),
                        log::error);
        Router router =
                new TxnRouter(
                        operatorFile == null || operatorFile.fleet() == null
                                ? terms
                                : ChoreExecutor.withChoreType(terms),
                        configuration.seed(),
                        log::info);
        dispatcher =
                new TxnDispatcher(
                        loop, clock, router, (Duration) terms.get("connect-time-out"), log::error);
        clientFrontend =
                new ClientFrontend(
                        loop,
                        dispatcher,
                        counters,
                        configuration.names("grades"),
                        terms,
                        group -> groups.isEmpty() || groups.contains(group));
        memberPools = new MemberPools(loop, clock, counters, terms, dispatcher);
        discoveryClient =
                new DiscoveryClient(
                        loop,
                        configuration.discovery(),
                        configuration.knownMembers().version(),
                        counters,
                        pullMode,
                        this::listFound,
                        () -> dispatcher.router().listFailed(clock.now()));
        dispatcher.attach(memberPools, discoveryClient, clientFrontend::closeIdleConnection);
        workAgent =
                operatorFile == null
                                || operatorFile.fleet() == null
                                || operatorFile.fleet().work() == null
                        ? null
                        : new WorkAgent(
                                loop,
                                clock,
                                ChoreExecutor.withDeploymentTerms(operatorFile.fleet(), terms),
                                TxnType.all(terms),
                                memberPools,
                                this::applyAndLogList,
                                log::info);
        if (workAgent != null) {
            dispatcher.watch(workAgent);
        }
    }

    /** Serves until told to stop; returns the exit status where it can't begin. */
    public static int run(Map<String, String> env, PrintStream out, PrintStream err) {
        return run(env, out, err, null, null);
    }

    /** The same with what the operator's file, read from this path, switches on. */
    public static int run(
            Map<String, String> env,
            PrintStream out,
            PrintStream err,
            Path operatorPath,
            OperatorFile operatorFile) {
        try {
            // Without a handler of its own the signal would end the program: it is there before the
            // configuration is read.
            AtomicBoolean reloadBeforeStart = new AtomicBoolean();
            AtomicReference<Driver> started = new AtomicReference<>();
            Signal.handle(
                    new Signal("HUP"),
                    signal -> {
                        reloadBeforeStart.set(true);
                        if (started.get() != null) {
                            started.get().loop.run(started.get()::reload);
                        }
                    });
            Configuration configuration = Configuration.read(env);
            Driver driver = new Driver(env, configuration, out, operatorFile);
            driver.operatorPath = operatorPath;
            driver.operatorFile = operatorFile;
            // In this order: a signal that comes between the two is heard twice, and none is
            // missed.
            started.set(driver);
            if (reloadBeforeStart.get()) {
                driver.loop.run(driver::reload);
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

    /** Reads the configuration as a start would and serves nobody; returns the exit status. */
    public static int check(Map<String, String> env, PrintStream out, PrintStream err) {
        try {
            Configuration configuration = Configuration.read(env);
            Map<String, Object> terms = Terms.of(configuration.settings());
            out.println(
                    "list "
                            + terms.get("member-list")
                            + ", reports "
                            + terms.get("reports")
                            + ", members check "
                            + terms.get("members-check")
                            + ", drivers "
                            + ((Double) terms.get("drivers")).longValue()
                            + ", txn types "
                            + configuration.names("grades").size());
            return 0;
        } catch (Configuration.InvalidConfigurationException e) {
            err.println("wingroad: " + e.getMessage());
            return 2;
        }
    }

    /**
     * Plays the rehearsal alone, for an archive of the classes that serving takes; returns the exit
     * status.
     */
    public static int rehearse(Map<String, String> env, PrintStream err) {
        try {
            Configuration configuration = Configuration.read(env);
            CountDownLatch finished = new CountDownLatch(1);
            WarmUp.run(
                    new EventLoop(1, Runtime.getRuntime().maxMemory(), Throwable::printStackTrace),
                    configuration.names("grades"),
                    Terms.of(configuration.settings()),
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
        // What discovery's agent has counts as told from the process's first moment: it is asked
        // before anybody is let in.
        loop.run(
                () -> {
                    applyList(
                            workAgent == null
                                    ? configuration.knownMembers()
                                    : workAgent.effective(configuration.knownMembers()));
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
                Terms.of(configuration.settings()),
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
        loop.after(COUNTERS_LOG_INTERVAL, this::logCounters);
        if (operatorFile != null && operatorFile.fleet() != null) {
            loop.run(this::joinFleet);
        }
    }

    /**
     * Opens the door, unless the word to stop came before: then nobody is let in, and the process
     * is on its way out.
     */
    private void serveOnceReady(CompletableFuture<Void> ready) {
        if (!warmedUp || !firstFetchDone || ready.isDone()) {
            return;
        }
        try {
            if (stopRequestedAt == null) {
                serve();
            }
            ready.complete(null);
        } catch (IOException | RuntimeException e) {
            ready.completeExceptionally(e);
        }
    }

    private void serve() throws IOException {
        enableFairQueues();
        if (workAgent == null) {
            clientFrontend.listen(configuration.listen());
        } else {
            // Until the plan is known there is next to nobody to send to: clients wait a moment, or
            // go elsewhere.
            clientFrontend.bind(configuration.listen());
            workAgent.whenKnown(clientFrontend::startAccepting);
        }
        InetSocketAddress address = clientFrontend.localAddress();
        log.info(
                configuration.name()
                        + " serves "
                        + address.getHostString()
                        + ":"
                        + address.getPort()
                        + ", knows "
                        + memberPools.memberCount()
                        + " members, descriptors for "
                        + loop.mostChannels());
        serving = true;
        if (reloadRequested) {
            reload();
        }
    }

    /** Where it can't begin, clients are served all the same. */
    private void joinFleet() {
        try {
            FleetRules rules =
                    workAgent == null
                            ? operatorFile.fleet()
                            : ChoreExecutor.withDeploymentTerms(
                                    operatorFile.fleet(), Terms.of(configuration.settings()));
            fleetAgent =
                    FleetAgent.start(
                            rules,
                            loop,
                            clock,
                            dispatcher,
                            discoveryClient,
                            configuration,
                            !pullMode,
                            this::listLearnt,
                            workAgent,
                            log);
        } catch (IOException e) {
            log.info("fleet: can't begin: " + e.getMessage());
        }
    }

    private void enableFairQueues() {
        if (fairQueues == null && operatorFile != null && operatorFile.door() != null) {
            fairQueues =
                    new FairQueues(
                            Terms.of(configuration.settings()),
                            operatorFile.door(),
                            configuration.seed(),
                            log::info);
            dispatcher.useFairQueues(fairQueues);
            clientFrontend.identifyCallers(operatorFile.door());
            log.info(
                    "door: "
                            + operatorFile.door().tenants().size()
                            + " tenants listed, "
                            + operatorFile.door().mostWaiting()
                            + " txns may wait");
        }
    }

    private void listFound(MemberList list) {
        listLearnt(list);
        if (fleetAgent != null) {
            fleetAgent.listFound(list);
        }
    }

    private void listLearnt(MemberList list) {
        applyAndLogList(workAgent == null ? list : workAgent.effective(list));
    }

    private void applyAndLogList(MemberList list) {
        applyList(list);
        if (!list.entries().isEmpty()) {
            log.info(
                    "list "
                            + list.version()
                            + (list.whole() ? " whole, " : " changes ")
                            + list.entries().size());
        }
    }

    /** Tells the module a list as it counts. */
    private void applyList(MemberList list) {
        Duration now = clock.now();
        Router router = dispatcher.router();
        router.listStarts(now, list.whole());
        for (MemberList.Entry entry : list.entries()) {
            groups.add(entry.group());
            router.listed(
                    now,
                    memberPools.updateMember(entry),
                    entry.group(),
                    Math.max(0, zoneNames.indexOf(entry.zone())),
                    Math.max(0, kindNames.indexOf(entry.kind())),
                    entry.weight(),
                    entry.primary(),
                    entry.draining(),
                    entry.gone(),
                    entry.startedAt() > 0 ? clock.fromUnixMs(entry.startedAt()) : null);
        }
        router.listEnds(now);
        memberPools.removeUnknown(router::knows);
    }

    /**
     * The word has come that there is another configuration. What can't be read leaves the old one
     * in force.
     */
    private void reload() {
        if (!serving) {
            reloadRequested = true;
            return;
        }
        reloadOperatorFile();
        reloadConfiguration();
    }

    /** What is broken leaves the old file in force, with one line that tells the first fault. */
    private void reloadOperatorFile() {
        if (operatorPath == null) {
            return;
        }
        OperatorFile.Read read = OperatorFile.read(operatorPath);
        if (read.file() == null) {
            log.info(
                    "operator's file not taken, the old one stays: "
                            + read.problems().get(0)
                            + (read.problems().size() > 1
                                    ? " (and " + (read.problems().size() - 1) + " more)"
                                    : ""));
            return;
        }
        if (read.file().door() == null && fairQueues != null) {
            log.info(
                    "operator's file not taken, the old one stays: the door closes only with the"
                            + " next start");
            return;
        }
        if (!Objects.equals(read.file().fleet(), operatorFile.fleet())) {
            log.info("operator's file: what is new of the fleet counts from the next start");
        }
        operatorFile = new OperatorFile(read.file().door(), operatorFile.fleet());
        if (fairQueues == null) {
            enableFairQueues();
        } else {
            fairQueues.rules(clock.now(), operatorFile.door());
            clientFrontend.identifyCallers(operatorFile.door());
        }
        log.info(
                "operator's file taken"
                        + (fairQueues == null
                                ? ""
                                : ", "
                                        + operatorFile.door().tenants().size()
                                        + " tenants listed, waiting "
                                        + fairQueues.waiting()));
    }

    private void reloadConfiguration() {
        Configuration next;
        try {
            next = Configuration.read(env);
        } catch (Configuration.InvalidConfigurationException e) {
            log.info("configuration not taken, the old one stays: " + e.getMessage());
            return;
        }
        log.info(
                "configuration taken: discovery at "
                        + next.discovery()
                        + (next.equalsExceptDiscovery(configuration)
                                ? ""
                                : "; what else is new in it counts from the next start"));
        configuration = next;
        discoveryClient.setAddress(next.discovery());
    }

    private void logCounters() {
        String summary = counters.takeSummary();
        if (summary != null) {
            log.info(
                    "counted "
                            + summary
                            + "; clients "
                            + clientFrontend.connections()
                            + ", members "
                            + memberPools.connectionCount()
                            + ", open "
                            + dispatcher.openTxnCount());
        }
        String queueReport = fairQueues == null ? null : fairQueues.report();
        if (queueReport != null) {
            log.info(queueReport);
        }
        loop.after(COUNTERS_LOG_INTERVAL, this::logCounters);
    }

    /** The word to stop has come. The process ends when this returns. */
    private void stop() {
        if (stopped.getCount() > 0) {
            loop.run(
                    () -> {
                        stopRequestedAt = clock.now();
                        log.info("told to stop, open " + dispatcher.openTxnCount());
                        if (!serving) {
                            stopped.countDown();
                            return;
                        }
                        Duration serveTime =
                                min(clientFrontend.longestExpiry(), MAX_COUNTED_EXPIRY);
                        exitDeadline =
                                stopRequestedAt
                                        .plus(serveTime)
                                        .plus(ACCEPT_AFTER_STOP)
                                        .minus(KILL_MARGIN);
                        dispatcher.answerDeadline(exitDeadline.minus(MIN_CLIENT_CLOSE_TIME));
                        clientFrontend.keepIdleOpen();
                        if (fleetAgent != null) {
                            fleetAgent.leave(
                                    () ->
                                            loop.run(
                                                    () ->
                                                            log.info(
                                                                    "fleet: left after "
                                                                            + clock.now()
                                                                                    .minus(
                                                                                            stopRequestedAt)
                                                                                    .toMillis()
                                                                            + " ms")));
                        }
                        loop.after(
                                serveTime.plus(ACCEPT_AFTER_STOP.dividedBy(2)),
                                clientFrontend::beginClosing);
                        exitWhenDone();
                    });
        }
        try {
            stopped.await();
            log.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void exitWhenDone() {
        Duration now = clock.now();
        boolean acceptOver = now.minus(stopRequestedAt).compareTo(ACCEPT_AFTER_STOP) >= 0;
        if (acceptOver) {
            clientFrontend.stopListening();
        }
        boolean deadlineNear = now.compareTo(exitDeadline.minus(MIN_CLIENT_CLOSE_TIME)) > 0;
        if (!clientsFinished
                && acceptOver
                && clientFrontend.closing()
                && dispatcher.openTxnCount() == 0
                && (clientFrontend.isIdle() || deadlineNear)) {
            clientsFinished = true;
            clientFrontend.finishAll();
        }
        if (clientsFinished
                && dispatcher.openTxnCount() == 0
                && (clientFrontend.connections() == 0 || now.compareTo(exitDeadline) > 0)) {
            log.info("stops after " + clock.now().minus(stopRequestedAt).toMillis() + " ms");
            if (fleetAgent != null) {
                fleetAgent.close();
            }
            stopped.countDown();
        } else {
            loop.after(SHUTDOWN_CHECK_INTERVAL, this::exitWhenDone);
        }
    }
}
