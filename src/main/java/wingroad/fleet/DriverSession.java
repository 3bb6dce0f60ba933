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
 * A driver's session with the consensus group, by way of one voter; switches to another voter when
 * that one falls silent. Pending requests are repeated with each heartbeat until their effect is
 * seen. Does no I/O itself; all calls must be made on one thread.
 */
final class DriverSession implements MessageTransport.ChannelHandler {
    /** Delay before connecting again after a voter refused this driver. */
    private static final Duration REFUSED_RETRY_DELAY = Duration.ofSeconds(2);

    /** Delay between repeated leave requests. */
    private static final Duration LEAVE_RETRY_DELAY = Duration.ofMillis(40);

    /** Leave requests sent to one voter before switching to the next. */
    private static final int LEAVE_ATTEMPTS_PER_VOTER = 3;

    /**
     * Heartbeats between two reports. The periodic report replaces a lost one and carries changed
     * figures; other changes are sent at once.
     */
    private static final int REPORT_INTERVAL_HEARTBEATS = 4;

    /** Idle reports sent at the short interval before the long one applies. */
    private static final int MAX_FREQUENT_IDLE_REPORTS = 3;

    /** Interval of reports of a driver that has been idle for some reports. */
    private static final int IDLE_REPORT_INTERVAL_HEARTBEATS = 32;

    /** Start of the name of a pending request to release a duty. */
    private static final String RELEASE_REQUEST_PREFIX = "give ";

    /** Carries out the duties that this driver owns. */
    interface DutyHandler {
        /** Called when committed state arrived or time has passed: starts what is due. */
        void checkDuties();

        /** Whether a task under this duty has started and not ended. */
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
    private boolean isConnected;

    /**
     * Whether the voter has answered on this connection. Nothing is sent before that: a driver that
     * is heard but hears nothing would keep its session and its duties without being able to act on
     * them.
     */
    private boolean helloAnswered;

    private int voterIndex;
    private Duration lastHeardAt;
    private Duration reconnectAt = Duration.ZERO;
    private long lastRevision = -1;
    private boolean sessionOpen;
    private boolean stoppedActing;
    private boolean leaving;
    private Runnable onLeft;
    private boolean stopped;
    private String lastRefusal = "";
    private boolean leaseWasValid;

    /** Whether another voter was already tried since the last heartbeat. */
    private boolean reconnectedSinceHeartbeat;

    /** Receives the maintenance plan, or null. */
    private MaintenancePlanListener planListener;

    /**
     * State machine revision of the newest plan received; an older plan from a lagging voter is
     * ignored.
     */
    private long planRevision = -1;

    private DriverReport report;
    private int heartbeatsUntilReport;
    private int sentReportCount;

    /**
     * @param identity the driver's identity, from its state folder
     * @param runIdGenerator supplies the part of a new session id after the driver's name
     * @param sessionLeaseFactory creates the lease state of a session, from its id
     * @param publicationListener receives publications of duty owners that pass the epoch fence
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
        // Its own voter first; the others in an order that differs by driver, to spread the load.
        voterOrder.sort(
                Comparator.<String>comparingInt(voter -> voter.equals(config.driver()) ? 0 : 1)
                        .thenComparing(voter -> (voter + '/' + config.driver()).hashCode()));
        sessionLease = sessionLeaseFactory.apply(config.driver() + "/" + runIdGenerator.get());
    }

    void setPlanListener(MaintenancePlanListener listener) {
        planListener = listener;
    }

    /** Sets this driver's report; sent at once if more than its figures has changed. */
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
            // An idle driver with no requested machine reports less often.
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

