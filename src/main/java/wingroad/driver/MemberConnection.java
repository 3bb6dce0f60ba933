package wingroad.driver;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import wingroad.driver.TxnDispatcher.MemberRequest;
import wingroad.protocol.MemberInput;
import wingroad.protocol.MemberOutput;
import wingroad.state.Submission.End;
import wingroad.transport.Connection;
import wingroad.transport.EventLoop;

/** One connection to a member. It carries one request at a time; whatever is in doubt closes it. */
final class MemberConnection implements Connection.Owner {
    private enum State {
        CONNECTING,
        STARTING_UP,
        REUSE_DELAYED,
        IDLE,
        AWAITING_RESPONSE,
        CLOSED
    }

    private final MemberPools pools;
    private final MemberPools.MemberPool pool;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final MemberInput input = new MemberInput();
    private Connection connection;
    private State state = State.CONNECTING;
    private MemberRequest request;

    /** Since when it carries its request, or stands idle. */
    private Duration requestOrIdleSince;

    /** Whether the request's last byte is known to be written. */
    private boolean written;

    /** Its request is not wanted any more; that is told in a moment. */
    private boolean cancelled;

    private EventLoop.Timer connectTimer;
    private EventLoop.Timer requestTimer;
    private EventLoop.Timer idleTimer;

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

    /** Opens one for a request, which waits until the member has let it in. */
    static MemberConnection open(
            MemberPools pools,
            MemberPools.MemberPool pool,
            InetSocketAddress address,
            EventLoop loop,
            Duration connectTimeout,
            MemberRequest firstRequest)
            throws IOException {
        MemberConnection opened = new MemberConnection(pools, pool, address, loop);
        opened.connection = Connection.open(loop, address, opened, MemberInput.MOST + 1024);
        opened.connectTimer =
                loop.after(
                        connectTimeout,
                        () -> opened.abandonRequest("not up in time", End.UNREACHABLE));
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
                loop.after(
                        newRequest.deadline().minus(requestOrIdleSince),
                        () -> abandonRequest("no answer in time", progress().endIfTimedOut()));
    }

    /** Carries a request over a connection that stands idle, or once it has rested. */
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

    /**
     * Nothing came behind its last answer: what comes from now on belongs to what is sent from now
     * on.
     */
    void reuseDelayElapsed() {
        if (state == State.REUSE_DELAYED) {
            state = State.IDLE;
            if (request != null) {
                sendIfStillWanted();
            }
        }
    }

    private void sendRequest() {
        state = State.AWAITING_RESPONSE;
        written = false;
        long timeLeftMs = Math.max(1, request.deadline().minus(pools.now()).toMillis());
        connection.send(
                request.isProbe()
                        ? MemberOutput.gauges()
                        : MemberOutput.query(request.statement().withLeft(timeLeftMs)));
    }

    @Override
    public void up() {
        state = State.STARTING_UP;
        connection.send(MemberOutput.startup());
    }

    @Override
    public void written() {
        written = state == State.AWAITING_RESPONSE;
    }

    @Override
    public void bytes(ByteBuffer in) {
        while (state != State.CLOSED) {
            if (state == State.IDLE || state == State.REUSE_DELAYED) {
                if (in.hasRemaining()) {
                    failProtocol(
                            "speaks unasked "
                                    + (state == State.IDLE ? "at rest" : "behind an answer"));
                }
                return;
            }
            switch (input.take(in)) {
                case WAITING -> {
                    return;
                }
                case WHOLE -> responseReceived();
                default -> {
                    failProtocol(input.why());
                    return;
                }
            }
        }
    }

    private void responseReceived() {
        boolean fatal = input.fatal();
        if (state == State.STARTING_UP && input.error() == null) {
            connectTimer.cancel();
            input.clear();
            sendIfStillWanted();
            return;
        }
        if (state == State.STARTING_UP) {
            failProtocol("lets nobody in");
            return;
        }
        MemberRequest answeredRequest = request;
        Duration elapsed = pools.now().minus(requestOrIdleSince);
        requestTimer.cancel();
        request = null;
        MemberResponse response = parseResponse(answeredRequest);
        input.clear();
        // Whoever answers has read its query, even where the word that it was written is still on
        // its way here:
        // on one core the answer may well come first.
        if (fatal) {
            closeConnection();
        } else {
            becomeIdle();
        }
        pools.requestAnswered(answeredRequest, response, elapsed);
    }

    /** A connection may have taken its time to open, or to rest. */
    private void sendIfStillWanted() {
        if (!cancelled && pool.isCurrentAddress(address) && pools.mayDispatch(request)) {
            sendRequest();
        } else {
            MemberRequest unwanted = request;
            requestTimer.cancel();
            request = null;
            becomeIdle();
            pools.requestFailed(unwanted, End.MOOT, Duration.ZERO, "no longer to be sent");
        }
    }

