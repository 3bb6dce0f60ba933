package wingroad.fleet;

import wingroad.duty.Command;
import wingroad.duty.EpochFence;
import wingroad.duty.SessionLease;
import wingroad.fleet.Net.Wire;
import wingroad.protocol.Json;
import wingroad.work.DriverReport;
import wingroad.work.MaintenanceSettings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * A driver's side of the fleet: its session with the council by way of one voter, and another one
 * when that falls silent. What it asks it asks again with each beat until it sees it settled. Free
 * of I/O; all calls on one thread.
 */
final class CouncilSession implements Net.Owner {
    private static final Duration REFUSED_AGAIN = Duration.ofSeconds(2);

    /** A word that it leaves goes out again so soon; after so many to one voter, to the next. */
    private static final Duration LEAVE_AGAIN = Duration.ofMillis(40);

    private static final int LEAVE_TRIES = 3;

    /**
     * A report is said again with each of so many beats: the one before may not have got through.
     */
    private static final int REPORT_BEATS = 4;

    private static final int REPORTS = 3;
    private static final int REST_BEATS = 32;

    /** Who does the duties. */
    interface Doer {
        /** Something is settled, or time has passed: a look at what is to be done. */
        void look();

        /** Whether work under this duty has begun and not ended. */
        boolean busy(String duty);
    }

    private final Host host;
    private final Net net;
    private final FleetConfig rules;
    private final String identity;
    private final Supplier<String> runs;
    private final Function<String, SessionLease> sessionLeases;
    private final FleetNode.PublicationListener news;
    private final EpochFence fence = new EpochFence();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final List<String> order = new ArrayList<>();
    private final Map<String, Command> asks = new LinkedHashMap<>();
    private Doer doer;
    private SessionLease sessionLease;
    private Wire wire;
    private boolean up;

    /**
     * The voter has been heard on this connection. Before that nothing is asked there: one that
     * hears nothing but is heard would keep its session, and its duties, that it can't act under.
     */
    private boolean greeted;

    private int at;
    private Duration heardAt;
    private Duration openAt = Duration.ZERO;
    private long revision = -1;
    private boolean opened;
    private boolean leaving;
    private Runnable left;
    private boolean stopped;
    private String refusal = "";
    private boolean hadLease;
    private boolean hurried;

    /** Who acts on the plan of work, or null. */
    private WorkPlanListener worker;

    /**
     * The register's revision that the plan is known of; an older voter's word on it counts for
     * nothing.
     */
    private long planOf = -1;

    private DriverReport report;
    private int reportIn;
    private int reports;

    /**
     * @param identity of the state folder
     * @param runs gives a new session's part behind the driver's name
     * @param sessionLeases makes the driver's side of a session
     * @param news hears what owners hand on, past the fence
     */
    CouncilSession(
            Host host,
            Net net,
            FleetConfig rules,
            String identity,
            Supplier<String> runs,
            Function<String, SessionLease> sessionLeases,
            FleetNode.PublicationListener news) {
        this.host = host;
        this.net = net;
        this.rules = rules;
        this.identity = identity;
        this.runs = runs;
        this.sessionLeases = sessionLeases;
        this.news = news;
        addresses.putAll(rules.voterAddresses());
        order.addAll(addresses.keySet());
        // Its own voter first; else spread over the voters by name.
        order.sort(
                Comparator.<String>comparingInt(v -> v.equals(rules.driver()) ? 0 : 1)
                        .thenComparing(v -> (v + '/' + rules.driver()).hashCode()));
        sessionLease = sessionLeases.apply(rules.driver() + "/" + runs.get());
    }

    void work(WorkPlanListener with) {
        worker = with;
    }

    /** What this driver says of itself from now on: at once where it says more than new figures. */
    void report(DriverReport now) {
        boolean news = report == null || now.differsBeyondFigures(report);
        report = now;
        if (news) {
            reports = 0;
            sendReport();
        }
    }

    private void sendReport() {
        if (greeted && opened && report != null) {
            // At rest, with no machine asked for, it is heard often enough by far less.
            reportIn =
                    report.busyMsByGroup().isEmpty() && ++reports > REPORTS
                            ? REST_BEATS
                            : REPORT_BEATS;
            wire.send(
                    MessageCodec.message(
                            "report", "line", report.toLine(sessionLease.sessionId())));
        }
    }

    /** An order of the conductor's, if this driver conducts under this epoch now. */
    void order(long epoch, Function<String, Command> op) {
        if (sessionLease.mayAct(MaintenanceSettings.CONTROLLER_DUTY, epoch, host.now())) {
            send(op.apply(sessionLease.sessionId()));
        }
    }

