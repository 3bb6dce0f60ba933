package wingroad.driver;

import wingroad.driver.TxnDispatcher.MemberRequest;
import wingroad.protocol.MemberMessageEncoder;
import wingroad.protocol.MemberResponseDecoder;
import wingroad.state.Submission.Outcome;
import wingroad.transport.Connection;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * One connection to a member. It carries one request at a time, and is closed whenever the state of
 * its stream is in doubt.
 *
 * <p>Nothing in a response names its statement: one is the response to the other by their order
 * alone. So each response is followed by an empty query, and the connection is reused only once
 * that is answered. A member answers in order; whatever it sent before, such as a second copy of
 * the response, has arrived by then, however late, and closes the connection.
 */
final class MemberConnection implements Connection.Handler {
    private enum State {
        CONNECTING,
        /** The startup message is sent and not answered yet. */
        STARTING_UP,
        /**
         * Waits for the response to an empty query and for the end of {@link MemberPools}' reuse
         * delay; it may have a request that waits.
         */
        VALIDATING,
        IDLE,
        AWAITING_RESPONSE,
        CLOSED
    }

    /** What the input may buffer beyond its longest message. */
    private static final int BUFFER_MARGIN_BYTES = 1024;

    private final MemberPools pools;
    private final MemberPools.MemberPool pool;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final MemberResponseDecoder input = new MemberResponseDecoder();
    private Connection connection;
    private State state = State.CONNECTING;
    private MemberRequest request;

    /** Since when it has had its request, or since when it has been idle. */
    private Duration requestOrIdleSince;

    /** Whether all bytes of the request are known to be written. */
    private boolean written;

    /** The request is cancelled; its end will be reported in a later task. */
    private boolean cancelled;

    /** Whether the empty query behind the last response is answered. */
    private boolean validated;

    /** Whether the reuse delay behind the last response is over. */
    private boolean reuseDelayOver;

    private EventLoop.Timer connectTimer;
    private EventLoop.Timer requestTimer;
    private EventLoop.Timer idleTimer;
    private EventLoop.Timer validationTimer;

    private MemberConnection(
            MemberPools pools,
            MemberPools.MemberPool pool,
            InetSocketAddress address,
            EventLoop loop) {
        this.pools = pools;
        this.pool = pool;
        this.address = address;
        this.loop = loop;
    }

    /** Opens a connection for a request, which is sent once the member has accepted the startup. */
    static MemberConnection open(
            MemberPools pools,
            MemberPools.MemberPool pool,
            InetSocketAddress address,
            EventLoop loop,
            Duration connectTimeout,
            MemberRequest firstRequest)
            throws IOException {
        MemberConnection opened = new MemberConnection(pools, pool, address, loop);
        opened.connection =
                Connection.open(
                        loop,
                        address,
                        opened,
                        MemberResponseDecoder.MAX_MESSAGE_BYTES + BUFFER_MARGIN_BYTES);
        opened.connectTimer =
                loop.schedule(
                        connectTimeout,
                        () -> opened.abandonRequest("connect timed out", Outcome.UNREACHABLE));
        opened.assign(firstRequest);
        return opened;
    }

    MemberRequest request() {
        return request;
    }

    Duration idleSince() {
        return requestOrIdleSince;
    }

    private void assign(MemberRequest newRequest) {
        request = newRequest;
        cancelled = false;
        requestOrIdleSince = pools.now();
        requestTimer =
                loop.schedule(
                        newRequest.deadline().minus(requestOrIdleSince),
                        () -> abandonRequest("response timed out", progress().outcomeIfTimedOut()));
    }

    /** Sends a request on an idle connection, at once or as soon as it is validated. */
    void dispatch(MemberRequest newRequest) {
        idleTimer.cancel();
        assign(newRequest);
        if (state == State.IDLE) {
            sendRequest();
        }
    }

    boolean isReusable() {
        return state == State.IDLE;
    }

    void reuseDelayElapsed() {
        reuseDelayOver = true;
        endValidation();
    }

    private void emptyQueryAnswered() {
        validationTimer.cancel();
        input.reset();
        validated = true;
        endValidation();
    }

    /**
     * Makes the connection reusable. No surplus data followed the last response, so whatever
     * arrives from now on belongs to the next request.
     */
    private void endValidation() {
        if (state == State.VALIDATING && validated && reuseDelayOver) {
            state = State.IDLE;
            if (request != null) {
                sendIfStillWanted();
            }
        }
    }

