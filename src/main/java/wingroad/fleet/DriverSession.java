package wingroad.fleet;

import wingroad.duty.Command;
import wingroad.duty.EpochFence;
import wingroad.duty.SessionLease;
import wingroad.fleet.MessageTransport.Channel;
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
final class DriverSession implements MessageTransport.ChannelHandler {
    private static final Duration REFUSED_RETRY_DELAY = Duration.ofSeconds(2);

    /** A word that it leaves goes out again so soon; after so many to one voter, to the next. */
    private static final Duration LEAVE_RETRY_DELAY = Duration.ofMillis(40);

    private static final int LEAVE_ATTEMPTS_PER_VOTER = 3;

    /**
     * A report is said again with each of so many beats: the one before may not have got through.
     */
    private static final int REPORT_INTERVAL_HEARTBEATS = 4;

    private static final int MAX_FREQUENT_IDLE_REPORTS = 3;
    private static final int IDLE_REPORT_INTERVAL_HEARTBEATS = 32;

    /** Who does the duties. */
    interface DutyHandler {
        /** Something is settled, or time has passed: a look at what is to be done. */
        void checkDuties();

        /** Whether work under this duty has begun and not ended. */
        boolean isBusy(String duty);
    }

    private final ExecutionContext context;
    private final MessageTransport transport;
    private final FleetConfig config;
    private final String identity;
    private final Supplier<String> runIdGenerator;
    private final Function<String, SessionLease> sessionLeaseFactory;
    private final FleetNode.PublicationListener publicationListener;
    private final EpochFence fence = new EpochFence();
    private final Map<String, String> voterAddresses = new LinkedHashMap<>();
    private final List<String> voterOrder = new ArrayList<>();
    private final Map<String, Command> pendingRequests = new LinkedHashMap<>();
    private DutyHandler dutyHandler;
    private SessionLease sessionLease;
    private Channel channel;
    private boolean channelUp;

    /**
     * The voter has been heard on this connection. Before that nothing is asked there: one that
     * hears nothing but is heard would keep its session, and its duties, that it can't act under.
     */
    private boolean helloAnswered;

    private int voterIndex;
    private Duration lastHeardAt;
    private Duration reconnectAt = Duration.ZERO;
    private long lastRevision = -1;
    private boolean sessionOpen;
    private boolean leaving;
    private Runnable onLeft;
    private boolean stopped;
    private String lastRefusal = "";
    private boolean leaseWasValid;
    private boolean reconnectedSinceHeartbeat;

    /** Who acts on the plan of work, or null. */
    private MaintenancePlanListener planListener;

    /**
     * The register's revision that the plan is known of; an older voter's word on it counts for
     * nothing.
     */
    private long planRevision = -1;

    private DriverReport report;
    private int heartbeatsUntilReport;
    private int sentReportCount;

    /**
     * @param identity of the state folder
     * @param runIdGenerator gives a new session's part behind the driver's name
     * @param sessionLeaseFactory makes the driver's side of a session
     * @param publicationListener hears what owners hand on, past the fence
     */
    DriverSession(
            ExecutionContext context,
            MessageTransport transport,
            FleetConfig config,
            String identity,
            Supplier<String> runIdGenerator,
            Function<String, SessionLease> sessionLeaseFactory,
            FleetNode.PublicationListener publicationListener) {
        this.context = context;
        this.transport = transport;
        this.config = config;
        this.identity = identity;
        this.runIdGenerator = runIdGenerator;
        this.sessionLeaseFactory = sessionLeaseFactory;
        this.publicationListener = publicationListener;
        voterAddresses.putAll(config.voterAddresses());
        voterOrder.addAll(voterAddresses.keySet());
        // Its own voter first; else spread over the voters by name.
        voterOrder.sort(
                Comparator.<String>comparingInt(v -> v.equals(config.driver()) ? 0 : 1)
                        .thenComparing(v -> (v + '/' + config.driver()).hashCode()));
        sessionLease = sessionLeaseFactory.apply(config.driver() + "/" + runIdGenerator.get());
    }

    void setPlanListener(MaintenancePlanListener listener) {
        planListener = listener;
    }

