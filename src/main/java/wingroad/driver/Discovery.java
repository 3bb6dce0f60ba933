package wingroad.driver;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import wingroad.protocol.HttpReply;
import wingroad.protocol.MemberList;
import wingroad.transport.Connection;
import wingroad.transport.EventLoop;

/**
 * Asks discovery for the member list: a watch that goes on, and the whole list once. Where lists
 * are pushed, an agent of the driver's own machine answers, at no cost, and what it has counts as
 * told whether or not a watch is open: a watch that is lost is opened again by itself, and one that
 * has fallen silent is missed soon. Where the list must be asked for, each call is paid for by all
 * drivers, and the module says when there is to be another.
 */
final class Discovery implements Exchange.Lists {
    /**
     * How long a watch may wait for news. What a silent one misses counts as told 6 s after it fell
     * silent, or 2 s after its wait where that is later: with the short wait it is missed after 3 s
     * at most, and the new one has its answer in time.
     */
    private static final Duration WAIT_OF_AGENT = Duration.ofSeconds(2);

    private static final Duration WAIT_WHERE_SHARED = Duration.ofSeconds(20);

    /**
     * How long a connection may take to be up, and how much longer than its wait an answer may
     * take.
     */
    private static final Duration GRACE = Duration.ofSeconds(1);

    /** Half of the time within which a watch must be asked on. */
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final EventLoop loop;
    private InetSocketAddress at;
    private final Counters counters;
    private final boolean asked;
    private final Duration wait;
    private final Consumer<MemberList> news;
    private final Runnable failed;
    private long version;
    private Call watch;
    private Call fetch;

    /** A watch is to be opened, but not at once; else null. */
    private EventLoop.Timer again;

    /** Who waits for the call for the whole list, or null. */
    private Runnable whenFetched;

    /**
     * {@code asked}: the list must be asked for. {@code news} gets each list that comes; {@code
     * failed} hears of each call that gave none and is not made again from here.
     */
    Discovery(
            EventLoop loop,
            InetSocketAddress at,
            long version,
            Counters counters,
            boolean asked,
            Consumer<MemberList> news,
            Runnable failed) {
        this.loop = loop;
        this.at = at;
        this.version = version;
        this.counters = counters;
        this.asked = asked;
        this.wait = asked ? WAIT_WHERE_SHARED : WAIT_OF_AGENT;
        this.news = news;
        this.failed = failed;
    }

    /** Follows the changes from now on; a watch that stands goes on. */
    @Override
    public void follow() {
        waitNoMore();
        if (watch == null) {
            watch = new Call(true);
            watch.begin();
        }
    }

    private void followAfter(Duration pause) {
        waitNoMore();
        again = loop.after(pause, this::follow);
    }

    private void waitNoMore() {
        if (again != null) {
            again.cancel();
            again = null;
        }
    }

    /** A watch that stands is given up; what is held stays held. */
    void followNoMore() {
        waitNoMore();
        if (watch != null) {
            watch.end();
        }
    }

    /** The newest version that is held. */
    long holds() {
        return version;
    }

    /** This version has been learnt elsewhere: a watch goes on from there. */
    void holds(long newer) {
        version = Math.max(version, newer);
    }

    @Override
    public void fetch() {
        if (fetch == null) {
            fetch = new Call(false);
            fetch.begin();
        }
    }

    /** The same; {@code then} runs once the list has been told, or there is none to be had now. */
    void fetch(Runnable then) {
        whenFetched = then;
        fetch();
    }

    private void fetched() {
        Runnable then = whenFetched;
        whenFetched = null;
        if (then != null) {
            then.run();
        }
    }

    /**
     * Asks at another address from now on. A watch goes on there with the version that is held, so
     * that nothing that changes is missed; a call that is out at the old address is dropped, not
     * counted as failed, and made again.
     */
    void turnTo(InetSocketAddress next) {
        if (next.equals(at)) {
            return;
        }
        at = next;
        boolean watches = watch != null || again != null;
        boolean fetches = fetch != null;
        if (watches) {
            followNoMore();
            follow();
        }
        if (fetches) {
            fetch.end();
            fetch();
        }
    }

    private final class Call implements Connection.Owner {
        private final boolean watches;
        private Connection connection;
        private HttpReply reply = new HttpReply();
        private EventLoop.Timer timer;
        private long askedAt;
        private boolean over;

