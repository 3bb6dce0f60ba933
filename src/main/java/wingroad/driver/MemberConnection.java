package wingroad.driver;

import wingroad.driver.Exchange.MemberRequest;
import wingroad.protocol.MemberInput;
import wingroad.protocol.MemberOutput;
import wingroad.state.Submission.Outcome;
import wingroad.transport.Connection;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;

/** One connection to a member. It carries one request at a time; whatever is in doubt closes it. */
final class MemberConnection implements Connection.Owner {
    private enum Stage {
        CONNECTING,
        STARTING,
        RESTING,
        IDLE,
        SENT,
        CLOSED
    }

    private final Members side;
    private final Members.MemberPool pool;
    private final InetSocketAddress to;
    private final EventLoop loop;
    private final MemberInput input = new MemberInput();
    private Connection connection;
    private Stage stage = Stage.CONNECTING;
    private MemberRequest request;

    /** Since when it carries its request, or stands idle. */
    private Duration since;

    /** Whether the request's last byte is known to be written. */
    private boolean written;

    /** Its request is not wanted any more; that is told in a moment. */
    private boolean calledOff;

    private EventLoop.Timer startTimer;
    private EventLoop.Timer requestTimer;
    private EventLoop.Timer idleTimer;

    private MemberConnection(
            Members side, Members.MemberPool pool, InetSocketAddress to, EventLoop loop) {
        this.side = side;
        this.pool = pool;
        this.to = to;
        this.loop = loop;
    }

    /** Opens one for a request, which waits until the member has let it in. */
    static MemberConnection open(
            Members side,
            Members.MemberPool pool,
            InetSocketAddress to,
            EventLoop loop,
            Duration wait,
            MemberRequest first)
            throws IOException {
        MemberConnection m = new MemberConnection(side, pool, to, loop);
        m.connection = Connection.open(loop, to, m, MemberInput.MOST + 1024);
        m.startTimer = loop.after(wait, () -> m.giveUp("not up in time", Outcome.UNREACHABLE));
        m.takeOn(first);
        return m;
    }

    MemberRequest request() {
        return request;
    }

    Duration idleSince() {
        return since;
    }

    private void takeOn(MemberRequest e) {
        request = e;
        calledOff = false;
        since = side.now();
        requestTimer =
                loop.after(
                        e.until().minus(since),
                        () -> giveUp("no answer in time", progress().timedOut()));
    }

    /** Carries a request over a connection that stands idle, or once it has rested. */
    void dispatch(MemberRequest e) {
        idleTimer.cancel();
        takeOn(e);
        if (stage == Stage.IDLE) {
            sendOut();
        }
    }

    boolean rested() {
        return stage == Stage.IDLE;
    }

    /**
     * Nothing came behind its last answer: what comes from now on belongs to what is sent from now
     * on.
     */
    void hasRested() {
        if (stage == Stage.RESTING) {
            stage = Stage.IDLE;
            if (request != null) {
                sendIfStillToGo();
            }
        }
    }

    private void sendOut() {
        stage = Stage.SENT;
        written = false;
        long left = Math.max(1, request.until().minus(side.now()).toMillis());
        connection.send(
                request.probe()
                        ? MemberOutput.gauges()
                        : MemberOutput.query(request.statement().withLeft(left)));
    }

    @Override
    public void up() {
        stage = Stage.STARTING;
        connection.send(MemberOutput.startup());
    }

    @Override
    public void written() {
        written = stage == Stage.SENT;
    }

    @Override
    public void bytes(ByteBuffer in) {
        while (stage != Stage.CLOSED) {
            if (stage == Stage.IDLE || stage == Stage.RESTING) {
                if (in.hasRemaining()) {
                    drop(
                            "speaks unasked "
                                    + (stage == Stage.IDLE ? "at rest" : "behind an answer"));
                }
                return;
            }
            switch (input.take(in)) {
                case WAITING -> {
                    return;
                }
                case WHOLE -> answered();
                default -> {
                    drop(input.why());
                    return;
                }
            }
        }
    }

    private void answered() {
        boolean over = input.fatal();
        if (stage == Stage.STARTING && input.error() == null) {
            startTimer.cancel();
            input.clear();
            sendIfStillToGo();
            return;
        }
        if (stage == Stage.STARTING) {
            drop("lets nobody in");
            return;
        }
        MemberRequest e = request;
        Duration took = side.now().minus(since);
        requestTimer.cancel();
        request = null;
        Answer answer = answer(e);
        input.clear();
        // Whoever answers has read its query, even where the word that it was written is still on
        // its way here:
        // on one core the answer may well come first.
        if (over) {
            shut();
        } else {
            idle();
        }
        side.answered(e, answer, took);
    }