    /** Closes the connection of a member that leaves even an empty query unanswered. */
    private void validationTimedOut() {
        MemberRequest unsent = request;
        closeConnection();
        if (unsent != null) {
            pools.requestFailed(
                    unsent,
                    Outcome.UNREACHABLE,
                    pools.connectTimeout(),
                    "empty query not answered");
        }
    }

    private void sendRequest() {
        state = State.AWAITING_RESPONSE;
        written = false;
        long timeLeftMs = Math.max(1, request.deadline().minus(pools.now()).toMillis());
        connection.send(
                request.isProbe()
                        ? MemberMessageEncoder.gaugesQuery()
                        : MemberMessageEncoder.query(request.statement().withTimeLeft(timeLeftMs)));
    }

    @Override
    public void onConnected() {
        state = State.STARTING_UP;
        connection.send(MemberMessageEncoder.startup());
    }

    @Override
    public void onAllWritten() {
        written = state == State.AWAITING_RESPONSE;
    }

    @Override
    public void onBytes(ByteBuffer in) {
        while (state != State.CLOSED) {
            if (state == State.IDLE || state == State.VALIDATING && validated) {
                if (in.hasRemaining()) {
                    failProtocol(
                            "unexpected data "
                                    + (state == State.IDLE ? "while idle" : "after a response"));
                }
                return;
            }
            switch (input.decode(in)) {
                case INCOMPLETE -> {
                    return;
                }
                case COMPLETE -> responseReceived(in.hasRemaining());
                default -> {
                    failProtocol(input.malformedReason());
                    return;
                }
            }
        }
    }

    /**
     * Handles a complete response.
     *
     * @param surplus whether more data has arrived behind it, which nothing has asked for
     */
    private void responseReceived(boolean surplus) {
        boolean fatal = input.fatal();
        if (state == State.STARTING_UP && input.errorSqlState() != null) {
            failProtocol("startup rejected");
            return;
        }
        if (surplus && state != State.AWAITING_RESPONSE) {
            failProtocol("unexpected data after a response");
            return;
        }
        if (state == State.VALIDATING) {
            emptyQueryAnswered();
            return;
        }
        if (state == State.STARTING_UP) {
            connectTimer.cancel();
            input.reset();
            sendIfStillWanted();
            return;
        }
        MemberRequest answeredRequest = request;
        Duration elapsed = pools.now().minus(requestOrIdleSince);
        requestTimer.cancel();
        request = null;
        MemberResponse response = parseResponse(answeredRequest);
        input.reset();
        // A member that responds has read the query, even if the write's completion is not handled
        // yet: on one core the response may well be handled first.
        if (fatal || surplus) {
            closeConnection();
        } else {
            returnToPool(State.VALIDATING);
        }
        if (state == State.VALIDATING) {
            startValidation();
        }
        pools.requestAnswered(answeredRequest, response, elapsed);
    }

    /** Sends the request, unless it became obsolete while it waited for this connection. */
    private void sendIfStillWanted() {
        if (!cancelled && pool.isCurrentAddress(address) && pools.mayDispatch(request)) {
            sendRequest();
        } else {
            MemberRequest unwanted = request;
            requestTimer.cancel();
            request = null;
            returnToPool(State.IDLE);
            pools.requestFailed(
                    unwanted, Outcome.MOOT, Duration.ZERO, "obsolete before it was sent");
        }
    }

    /** Parses the response. The request ends even if that fails. */
    private MemberResponse parseResponse(MemberRequest answeredRequest) {
        try {
            return new MemberResponse(input, pools.clock(), answeredRequest.isProbe());
        } catch (RuntimeException error) {
            pools.reportError(error);
            return MemberResponse.UNREADABLE;
        }
    }

    /**
     * Returns the connection to its pool, or closes it if the member drains, has moved or is gone.
     */
    private void returnToPool(State stateInPool) {
        state = stateInPool;
        if (!pool.keepsConnections(address)) {
            close();
            return;
        }
        requestOrIdleSince = pools.now();
        idleTimer = loop.schedule(pools.idleTimeout(), this::close);
        pool.addIdle(this);
    }

    /** Sends the empty query whose response shows that nothing else follows the last response. */
    private void startValidation() {
        validated = false;
        reuseDelayOver = false;
        validationTimer = loop.schedule(pools.connectTimeout(), this::validationTimedOut);
        input.expectEmptyQueryResponse();
        connection.send(MemberMessageEncoder.emptyQuery());
        pools.delayReuse(this);
    }