        /** It has given a list on this connection. */
        private boolean proven;

        Call(boolean watches) {
            this.watches = watches;
        }

        void begin() {
            askedAt = loop.now();
            try {
                connection = Connection.open(loop, at, this, 64 * 1024);
            } catch (IOException | RuntimeException e) {
                loop.run(() -> lost("cannot open: " + e.getMessage()));
                return;
            }
            await(GRACE);
        }

        private void await(Duration most) {
            timer = loop.after(most, this::silent);
        }

        @Override
        public void up() {
            ask();
        }

        private void ask() {
            askedAt = loop.now();
            timer.cancel();
            await(watches ? wait.plus(GRACE) : GRACE);
            String path =
                    "/discovery/hosts"
                            + (watches
                                    ? "?since=" + version + "&timeout_ms=" + wait.toMillis()
                                    : "");
            connection.send(HttpReply.request(at.getHostString() + ":" + at.getPort(), path));
        }

        @Override
        public void bytes(ByteBuffer in) {
            HttpReply.State s = reply.take(in);
            if (s == HttpReply.State.WHOLE) {
                // Guards against an answer that comes twice: the second would stand for the answer
                // to the next call.
                answered(reply.closes() || in.hasRemaining());
            } else if (s == HttpReply.State.BROKEN) {
                lost(reply.why());
            }
        }

        /** {@code last}: this connection is of no further use. */
        private void answered(boolean last) {
            timer.cancel();
            MemberList.Parsed p =
                    reply.status() == 200
                            ? MemberList.parse(reply.body())
                            : new MemberList.Parsed(null, "status " + reply.status());
            MemberList list = p.list();
            if (list == null) {
                lost(p.why());
                return;
            }
            if (list.version() < version && !watches && watch != null) {
                // The watch has overtaken it: what is held is newer.
                end();
                fetched();
                return;
            }
            if (list.version() < version && !list.whole()) {
                // Whoever counts anew from a lower number knows nothing of what is held: only a
                // whole list can follow.
                version = 0;
                lost("changes older than what is held");
                return;
            }
            boolean news = list.version() > version;
            version = list.version();
            proven = true;
            if (!watches) {
                end();
            } else if (last) {
                end();
                next(news);
            } else {
                // The next call is out before the news is told: nothing that changes falls between
                // two calls.
                reply = new HttpReply();
                if (news || !atOnce()) {
                    ask();
                } else {
                    timer = loop.after(PAUSE, this::ask);
                }
            }
            Discovery.this.news.accept(list);
            if (!watches) {
                fetched();
            }
        }

        /**
         * Its answer or end came as soon as it was asked: it does not wait, and would be asked
         * without a pause.
         */
        private boolean atOnce() {
            return loop.now() - askedAt < PAUSE.toNanos();
        }

        private void next(boolean atOnce) {
            if (atOnce || !atOnce()) {
                follow();
            } else {
                followAfter(PAUSE);
            }
        }

        /**
         * No answer at all: whoever is there is asked anew at once, since a call that stands costs
         * nothing.
         */
        private void silent() {
            counters.count("discovery silent");
            end();
            if (watches) {
                follow();
            } else {
                failed.run();
                fetched();
            }
        }

        private void lost(String how) {
            if (!over) {
                counters.count("discovery " + how);
                end();
                if (watches && (proven || !asked)) {
                    // The connection is worn out, not discovery: what it holds counts as told, so
                    // ask at once.
                    next(false);
                } else {
                    failed.run();
                    if (!watches) {
                        fetched();
                    }
                }
            }
        }

        @Override
        public void full() {
            lost("no memory for its answer");
        }

        @Override
        public void ended(int unwritten, boolean orderly, String how) {
            // A reset is no end: what came before it may be half of a list that looks whole.
            if (orderly && reply.end() == HttpReply.State.WHOLE) {
                answered(true);
            } else {
                lost(how);
            }
        }

        private void end() {
            over = true;
            if (timer != null) {
                timer.cancel();
            }
            if (connection != null) {
                connection.close();
            }
            if (watch == this) {
                watch = null;
            } else if (fetch == this) {
                fetch = null;
            }
        }
    }
}