    /** What this driver says of itself from now on: at once where it says more than new figures. */
    void report(DriverReport newReport) {
        boolean changed = report == null || newReport.differsBeyondFigures(report);
        report = newReport;
        if (changed) {
            sentReportCount = 0;
            sendReport();
        }
    }

    private void sendReport() {
        if (helloAnswered && sessionOpen && report != null) {
            // At rest, with no machine asked for, it is heard often enough by far less.
            heartbeatsUntilReport =
                    report.busyMsByGroup().isEmpty()
                                    && ++sentReportCount > MAX_FREQUENT_IDLE_REPORTS
                            ? IDLE_REPORT_INTERVAL_HEARTBEATS
                            : REPORT_INTERVAL_HEARTBEATS;
            channel.send(
                    MessageCodec.message(
                            "report", "line", report.toLine(sessionLease.sessionId())));
        }
    }

    /** An order of the conductor's, if this driver conducts under this epoch now. */
    void proposeAsConductor(long epoch, Function<String, Command> commandFactory) {
        if (sessionLease.mayAct(MaintenanceSettings.CONTROLLER_DUTY, epoch, context.now())) {
            send(commandFactory.apply(sessionLease.sessionId()));
        }
    }

    private void notifyPlanListener() {
        if (planListener != null) {
            SessionLease.DutyState dutyState =
                    sessionLease.current(MaintenanceSettings.CONTROLLER_DUTY);
            boolean isController =
                    dutyState != null
                            && sessionLease.mayAct(
                                    dutyState.duty(), dutyState.epoch(), context.now());
            planListener.leaseUpdated(
                    sessionLease.expiresAt(),
                    !sessionLease.isOpen(),
                    isController ? dutyState.epoch() : 0);
        }
    }

    void start(DutyHandler handler) {
        dutyHandler = handler;
        lastHeardAt = context.now();
        heartbeat();
    }

    SessionLease sessionLease() {
        return sessionLease;
    }

    /** Asks for this until it is withdrawn; at most one ask by a name. */
    void request(String name, Command command) {
        if (!command.equals(pendingRequests.put(name, command))) {
            send(command);
        }
    }

    void cancelRequest(String name) {
        pendingRequests.remove(name);
    }

    /**
     * Nothing is done under any duty from now on; {@code then} runs once that is settled, if it is.
     */
    void leave(Runnable then) {
        leaving = true;
        onLeft = then;
        sessionLease.markEnded();
        notifyPlanListener();
        pendingRequests.clear();
        retryLeave(0);
    }

    /**
     * Until it is settled, and more often than with each beat: the duties stand still meanwhile. A
     * voter that can't get it settled may know of no leader, or be gone.
     */
    private void retryLeave(int attempts) {
        if (onLeft == null || stopped) {
            return;
        }
        if (attempts > 0 && attempts % LEAVE_ATTEMPTS_PER_VOTER == 0) {
            switchVoter();
        } else {
            send(Command.leaveSession(sessionLease.sessionId()));
        }
        context.schedule(LEAVE_RETRY_DELAY, () -> retryLeave(attempts + 1));
    }

    void stop() {
        stopped = true;
        disconnect();
    }

    /** Hands something on, if the duty is this driver's at this time. */
    void publish(String duty, Map<String, Object> content) {
        SessionLease.DutyState dutyState = sessionLease.current(duty);
        if (helloAnswered
                && dutyState != null
                && sessionLease.mayAct(duty, dutyState.epoch(), context.now())) {
            channel.send(
                    MessageCodec.message(
                            "publish", "duty", duty, "epoch", dutyState.epoch(), "what", content));
        }
    }

    private void send(Command command) {
        if (helloAnswered) {
            channel.send(MessageCodec.message("ask", "op", MessageCodec.encode(command)));
        }
    }

    private void heartbeat() {
        if (stopped) {
            return;
        }
        Duration now = context.now();
        reconnectedSinceHeartbeat = false;
        connect();
        if (channel != null
                && now.minus(lastHeardAt).compareTo(config.lease().duration().dividedBy(3)) > 0) {
            // Nothing is settled there: it may be cut off itself.
            switchVoter();
        }
        resendAll();
        logLeaseChange(now);
        releaseRequestedDuties();
        dutyHandler.checkDuties();
        context.schedule(config.lease().heartbeatInterval(), this::heartbeat);
    }

