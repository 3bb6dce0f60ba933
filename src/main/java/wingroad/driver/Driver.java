package wingroad.driver;

import static wingroad.state.Durations.min;

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

/** The program on sockets: puts its parts together, and takes them down when it is told to stop. */
public final class Driver {
    /** After the word to stop, clients may still come for most of this. */
    private static final Duration STILL_COMING = Duration.ofMillis(700);

    /**
     * The kill comes no earlier than the longest expiry, counted as this where it is longer, and
     * STILL_COMING after the word. So long, and half of STILL_COMING, the connected are served on:
     * they may have nowhere else to go, as when the drivers are restarted one after the other. The
     * other half is left to what is then still open.
     */
    private static final Duration MOST_COUNTED = Duration.ofSeconds(3);

    private static final Duration KILL_MARGIN = Duration.ofMillis(100);

    /**
     * Before it leaves, those that were told the end have so long at the least to take their answer
     * and end their side.
     */
    private static final Duration PARTING = Duration.ofMillis(50);

    private static final Duration TALLY_EVERY = Duration.ofSeconds(5);
    private static final Duration STEP = Duration.ofMillis(5);

    private final Clock clock = new Clock();
    private final Counters counters = new Counters();
    private final Set<Integer> groups = new HashSet<>();
    private final CountDownLatch done = new CountDownLatch(1);
    private final Log log;
    private final Map<String, String> env;
    private Configuration configuration;

    /** The operator's own file, or null: all that it could switch on is off. */
    private Path operatorPath;

    private OperatorFile operator;
    private FairQueues door;

    /** The driver's part in the fleet, or null. */
    private FleetPart fleet;

    /** The plan of work on machines at this driver, or null. */
    private final WorkAgent work;

    private final List<String> zones;
    private final List<String> kinds;

    /** The list comes only when the module asks for it. */
    private final boolean asked;

    private final EventLoop loop;
    private final Exchange exchange;
    private final Members members;
    private final Clients clients;
    private final Discovery discovery;

    /** What the first txns run through has been played. */
    private boolean rehearsed;

    /** The first call for the list has its answer, or has none. */
    private boolean listTried;

    /** The door has been opened: clients may have been let in. */
    private boolean serving;

    /** The word that there is another configuration came before the door was open. */
    private boolean reloadAsked;

    private Duration stoppedAt;
    private Duration leavesBy;

    /** All that are connected have been told the end. */
    private boolean parting;

    private Driver(Map<String, String> env, Configuration c, PrintStream out, OperatorFile operator)
            throws IOException {
        this.env = env;
        configuration = c;
        log = new Log(clock, out);
        zones = c.names("azs");
        kinds = c.names("shapes");
        Map<String, Object> terms = RouterSettings.fromWire(c.settings());
        asked = "ask".equals(terms.get("member-list"));
        // The rest is for what the program itself holds open: its archive, its polling, its log.
        // A quarter of the heap may be in flight, an eighth of all memory at most: a statement is
        // copied on its way.
        loop =
                new EventLoop(
                        c.descriptors() - Math.min(24, c.descriptors() / 4),
                        Math.min(c.memory() / 8, Runtime.getRuntime().maxMemory() / 4),
                        log::fault);
        Router router =
                new TxnRouter(
                        operator == null || operator.fleet() == null
                                ? terms
                                : ChoreExecutor.withType(terms),
                        c.seed(),
                        log::line);
        exchange =
                new Exchange(
                        loop, clock, router, (Duration) terms.get("connect-time-out"), log::fault);
        clients =
                new Clients(
                        loop,
                        exchange,
                        counters,
                        c.names("grades"),
                        terms,
                        g -> groups.isEmpty() || groups.contains(g));
        members = new Members(loop, clock, counters, terms, exchange);
        discovery =
                new Discovery(
                        loop,
                        c.discovery(),
                        c.known().version(),
                        counters,
                        asked,
                        this::found,
                        () -> exchange.router().memberListFailed(clock.now()));
        exchange.meet(members, discovery, clients::closeOneIdle);
        work =
                operator == null
                                || operator.fleet() == null
                                || operator.fleet().maintenance() == null
                        ? null
                        : new WorkAgent(
                                loop,
                                clock,
                                ChoreExecutor.settled(operator.fleet(), terms),
                                TxnType.fromSettings(terms),
                                members,
                                this::tell,
                                log::line);
        if (work != null) {
            exchange.watch(work);
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
            OperatorFile operator) {
        try {
            // Without a handler of its own the signal would end the program: it is there before the
            // configuration is read.
            AtomicBoolean early = new AtomicBoolean();
            AtomicReference<Driver> begun = new AtomicReference<>();
            Signal.handle(
                    new Signal("HUP"),
                    signal -> {
                        early.set(true);
                        if (begun.get() != null) {
                            begun.get().loop.run(begun.get()::reload);
                        }
                    });
            Configuration c = Configuration.read(env);
            Driver driver = new Driver(env, c, out, operator);
            driver.operatorPath = operatorPath;
            driver.operator = operator;
            // In this order: a signal that comes between the two is heard twice, and none is
            // missed.
            begun.set(driver);
            if (early.get()) {
                driver.loop.run(driver::reload);
            }
            driver.start();
            return 0;
        } catch (Configuration.Refused e) {
            err.println("wingroad: " + e.getMessage());
        } catch (IOException | RuntimeException e) {
            err.println("wingroad: can't start: " + e.getMessage());
        }
        return 2;
    }

    /** Reads the configuration as a start would and serves nobody; returns the exit status. */
    public static int check(Map<String, String> env, PrintStream out, PrintStream err) {
        try {
            Configuration c = Configuration.read(env);
            Map<String, Object> terms = RouterSettings.fromWire(c.settings());
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
                            + c.names("grades").size());
            return 0;
        } catch (Configuration.Refused e) {
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
            Configuration c = Configuration.read(env);
            CountDownLatch over = new CountDownLatch(1);
            WarmUp.play(
                    new EventLoop(1, Runtime.getRuntime().maxMemory(), Throwable::printStackTrace),
                    c.names("grades"),
                    RouterSettings.fromWire(c.settings()),
                    over::countDown);
            over.await();
            return 0;
        } catch (Configuration.Refused | IOException | InterruptedException e) {
            err.println("wingroad: " + e.getMessage());
            return 2;
        }
    }