    private void tellWorker() {
        if (worker != null) {
            SessionLease.DutyState h = sessionLease.current(MaintenanceSettings.CONTROLLER_DUTY);
            boolean conducts = h != null && sessionLease.mayAct(h.duty(), h.epoch(), host.now());
            worker.leaseUpdated(
                    sessionLease.expiresAt(), !sessionLease.isOpen(), conducts ? h.epoch() : 0);
        }
    }

    void start(Doer work) {
        doer = work;
        heardAt = host.now();
        beat();
    }

    SessionLease sessionLease() {
        return sessionLease;
    }

    /** Asks for this until it is withdrawn; at most one ask by a name. */
    void ask(String name, Command op) {
        if (!op.equals(asks.put(name, op))) {
            send(op);
        }
    }

    void withdraw(String name) {
        asks.remove(name);
    }

    /**
     * Nothing is done under any duty from now on; {@code then} runs once that is settled, if it is.
     */
    void leave(Runnable then) {
        leaving = true;
        left = then;
        sessionLease.markEnded();
        tellWorker();
        asks.clear();
        leaveAgain(0);
    }

    /**
     * Until it is settled, and more often than with each beat: the duties stand still meanwhile. A
     * voter that can't get it settled may know of no leader, or be gone.
     */
    private void leaveAgain(int tries) {
        if (left == null || stopped) {
            return;
        }
        if (tries > 0 && tries % LEAVE_TRIES == 0) {
            next();
        } else {
            send(Command.leaveSession(sessionLease.sessionId()));
        }
        host.after(LEAVE_AGAIN, () -> leaveAgain(tries + 1));
    }

    void stop() {
        stopped = true;
        shut();
    }

    /** Hands something on, if the duty is this driver's at this time. */
    void publish(String duty, Map<String, Object> what) {
        SessionLease.DutyState h = sessionLease.current(duty);
        if (greeted && h != null && sessionLease.mayAct(duty, h.epoch(), host.now())) {
            wire.send(
                    MessageCodec.message(
                            "publish", "duty", duty, "epoch", h.epoch(), "what", what));
        }
    }

    private void send(Command op) {
        if (greeted) {
            wire.send(MessageCodec.message("ask", "op", MessageCodec.of(op)));
        }
    }

    private void beat() {
        if (stopped) {
            return;
        }
        Duration now = host.now();
        hurried = false;
        connect();
        if (wire != null
                && now.minus(heardAt).compareTo(rules.lease().duration().dividedBy(3)) > 0) {
            // Nothing is settled there: it may be cut off itself.
            next();
        }
        askAll();
        tellLease(now);
        giveBack();
        doer.look();
        host.after(rules.lease().heartbeatInterval(), this::beat);
    }

    private void connect() {
        if (wire == null && !stopped && host.now().compareTo(openAt) >= 0) {
            heardAt = host.now();
            wire = net.open(addresses.get(order.get(at)), this);
        }
    }

    /** All that is to be settled, once more. */
    private void askAll() {
        if (greeted && leaving) {
            send(Command.leaveSession(sessionLease.sessionId()));
        } else if (greeted) {
            if (!opened) {
                send(Command.openSession(sessionLease.sessionId(), identity, rules.duties()));
            }
            wire.send(MessageCodec.message("beat", "n", sessionLease.nextHeartbeat(host.now())));
            asks.values().forEach(this::send);
            if (--reportIn <= 0) {
                sendReport();
            }
        }
    }

    private void tellLease(Duration now) {
        boolean has = sessionLease.isOpen() && now.compareTo(sessionLease.expiresAt()) < 0;
        if (has != hadLease) {
            hadLease = has;
            host.log(
                    has
                            ? "fleet: lease of "
                                    + sessionLease.sessionId()
                                    + " runs, by "
                                    + order.get(at)
                            : "fleet: lease of "
                                    + sessionLease.sessionId()
                                    + " has run out; its duties stand still here");
        }
    }

    /** What is asked back is given up as soon as nothing of it runs. */
    private void giveBack() {
        for (SessionLease.DutyState h : sessionLease.releaseRequests()) {
            if (!doer.busy(h.duty())) {
                ask(
                        "give " + h.duty(),
                        Command.releaseDuty(sessionLease.sessionId(), h.duty(), h.epoch()));
            }
        }
        asks.keySet()
                .removeIf(
                        n ->
                                n.startsWith("give ")
                                        && sessionLease.releaseRequests().stream()
                                                .noneMatch(h -> n.equals("give " + h.duty())));
    }

    private void next() {
        shut();
        at = (at + 1) % order.size();
        openAt = host.now();
        if (!hurried) {
            // The next one at once, but no more than one between two beats: all of them may be
            // gone.
            hurried = true;
            host.run(this::connect);
        }
    }

