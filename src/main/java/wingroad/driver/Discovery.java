package wingroad.driver;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import wingroad.protocol.HttpReply;
import wingroad.protocol.MemberList;
import wingroad.transport.Link;
import wingroad.transport.Loop;

/** Asks discovery for the member list: a watch that goes on, and the whole list once. */
final class Discovery implements Exchange.Lists {
    /** How long a watch may wait for news, and how much longer its answer may take. */
    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final Duration GRACE = Duration.ofSeconds(1);
    /** Half of the time within which a watch must be asked on. */
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final Loop loop;
    private InetSocketAddress at;
    private final Tally tally;
    private final Consumer<MemberList> news;
    private final Runnable failed;
    private long version;
    private Call watch;
    private Call fetch;

    /** {@code news} gets each list that comes; {@code failed} hears of each call that gave none. */
    Discovery(Loop loop, InetSocketAddress at, long version, Tally tally, Consumer<MemberList> news,
              Runnable failed) {
        this.loop = loop;
        this.at = at;
        this.version = version;
        this.tally = tally;
        this.news = news;
        this.failed = failed;
    }

    /** Follows the changes from now on; a watch that stands goes on. */
    @Override
    public void follow() {
        if (watch == null) {
            watch = new Call(true);
            watch.begin();
        }
    }

    /** A watch that stands is given up; what is held stays held. */
    void followNoMore() {
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

    /**
     * Asks at another address from now on. A watch goes on there with the version that is held, so that nothing that
     * changes is missed; a call that is out at the old address is dropped, not counted as failed, and made again.
     */
    void turnTo(InetSocketAddress next) {
        if (next.equals(at)) {
            return;
        }
        at = next;
        boolean watches = watch != null;
        boolean fetches = fetch != null;
        if (watches) {
            watch.end();
            follow();
        }
        if (fetches) {
            fetch.end();
            fetch();
        }
    }

    private final class Call implements Link.Owner {
        private final boolean watches;
        private Link link;
        private HttpReply reply = new HttpReply();
        private Loop.Timer timer;
        private long askedAt;
        private boolean over;
        /** It has given a list on this connection. */
        private boolean proven;

        Call(boolean watches) {
            this.watches = watches;
        }

        void begin() {
            try {
                link = Link.open(loop, at, this, 64 * 1024);
            } catch (IOException | RuntimeException e) {
                loop.run(() -> lost("cannot open: " + e.getMessage()));
                return;
            }
            await();
        }

        private void await() {
            Duration most = watches ? WAIT.plus(GRACE) : GRACE;
            timer = loop.after(most, this::silent);
        }

        @Override
        public void up() {
            ask();
        }

        private void ask() {
            askedAt = loop.now();
            timer.cancel();
            await();
            String path = "/discovery/hosts" + (watches ? "?since=" + version + "&timeout_ms=" + WAIT.toMillis() : "");
            link.send(HttpReply.request(at.getHostString() + ":" + at.getPort(), path));
        }

        @Override
        public void bytes(ByteBuffer in) {
            HttpReply.State s = reply.take(in);
            if (s == HttpReply.State.WHOLE) {
                answered();
            } else if (s == HttpReply.State.BROKEN) {
                lost(reply.why());
            }
        }

        private void answered() {
            timer.cancel();
            MemberList.Parsed p = reply.status() == 200 ? MemberList.parse(reply.body())
                : new MemberList.Parsed(null, "status " + reply.status());
            if (p.list() == null) {
                lost(p.why());
                return;
            }
            version = p.list().version();
            proven = true;
            boolean closes = reply.closes();
            if (watches && !closes) {
                // The next call is out before the news is told: nothing that changes falls between two calls.
                reply = new HttpReply();
                if (p.list().entries().isEmpty() && loop.now() - askedAt < PAUSE.toNanos()) {
                    // Guards against spinning where a watch does not wait; short enough for it to go on.
                    timer = loop.after(PAUSE, this::ask);
                } else {
                    ask();
                }
            } else {
                end();
                if (watches) {
                    follow();
                }
            }
            news.accept(p.list());
        }

        /** No answer at all: whoever is there is asked anew at once, since a call that stands costs nothing. */
        private void silent() {
            tally.count("discovery silent");
            end();
            if (watches) {
                follow();
            } else {
                failed.run();
            }
        }

        private void lost(String how) {
            if (!over) {
                tally.count("discovery " + how);
                end();
                if (proven && watches) {
                    // The connection is worn out, not discovery: what it holds counts as told, so ask at once.
                    follow();
                } else {
                    failed.run();
                }
            }
        }

        @Override
        public void full() {
            lost("no memory for its answer");
        }

        @Override
        public void ended(int unwritten, String how) {
            if (reply.end() == HttpReply.State.WHOLE) {
                answered();
            } else {
                lost(how);
            }
        }

        private void end() {
            over = true;
            if (timer != null) {
                timer.cancel();
            }
            if (link != null) {
                link.close();
            }
            if (watch == this) {
                watch = null;
            } else if (fetch == this) {
                fetch = null;
            }
        }
    }
}