    private void connect() {
        if (channel == null && !stopped && context.now().compareTo(reconnectAt) >= 0) {
            lastHeardAt = context.now();
            channel = transport.open(voterAddresses.get(voterOrder.get(voterIndex)), this);
        }
    }

    /** All that is to be settled, once more. */
    private void resendAll() {
        if (helloAnswered && leaving) {
            send(Command.leaveSession(sessionLease.sessionId()));
        } else if (helloAnswered) {
            if (!sessionOpen) {
                send(Command.openSession(sessionLease.sessionId(), identity, config.duties()));
            }
            channel.send(
                    MessageCodec.message("beat", "n", sessionLease.nextHeartbeat(context.now())));
            pendingRequests.values().forEach(this::send);
            if (--heartbeatsUntilReport <= 0) {
                sendReport();
            }
        }
    }

    private void logLeaseChange(Duration now) {
        boolean leaseIsValid = sessionLease.isOpen() && now.compareTo(sessionLease.expiresAt()) < 0;
        if (leaseIsValid != leaseWasValid) {
            leaseWasValid = leaseIsValid;
            context.log(
                    leaseIsValid
                            ? "fleet: lease of "
                                    + sessionLease.sessionId()
                                    + " runs, by "
                                    + voterOrder.get(voterIndex)
                            : "fleet: lease of "
                                    + sessionLease.sessionId()
                                    + " has run out; its duties stand still here");
        }
    }

    /** What is asked back is given up as soon as nothing of it runs. */
    private void releaseRequestedDuties() {
        for (SessionLease.DutyState dutyState : sessionLease.releaseRequests()) {
            if (!dutyHandler.isBusy(dutyState.duty())) {
                request(
                        "give " + dutyState.duty(),
                        Command.releaseDuty(
                                sessionLease.sessionId(), dutyState.duty(), dutyState.epoch()));
            }
        }
        pendingRequests
                .keySet()
                .removeIf(
                        name ->
                                name.startsWith("give ")
                                        && sessionLease.releaseRequests().stream()
                                                .noneMatch(
                                                        dutyState ->
                                                                name.equals(
                                                                        "give "
                                                                                + dutyState
                                                                                        .duty())));
    }

    private void switchVoter() {
        disconnect();
        voterIndex = (voterIndex + 1) % voterOrder.size();
        reconnectAt = context.now();
        if (!reconnectedSinceHeartbeat) {
            // The next one at once, but no more than one between two beats: all of them may be
            // gone.
            reconnectedSinceHeartbeat = true;
            context.execute(this::connect);
        }
    }

    private void disconnect() {
        if (channel != null) {
            channel.close();
        }
        channel = null;
        channelUp = false;
        helloAnswered = false;
    }

    @Override
    public void connected(Channel opened) {
        channelUp = true;
        opened.send(
                MessageCodec.message(
                        "hello",
                        "fleet",
                        config.name(),
                        "name",
                        config.driver(),
                        "role",
                        "driver",
                        "identity",
                        identity,
                        "run",
                        runId()));
    }

    /** The voters as they are now: those of the file, and what was changed since. */
    private void updateVoters(Object changes) {
        if (changes instanceof Map<?, ?> changeMap) {
            String attached = voterOrder.get(voterIndex);
            changeMap.forEach(
                    (name, address) -> {
                        if (address.equals("")) {
                            if (!name.equals(attached) && voterOrder.size() > 1) {
                                voterOrder.remove(name);
                            }
                        } else if (voterAddresses.putIfAbsent((String) name, (String) address)
                                        == null
                                || !voterOrder.contains(name)) {
                            voterOrder.add((String) name);
                        }
                    });
            voterIndex = voterOrder.indexOf(attached);
        }
    }

    private String runId() {
        return sessionLease.sessionId().substring(sessionLease.sessionId().indexOf('/') + 1);
    }