    private AttemptProgress progress() {
        if (state != State.AWAITING_RESPONSE) {
            return AttemptProgress.NOT_CONNECTED;
        }
        return input.responseStarted()
                ? AttemptProgress.ANSWERING
                : written ? AttemptProgress.WRITTEN : AttemptProgress.PARTLY_WRITTEN;
    }

    @Override
    public boolean isInputEssential() {
        return true;
    }

    @Override
    public void onInputMemoryExhausted() {
        failProtocol("no memory for the response");
    }

    @Override
    public void onClosed(int unwritten, boolean orderly, String reason) {
        AttemptProgress progress = progress();
        if (progress == AttemptProgress.PARTLY_WRITTEN && unwritten == 0) {
            progress = AttemptProgress.WRITTEN;
        }
        connectionLost(progress, reason);
    }

    /** Closes the connection because its stream can't be interpreted any more. */
    private void failProtocol(String reason) {
        // A member that sends data has read the request, so the statement may have run even if the
        // write seems to be incomplete.
        connectionLost(
                progress() == AttemptProgress.NOT_CONNECTED
                        ? AttemptProgress.NOT_CONNECTED
                        : AttemptProgress.ANSWERING,
                reason);
    }

    private void connectionLost(AttemptProgress progress, String reason) {
        State stateBefore = state;
        MemberRequest lostRequest = request;
        closeConnection();
        if (stateBefore == State.CLOSED) {
            return;
        }
        if (stateBefore == State.VALIDATING && lostRequest != null) {
            // Nothing of the request was sent, and the member was reachable: this is no failure of
            // the submission.
            pools.requestFailed(lostRequest, Outcome.MOOT, Duration.ZERO, reason);
        } else if (stateBefore == State.AWAITING_RESPONSE && input.malformedReason() != null) {
            // The member violated the protocol: an error of the member, whose statement may have
            // run, and not a lost connection.
            pools.requestFailed(
                    lostRequest, Outcome.ERROR, pools.now().minus(requestOrIdleSince), reason);
        } else if (stateBefore == State.AWAITING_RESPONSE
                && (input.rowComplete() || input.errorSqlState() != null)) {
            // The response is complete; only ReadyForQuery is missing.
            pools.requestAnswered(
                    lostRequest, parseResponse(lostRequest), pools.now().minus(requestOrIdleSince));
        } else if (lostRequest != null) {
            boolean rejectedAsFull =
                    stateBefore == State.STARTING_UP
                            && MemberResponse.SQLSTATE_TOO_MANY_CONNECTIONS.equals(
                                    input.errorSqlState());
            pools.requestFailed(
                    lostRequest,
                    rejectedAsFull
                            ? Outcome.FULL
                            : memberMoved(stateBefore) ? Outcome.MOOT : progress.outcomeIfLost(),
                    pools.now().minus(requestOrIdleSince),
                    reason);
        }
    }

    private void abandonRequest(String reason, Outcome outcome) {
        if (state != State.CLOSED) {
            MemberRequest abandoned = request;
            State stateBefore = state;
            closeConnection();
            if (abandoned != null) {
                pools.requestFailed(
                        abandoned,
                        memberMoved(stateBefore) ? Outcome.MOOT : outcome,
                        pools.now().minus(requestOrIdleSince),
                        reason);
            }
        }
    }

    /** Whether the connect failed at an outdated address, which is no failure of the member. */
    private boolean memberMoved(State stateBefore) {
        return (stateBefore == State.CONNECTING || stateBefore == State.STARTING_UP)
                && !pool.isCurrentAddress(address);
    }

    /**
     * Marks the request as cancelled. Guards against sending it if the connection is established
     * before {@link #cancel} is called.
     */
    void markCancelled() {
        cancelled = true;
    }

    /** Stops waiting for the response to the request. */
    void cancel() {
        abandonRequest("cancelled", progress().outcomeIfCancelled());
    }

    /** Closes the connection, with a Terminate message if it is idle. */
    void close() {
        if (state == State.IDLE || state == State.VALIDATING) {
            connection.send(MemberMessageEncoder.terminate());
        }
        closeConnection();
    }

    private void closeConnection() {
        state = State.CLOSED;
        request = null;
        for (EventLoop.Timer timer :
                new EventLoop.Timer[] {connectTimer, requestTimer, idleTimer, validationTimer}) {
            if (timer != null) {
                timer.cancel();
            }
        }
        connection.close();
        pool.remove(this);
    }
}