    /** What was answered; whatever it says, the request has its end. */
    private MemberResponse parseResponse(MemberRequest answeredRequest) {
        try {
            return new MemberResponse(input, pools.clock(), answeredRequest.isProbe());
        } catch (RuntimeException error) {
            pools.reportError(error);
            return MemberResponse.UNREADABLE;
        }
    }

    /** It may be used again, unless its member has moved or gone while it was at work. */
    private void becomeIdle() {
        state = State.REUSE_DELAYED;
        if (!pool.isCurrentAddress(address)) {
            close();
            return;
        }
        requestOrIdleSince = pools.now();
        idleTimer = loop.after(pools.idleTimeout(), this::close);
        pool.idleConnections(this);
        pools.delayReuse(this);
    }

    private AttemptProgress progress() {
        if (state != State.AWAITING_RESPONSE) {
            return AttemptProgress.NOT_CONNECTED;
        }
        return input.begun()
                ? AttemptProgress.ANSWERING
                : written ? AttemptProgress.WRITTEN : AttemptProgress.PARTLY_WRITTEN;
    }

    @Override
    public void full() {
        failProtocol("no memory for its answer");
    }

    @Override
    public void ended(int unwritten, boolean orderly, String reason) {
        AttemptProgress progress = progress();
        if (progress == AttemptProgress.PARTLY_WRITTEN && unwritten == 0) {
            progress = AttemptProgress.WRITTEN;
        }
        connectionLost(progress, reason);
    }

    /** The stream makes no sense any more: what was asked on it ends as what is proven. */
    private void failProtocol(String reason) {
        // Whoever answers has read: a write that seems to be out may be through.
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
        if (stateBefore == State.REUSE_DELAYED && lostRequest != null) {
            // Nothing of it was sent, and the member is there: no fault of the txn's path.
            pools.requestFailed(lostRequest, End.MOOT, Duration.ZERO, reason);
        } else if (stateBefore == State.AWAITING_RESPONSE && input.why() != null) {
            // It speaks, but nonsense: that is an error of its, which may have run, and no broken
            // connection.
            pools.requestFailed(
                    lostRequest, End.ERROR, pools.now().minus(requestOrIdleSince), reason);
        } else if (stateBefore == State.AWAITING_RESPONSE
                && (input.served() || input.error() != null)) {
            // The answer itself was whole; only the word that the member is ready is missing.
            pools.requestAnswered(
                    lostRequest, parseResponse(lostRequest), pools.now().minus(requestOrIdleSince));
        } else if (lostRequest != null) {
            boolean rejectedAsFull =
                    stateBefore == State.STARTING_UP
                            && MemberResponse.SQLSTATE_TOO_MANY_CONNECTIONS.equals(input.error());
            pools.requestFailed(
                    lostRequest,
                    rejectedAsFull
                            ? End.FULL
                            : memberMoved(stateBefore) ? End.MOOT : progress.endIfLost(),
                    pools.now().minus(requestOrIdleSince),
                    reason);
        }
    }

    private void abandonRequest(String reason, End end) {
        if (state != State.CLOSED) {
            MemberRequest abandoned = request;
            State stateBefore = state;
            closeConnection();
            if (abandoned != null) {
                pools.requestFailed(
                        abandoned,
                        memberMoved(stateBefore) ? End.MOOT : end,
                        pools.now().minus(requestOrIdleSince),
                        reason);
            }
        }
    }

    /** It never came up, where its member is no longer: no fault of the member's. */
    private boolean memberMoved(State stateBefore) {
        return (stateBefore == State.CONNECTING || stateBefore == State.STARTING_UP)
                && !pool.isCurrentAddress(address);
    }

    /**
     * Guards against sending what is given up, should the connection come up before the end is
     * told.
     */
    void markCancelled() {
        cancelled = true;
    }

    /** Stops waiting for its request. */
    void cancel() {
        abandonRequest("called off", progress().endIfCancelled());
    }

    /** Closes one that stands idle. */
    void close() {
        if (state == State.IDLE || state == State.REUSE_DELAYED) {
            connection.send(MemberOutput.terminate());
        }
        closeConnection();
    }

    private void closeConnection() {
        state = State.CLOSED;
        request = null;
        for (EventLoop.Timer timer :
                new EventLoop.Timer[] {connectTimer, requestTimer, idleTimer}) {
            if (timer != null) {
                timer.cancel();
            }
        }
        connection.close();
        pool.remove(this);
    }
}