    @Override
    public void received(Channel source, Map<String, Object> message) {
        switch (MessageCodec.stringOrEmpty(message, "k")) {
            case "here" -> {
                updateVoters(message.get("voters"));
                if (!helloAnswered) {
                    helloAnswered = true;
                    resendAll();
                }
            }
            case "settled" -> handleUpdate(message);
            case "plan" -> {
                if (planListener != null
                        && MessageCodec.longOrZero(message, "of") >= planRevision) {
                    planRevision = MessageCodec.longOrZero(message, "of");
                    planListener.planUpdated(
                            Json.object(message.get("news"), "the plan"),
                            message.get("sums") instanceof List<?> values ? values : null,
                            message.get("live") instanceof List<?> values ? values : null);
                }
            }
            case "refused" -> {
                logRefusal(
                        voterOrder.get(voterIndex)
                                + ": "
                                + MessageCodec.stringOrEmpty(message, "why"));
                switchVoter();
                reconnectAt = context.now().plus(REFUSED_RETRY_DELAY);
            }
            case "news" -> {
                long epoch = MessageCodec.longOrZero(message, "epoch");
                if (fence.admits(MessageCodec.stringOrEmpty(message, "duty"), epoch)) {
                    publicationListener.published(epoch, Json.object(message.get("what"), "news"));
                }
            }
            case "not-opened" -> logRefusal(MessageCodec.stringOrEmpty(message, "why"));
            default -> {
                // of no concern here
            }
        }
    }

    private void logRefusal(String reason) {
        if (!reason.equals(lastRefusal)) {
            lastRefusal = reason;
            context.log("fleet: no session: " + reason);
        }
    }

    private void handleUpdate(Map<String, Object> message) {
        long newRevision = MessageCodec.longOrZero(message, "rev");
        if (newRevision < lastRevision) {
            // A voter that lags: what it knows has been overtaken.
            return;
        }
        lastHeardAt = context.now();
        lastRevision = newRevision;
        for (Object entry : Json.list(message, "duties")) {
            List<?> duty = (List<?>) entry;
            fence.advance((String) duty.get(0), ((Number) duty.get(2)).longValue());
            sessionLease.updateDuty(
                    new SessionLease.DutyState(
                            (String) duty.get(0),
                            (String) duty.get(1),
                            ((Number) duty.get(2)).longValue(),
                            ((Number) duty.get(3)).longValue(),
                            (String) duty.get(4),
                            (String) duty.get(5)));
        }
        boolean open = Boolean.TRUE.equals(message.get("open"));
        if (open) {
            if (!sessionOpen) {
                // Another session, which has said nothing yet.
                heartbeatsUntilReport = 0;
                sentReportCount = 0;
            }
            sessionOpen = true;
            lastRefusal = "";
            sessionLease.markOpen();
            sessionLease.heartbeatCommitted(
                    MessageCodec.longOrZero(message, "beat"), context.now());
        } else if (leaving) {
            if (onLeft != null) {
                onLeft.run();
                onLeft = null;
            }
            return;
        } else if (sessionOpen) {
            openNewSession();
        }
        logLeaseChange(context.now());
        notifyPlanListener();
        releaseRequestedDuties();
        dutyHandler.checkDuties();
    }

    /**
     * The council has ended the session: another one is opened, and nothing is done under the old
     * one.
     */
    private void openNewSession() {
        SessionLease oldLease = sessionLease;
        oldLease.markEnded();
        notifyPlanListener();
        pendingRequests.clear();
        sessionOpen = false;
        sessionLease = sessionLeaseFactory.apply(config.driver() + "/" + runIdGenerator.get());
        oldLease.current().forEach(sessionLease::updateDuty);
        context.log(
                "fleet: the council has ended "
                        + oldLease.sessionId()
                        + "; opens "
                        + sessionLease.sessionId());
        if (helloAnswered) {
            channel.send(MessageCodec.message("again", "run", runId()));
            send(Command.openSession(sessionLease.sessionId(), identity, config.duties()));
        }
    }

    @Override
    public void closed(Channel source, String reason) {
        switchVoter();
    }

    /** Which voter it is attached to, for people. */
    String attachedVoter() {
        return channelUp ? voterOrder.get(voterIndex) : "";
    }
}