    /** A connection may have taken its time to open, or to rest. */
    private void sendIfStillToGo() {
        if (!calledOff && pool.isAt(to) && side.mayStillGo(request)) {
            sendOut();
        } else {
            MemberRequest late = request;
            requestTimer.cancel();
            request = null;
            idle();
            side.failed(late, Outcome.MOOT, Duration.ZERO, "no longer to be sent");
        }
    }

    /** What was answered; whatever it says, the request has its end. */
    private Answer answer(MemberRequest e) {
        try {
            return new Answer(input, side.clock(), e.probe());
        } catch (RuntimeException bug) {
            side.fault(bug);
            return Answer.SPOILT;
        }
    }

    /** It may be used again, unless its member has moved or gone while it was at work. */
    private void idle() {
        stage = Stage.RESTING;
        if (!pool.isAt(to)) {
            close();
            return;
        }
        since = side.now();
        idleTimer = loop.after(side.idleTime(), this::close);
        pool.idle(this);
        side.rests(this);
    }

    private AttemptProgress progress() {
        if (stage != Stage.SENT) {
            return AttemptProgress.NOT_CONNECTED;
        }
        return input.begun()
                ? AttemptProgress.ANSWERING
                : written ? AttemptProgress.WRITTEN : AttemptProgress.PARTLY_WRITTEN;
    }

    @Override
    public void full() {
        drop("no memory for its answer");
    }

    @Override
    public void ended(int unwritten, boolean orderly, String how) {
        AttemptProgress progress = progress();
        if (progress == AttemptProgress.PARTLY_WRITTEN && unwritten == 0) {
            progress = AttemptProgress.WRITTEN;
        }
        lose(progress, how);
    }

    /** The stream makes no sense any more: what was asked on it ends as what is proven. */
    private void drop(String how) {
        // Whoever answers has read: a write that seems to be out may be through.
        lose(
                progress() == AttemptProgress.NOT_CONNECTED
                        ? AttemptProgress.NOT_CONNECTED
                        : AttemptProgress.ANSWERING,
                how);
    }

    private void lose(AttemptProgress progress, String how) {
        Stage was = stage;
        MemberRequest e = request;
        shut();
        if (was == Stage.CLOSED) {
            return;
        }
        if (was == Stage.RESTING && e != null) {
            // Nothing of it was sent, and the member is there: no fault of the txn's path.
            side.failed(e, Outcome.MOOT, Duration.ZERO, how);
        } else if (was == Stage.SENT && input.why() != null) {
            // It speaks, but nonsense: that is an error of its, which may have run, and no broken
            // connection.
            side.failed(e, Outcome.ERROR, side.now().minus(since), how);
        } else if (was == Stage.SENT && (input.served() || input.error() != null)) {
            // The answer itself was whole; only the word that the member is ready is missing.
            side.answered(e, answer(e), side.now().minus(since));
        } else if (e != null) {
            boolean turnedAway = was == Stage.STARTING && Answer.TURNED_AWAY.equals(input.error());
            side.failed(
                    e,
                    turnedAway ? Outcome.FULL : movedAway(was) ? Outcome.MOOT : progress.lost(),
                    side.now().minus(since),
                    how);
        }
    }

    private void giveUp(String how, Outcome end) {
        if (stage != Stage.CLOSED) {
            MemberRequest e = request;
            Stage was = stage;
            shut();
            if (e != null) {
                side.failed(e, movedAway(was) ? Outcome.MOOT : end, side.now().minus(since), how);
            }
        }
    }

    /** It never came up, where its member is no longer: no fault of the member's. */
    private boolean movedAway(Stage was) {
        return (was == Stage.CONNECTING || was == Stage.STARTING) && !pool.isAt(to);
    }

    /**
     * Guards against sending what is given up, should the connection come up before the end is
     * told.
     */
    void toBeCalledOff() {
        calledOff = true;
    }

    /** Stops waiting for its request. */
    void callOff() {
        giveUp("called off", progress().calledOff());
    }

    /** Closes one that stands idle. */
    void close() {
        if (stage == Stage.IDLE || stage == Stage.RESTING) {
            connection.send(MemberOutput.terminate());
        }
        shut();
    }

    private void shut() {
        stage = Stage.CLOSED;
        request = null;
        for (EventLoop.Timer t : new EventLoop.Timer[] {startTimer, requestTimer, idleTimer}) {
            if (t != null) {
                t.cancel();
            }
        }
        connection.close();
        pool.closed(this);
    }
}