    /**
     * Proposes a command of the maintenance controller, if this driver is the controller under this
     * epoch now.
     */
    void proposeAsController(long epoch, Function<String, Command> commandFactory) {
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

    /**
     * Repeats the command with each heartbeat until {@link #cancelRequest}. A later request of the
     * same name replaces it.
     */
    void request(String name, Command command) {
        if (!command.equals(pendingRequests.put(name, command))) {
            send(command);
        }
    }

    void cancelRequest(String name) {
        pendingRequests.remove(name);
    }

    /**
     * Begins nothing more under any duty. The session and its lease stay until {@link #leave}, so
     * that what is under way keeps its owner.
     */
    void stopActing() {
        stoppedActing = true;
        sessionLease.markEnded();
        dutyHandler.checkDuties();
        notifyPlanListener();
    }

    /** Whether a task under any duty has started and not ended. */
    boolean isBusy() {
        return sessionLease.current().stream()
                .anyMatch(dutyState -> dutyHandler.isBusy(dutyState.duty()));
    }

    /**
     * Leaves the session after {@link #stopActing}; {@code then} runs once that is committed, which
     * may be never.
     */
    void leave(Runnable then) {
        leaving = true;
        onLeft = then;
        pendingRequests.clear();
        retryLeave(0);
    }

    /**
     * Repeats the leave request until it is committed, more often than with heartbeats since the
     * duties have no active owner meanwhile. After a few attempts it switches to another voter:
     * this one may know of no leader, or be gone.
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

    /** Publishes content to all drivers, if this driver owns the duty now. */
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
            // Nothing is committed through this voter: it may itself be cut off.
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

    /** Sends the heartbeat and all pending requests again. */
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
                                    + " is valid, renewed through "
                                    + voterOrder.get(voterIndex)
                            : "fleet: lease of "
                                    + sessionLease.sessionId()
                                    + " has expired; its duties are suspended here");
        }
    }

    /** Releases each duty whose release is requested, once nothing runs under it. */
    private void releaseRequestedDuties() {
        for (SessionLease.DutyState dutyState : sessionLease.releaseRequests()) {
            if (!dutyHandler.isBusy(dutyState.duty())) {
                request(
                        RELEASE_REQUEST_PREFIX + dutyState.duty(),
                        Command.releaseDuty(
                                sessionLease.sessionId(), dutyState.duty(), dutyState.epoch()));
            }
        }
        pendingRequests
                .keySet()
                .removeIf(
                        name ->
                                name.startsWith(RELEASE_REQUEST_PREFIX)
                                        && sessionLease.releaseRequests().stream()
                                                .noneMatch(
                                                        dutyState ->
                                                                name.equals(
                                                                        RELEASE_REQUEST_PREFIX
                                                                                + dutyState
                                                                                        .duty())));
    }

    private void switchVoter() {
        disconnect();
        voterIndex = (voterIndex + 1) % voterOrder.size();
        reconnectAt = context.now();
        if (!reconnectedSinceHeartbeat) {
            // Connect to the next voter at once, but at most once between two heartbeats: all
            // voters may be gone.
            reconnectedSinceHeartbeat = true;
            context.execute(this::connect);
        }
    }

    private void disconnect() {
        if (channel != null) {
            channel.close();
        }
        channel = null;
        isConnected = false;
        helloAnswered = false;
    }

    @Override
    public void connected(Channel opened) {
        isConnected = true;
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

    /** Applies the committed voter changes to the configured voters. */
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
                // not for a driver
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
            // From a lagging voter: already superseded.
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
                // A new session has not reported yet.
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
        } else if (sessionOpen && !stoppedActing) {
            openNewSession();
        }
        logLeaseChange(context.now());
        notifyPlanListener();
        releaseRequestedDuties();
        dutyHandler.checkDuties();
    }

    /**
     * The consensus group has ended the session: opens another one, and nothing more is done under
     * the old one.
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
                "fleet: the consensus group has ended session "
                        + oldLease.sessionId()
                        + "; opening "
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

    /** Name of the voter that it is connected to, for display; empty if none. */
    String attachedVoter() {
        return isConnected ? voterOrder.get(voterIndex) : "";
    }
}