    private void shut() {
        if (wire != null) {
            wire.close();
        }
        wire = null;
        up = false;
        greeted = false;
    }

    @Override
    public void up(Wire w) {
        up = true;
        w.send(
                MessageCodec.message(
                        "hello",
                        "fleet",
                        rules.name(),
                        "name",
                        rules.driver(),
                        "role",
                        "driver",
                        "identity",
                        identity,
                        "run",
                        run()));
    }

    /** The voters as they are now: those of the file, and what was changed since. */
    private void voters(Object changes) {
        if (changes instanceof Map<?, ?> m) {
            String by = order.get(at);
            m.forEach(
                    (name, address) -> {
                        if (address.equals("")) {
                            if (!name.equals(by) && order.size() > 1) {
                                order.remove(name);
                            }
                        } else if (addresses.putIfAbsent((String) name, (String) address) == null
                                || !order.contains(name)) {
                            order.add((String) name);
                        }
                    });
            at = order.indexOf(by);
        }
    }

    private String run() {
        return sessionLease.sessionId().substring(sessionLease.sessionId().indexOf('/') + 1);
    }

    @Override
    public void message(Wire w, Map<String, Object> m) {
        switch (MessageCodec.text(m, "k")) {
            case "here" -> {
                voters(m.get("voters"));
                if (!greeted) {
                    greeted = true;
                    askAll();
                }
            }
            case "settled" -> settled(m);
            case "plan" -> {
                if (worker != null && MessageCodec.number(m, "of") >= planOf) {
                    planOf = MessageCodec.number(m, "of");
                    worker.planUpdated(
                            Json.object(m.get("news"), "the plan"),
                            m.get("sums") instanceof List<?> l ? l : null,
                            m.get("live") instanceof List<?> l ? l : null);
                }
            }
            case "refused" -> {
                refused(order.get(at) + ": " + MessageCodec.text(m, "why"));
                next();
                openAt = host.now().plus(REFUSED_AGAIN);
            }
            case "news" -> {
                long epoch = MessageCodec.number(m, "epoch");
                if (fence.admits(MessageCodec.text(m, "duty"), epoch)) {
                    news.published(epoch, Json.object(m.get("what"), "news"));
                }
            }
            case "not-opened" -> refused(MessageCodec.text(m, "why"));
            default -> {
                // of no concern here
            }
        }
    }

    private void refused(String why) {
        if (!why.equals(refusal)) {
            refusal = why;
            host.log("fleet: no session: " + why);
        }
    }

    private void settled(Map<String, Object> m) {
        long rev = MessageCodec.number(m, "rev");
        if (rev < revision) {
            // A voter that lags: what it knows has been overtaken.
            return;
        }
        heardAt = host.now();
        revision = rev;
        for (Object o : Json.list(m, "duties")) {
            List<?> d = (List<?>) o;
            fence.advance((String) d.get(0), ((Number) d.get(2)).longValue());
            sessionLease.updateDuty(
                    new SessionLease.DutyState(
                            (String) d.get(0),
                            (String) d.get(1),
                            ((Number) d.get(2)).longValue(),
                            ((Number) d.get(3)).longValue(),
                            (String) d.get(4),
                            (String) d.get(5)));
        }
        boolean open = Boolean.TRUE.equals(m.get("open"));
        if (open) {
            if (!opened) {
                // Another session, which has said nothing yet.
                reportIn = 0;
                reports = 0;
            }
            opened = true;
            refusal = "";
            sessionLease.markOpen();
            sessionLease.heartbeatCommitted(MessageCodec.number(m, "beat"), host.now());
        } else if (leaving) {
            if (left != null) {
                left.run();
                left = null;
            }
            return;
        } else if (opened) {
            begin();
        }
        tellLease(host.now());
        tellWorker();
        giveBack();
        doer.look();
    }

    /**
     * The council has ended the session: another one is opened, and nothing is done under the old
     * one.
     */
    private void begin() {
        SessionLease old = sessionLease;
        old.markEnded();
        tellWorker();
        asks.clear();
        opened = false;
        sessionLease = sessionLeases.apply(rules.driver() + "/" + runs.get());
        old.current().forEach(sessionLease::updateDuty);
        host.log(
                "fleet: the council has ended "
                        + old.sessionId()
                        + "; opens "
                        + sessionLease.sessionId());
        if (greeted) {
            wire.send(MessageCodec.message("again", "run", run()));
            send(Command.openSession(sessionLease.sessionId(), identity, rules.duties()));
        }
    }

    @Override
    public void ended(Wire w, String how) {
        next();
    }

    /** Which voter it is attached to, for people. */
    String by() {
        return up ? order.get(at) : "";
    }
}