    private void start() throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopped, "stop"));
        CompletableFuture<Void> begun = new CompletableFuture<>();
        // What discovery's agent has counts as told from the process's first moment: it is asked
        // before anybody is let in.
        loop.run(
                () -> {
                    takeIn(
                            work == null
                                    ? configuration.known()
                                    : work.effective(configuration.known()));
                    if (asked) {
                        listTried = true;
                    } else {
                        discovery.follow();
                        discovery.fetch(
                                () -> {
                                    listTried = true;
                                    serveOnceReady(begun);
                                });
                    }
                });
        WarmUp.play(
                loop,
                configuration.names("grades"),
                RouterSettings.fromWire(configuration.settings()),
                () -> {
                    rehearsed = true;
                    serveOnceReady(begun);
                });
        try {
            begun.join();
        } catch (CompletionException e) {
            done.countDown();
            throw new IOException(configuration.listen() + ": " + e.getCause().getMessage());
        }
        loop.after(TALLY_EVERY, this::report);
        if (operator != null && operator.fleet() != null) {
            loop.run(this::joinFleet);
        }
    }

    /**
     * Opens the door, unless the word to stop came before: then nobody is let in, and the process
     * is on its way out.
     */
    private void serveOnceReady(CompletableFuture<Void> begun) {
        if (!rehearsed || !listTried || begun.isDone()) {
            return;
        }
        try {
            if (stoppedAt == null) {
                serve();
            }
            begun.complete(null);
        } catch (IOException | RuntimeException e) {
            begun.completeExceptionally(e);
        }
    }

    private void serve() throws IOException {
        openDoor();
        if (work == null) {
            clients.listen(configuration.listen());
        } else {
            // Until the plan is known there is next to nobody to send to: clients wait a moment, or
            // go elsewhere.
            clients.bind(configuration.listen());
            work.whenKnown(clients::letIn);
        }
        InetSocketAddress at = clients.at();
        log.line(
                configuration.name()
                        + " serves "
                        + at.getHostString()
                        + ":"
                        + at.getPort()
                        + ", knows "
                        + members.count()
                        + " members, descriptors for "
                        + loop.mostChannels());
        serving = true;
        if (reloadAsked) {
            reload();
        }
    }

    /** Where it can't begin, clients are served all the same. */
    private void joinFleet() {
        try {
            FleetConfig rules =
                    work == null
                            ? operator.fleet()
                            : ChoreExecutor.settled(
                                    operator.fleet(),
                                    RouterSettings.fromWire(configuration.settings()));
            fleet =
                    FleetPart.begin(
                            rules,
                            loop,
                            clock,
                            exchange,
                            discovery,
                            configuration,
                            !asked,
                            this::learn,
                            work,
                            log);
        } catch (IOException e) {
            log.line("fleet: can't begin: " + e.getMessage());
        }
    }

    private void openDoor() {
        if (door == null && operator != null && operator.door() != null) {
            door =
                    new FairQueues(
                            RouterSettings.fromWire(configuration.settings()),
                            operator.door(),
                            configuration.seed(),
                            log::line);
            exchange.passBy(door);
            clients.tellWhoAsks(operator.door());
            log.line(
                    "door: "
                            + operator.door().tenants().size()
                            + " tenants listed, "
                            + operator.door().maxQueuedTxns()
                            + " txns may wait");
        }
    }

    private void found(MemberList list) {
        learn(list);
        if (fleet != null) {
            fleet.found(list);
        }
    }

    private void learn(MemberList list) {
        tell(work == null ? list : work.effective(list));
    }

    private void tell(MemberList list) {
        takeIn(list);
        if (!list.entries().isEmpty()) {
            log.line(
                    "list "
                            + list.version()
                            + (list.whole() ? " whole, " : " changes ")
                            + list.entries().size());
        }
    }

    /** Tells the module a list as it counts. */
    private void takeIn(MemberList list) {
        Duration now = clock.now();
        Router router = exchange.router();
        router.memberListStarted(now, list.whole());
        for (MemberList.Entry e : list.entries()) {
            groups.add(e.group());
            router.memberListed(
                    now,
                    members.listed(e),
                    e.group(),
                    Math.max(0, zones.indexOf(e.zone())),
                    Math.max(0, kinds.indexOf(e.kind())),
                    e.weight(),
                    e.primary(),
                    e.draining(),
                    e.gone(),
                    e.startedAt() > 0 ? clock.at(e.startedAt()) : null);
        }
        router.memberListEnded(now);
        members.forget(router::knowsMember);
    }

    /**
     * The word has come that there is another configuration. What can't be read leaves the old one
     * in force.
     */
    private void reload() {
        if (!serving) {
            reloadAsked = true;
            return;
        }
        reloadOperator();
        reloadConfiguration();
    }

    /** What is broken leaves the old file in force, with one line that tells the first fault. */
    private void reloadOperator() {
        if (operatorPath == null) {
            return;
        }
        OperatorFile.Read read = OperatorFile.read(operatorPath);
        if (read.file() == null) {
            log.line(
                    "operator's file not taken, the old one stays: "
                            + read.problems().get(0)
                            + (read.problems().size() > 1
                                    ? " (and " + (read.problems().size() - 1) + " more)"
                                    : ""));
            return;
        }
        if (read.file().door() == null && door != null) {
            log.line(
                    "operator's file not taken, the old one stays: the door closes only with the"
                            + " next start");
            return;
        }
        if (!Objects.equals(read.file().fleet(), operator.fleet())) {
            log.line("operator's file: what is new of the fleet counts from the next start");
        }
        operator = new OperatorFile(read.file().door(), operator.fleet());
        if (door == null) {
            openDoor();
        } else {
            door.updateSettings(clock.now(), operator.door());
            clients.tellWhoAsks(operator.door());
        }
        log.line(
                "operator's file taken"
                        + (door == null
                                ? ""
                                : ", "
                                        + operator.door().tenants().size()
                                        + " tenants listed, waiting "
                                        + door.queuedCount()));
    }

    private void reloadConfiguration() {
        Configuration next;
        try {
            next = Configuration.read(env);
        } catch (Configuration.Refused e) {
            log.line("configuration not taken, the old one stays: " + e.getMessage());
            return;
        }
        log.line(
                "configuration taken: discovery at "
                        + next.discovery()
                        + (next.sameButForDiscovery(configuration)
                                ? ""
                                : "; what else is new in it counts from the next start"));
        configuration = next;
        discovery.turnTo(next.discovery());
    }

    private void report() {
        String counted = counters.take();
        if (counted != null) {
            log.line(
                    "counted "
                            + counted
                            + "; clients "
                            + clients.connections()
                            + ", members "
                            + members.connections()
                            + ", open "
                            + exchange.openTxns());
        }
        String fair = door == null ? null : door.takeStatsLine();
        if (fair != null) {
            log.line(fair);
        }
        loop.after(TALLY_EVERY, this::report);
    }

    /** The word to stop has come. The process ends when this returns. */
    private void stopped() {
        if (done.getCount() > 0) {
            loop.run(
                    () -> {
                        stoppedAt = clock.now();
                        log.line("told to stop, open " + exchange.openTxns());
                        if (!serving) {
                            done.countDown();
                            return;
                        }
                        Duration serves = min(clients.longestWait(), MOST_COUNTED);
                        leavesBy = stoppedAt.plus(serves).plus(STILL_COMING).minus(KILL_MARGIN);
                        exchange.endBy(leavesBy.minus(PARTING));
                        clients.idleMayStay();
                        if (fleet != null) {
                            fleet.leave(
                                    () ->
                                            loop.run(
                                                    () ->
                                                            log.line(
                                                                    "fleet: left after "
                                                                            + clock.now()
                                                                                    .minus(
                                                                                            stoppedAt)
                                                                                    .toMillis()
                                                                            + " ms")));
                        }
                        loop.after(serves.plus(STILL_COMING.dividedBy(2)), clients::beginClosing);
                        leaveWhenDone();
                    });
        }
        try {
            done.await();
            log.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void leaveWhenDone() {
        Duration now = clock.now();
        boolean shut = now.minus(stoppedAt).compareTo(STILL_COMING) >= 0;
        if (shut) {
            clients.stopListening();
        }
        boolean late = now.compareTo(leavesBy.minus(PARTING)) > 0;
        if (!parting
                && shut
                && clients.closing()
                && exchange.openTxns() == 0
                && (clients.idle() || late)) {
            parting = true;
            clients.endAll();
        }
        if (parting
                && exchange.openTxns() == 0
                && (clients.connections() == 0 || now.compareTo(leavesBy) > 0)) {
            log.line("stops after " + clock.now().minus(stoppedAt).toMillis() + " ms");
            if (fleet != null) {
                fleet.close();
            }
            done.countDown();
        } else {
            loop.after(STEP, this::leaveWhenDone);
        }
    }
}
