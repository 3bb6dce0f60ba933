package wingroad.driver;

import static org.assertj.core.api.Assertions.assertThat;

import static wingroad.Fixtures.listEntry;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import wingroad.protocol.MemberList;
import wingroad.rig.Peer;
import wingroad.transport.EventLoop;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The list's watch, with answers, ends and silence put between any two of its lines. */
class DiscoveryClientTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

    private final BlockingQueue<Object> heard = new LinkedBlockingQueue<>();
    private final EventLoop loop = loop();
    private final Peer.Listener agent = listener();
    private final DiscoveryClient discovery = discovery(false);

    private static EventLoop loop() {
        try {
            return new EventLoop(
                    100,
                    1 << 24,
                    bug -> {
                        throw new AssertionError(bug);
                    });
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static Peer.Listener listener() {
        try {
            return new Peer.Listener();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private DiscoveryClient discovery(boolean asked) {
        return new DiscoveryClient(
                loop, at(agent), 5, new Counters(), asked, heard::add, () -> heard.add("failed"));
    }

    private static InetSocketAddress at(Peer.Listener l) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), l.port());
    }

    @AfterEach
    void close() throws IOException {
        agent.close();
    }

    private static String list(long rev, boolean whole, String state) {
        return "{\"rev\":"
                + rev
                + ",\"all\":"
                + whole
                + ",\"targets\":["
                + listEntry("s-1", 5433, state)
                + "]}";
    }

    private static String sized(String body) {
        return HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private MemberList news() throws InterruptedException {
        return (MemberList) heard.poll(20, TimeUnit.SECONDS);
    }

    /** The version that the next call on this connection names, -1 for the whole list. */
    private static long since(Peer call) throws IOException {
        String asked = call.readUntil("\r\n\r\n");
        return asked.contains("since=")
                ? Long.parseLong(asked.replaceAll("(?s).*since=([0-9]+).*", "$1"))
                : -1;
    }

    /** Guards rule 3: half a list taken for a whole one would leave out who drains. */
    @Test
    void anAnswerWithoutALengthThatIsResetIsNotTaken() throws Exception {
        loop.execute(discovery::watch);
        Peer first = agent.accept();
        assertThat(since(first)).isEqualTo(5);
        first.send(HEAD + "\r\n" + list(6, true, "ready"));
        first.reset();
        Peer second = agent.accept();
        assertThat(since(second)).isEqualTo(5);
        assertThat(heard).isEmpty();
        second.send(HEAD + "\r\n" + list(6, true, "draining")).close();
        assertThat(news().entries().get(0).isDraining()).isTrue();
        assertThat(since(agent.accept())).isEqualTo(6);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void brokenOffAtAnyByteItIsAskedAgainFromTheVersionHeld(boolean reset) throws Exception {
        String whole = sized(list(6, true, "ready"));
        loop.execute(discovery::watch);
        for (int at = 0; at < whole.length(); at += 7) {
            Peer call = agent.accept();
            assertThat(since(call)).isEqualTo(5);
            call.send(whole.substring(0, at));
            if (reset) {
                call.reset();
            } else {
                call.close();
            }
        }
        Peer last = agent.accept();
        assertThat(since(last)).isEqualTo(5);
        last.sendByteByByte(whole.getBytes(StandardCharsets.ISO_8859_1));
        assertThat(news().version()).isEqualTo(6);
        assertThat(heard).isEmpty();
        assertThat(since(last)).isEqualTo(6);
    }

    /** Guards rule 3: what the agent has counts as told whether or not a watch is open. */
    @Test
    void whereListsArePushedALostWatchIsOpenWithinTheShortestGrace() throws Exception {
        loop.execute(discovery::watch);
        for (int i = 0; i < 6; i++) {
            Peer call = agent.accept();
            since(call);
            long from = System.nanoTime();
            call.reset();
            since(agent.accept());
            assertThat(System.nanoTime() - from).isLessThan(TimeUnit.MILLISECONDS.toNanos(1000));
            agent.accept().close();
        }
        assertThat(heard).isEmpty();
    }

    /** Nobody is there: asked again and again, but not in a loop without a pause. */
    @Test
    void anAgentThatRefusesIsAskedAgainAtAPace() throws Exception {
        Counters tally = new Counters();
        int nobody;
        try (Peer.Listener gone = new Peer.Listener()) {
            nobody = gone.port();
        }
        DiscoveryClient d =
                new DiscoveryClient(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), nobody),
                        5,
                        tally,
                        false,
                        heard::add,
                        () -> heard.add("failed"));
        BlockingQueue<String> counted = new LinkedBlockingQueue<>();
        loop.execute(d::watch);
        loop.schedule(Duration.ofMillis(600), () -> counted.add(tally.takeSummary()));
        String refused = counted.poll(20, TimeUnit.SECONDS);
        assertThat(Integer.parseInt(refused.replaceAll(".* ", ""))).isBetween(1, 7);
        assertThat(heard).isEmpty();
    }

    @Test
    void whereTheListMustBeAskedForTheModuleSaysWhenToAskAgain() throws Exception {
        DiscoveryClient d = discovery(true);
        loop.execute(d::watch);
        Peer call = agent.accept();
        assertThat(call.readUntil("\r\n\r\n")).contains("timeout_ms=20000");
        call.reset();
        assertThat(heard.poll(20, TimeUnit.SECONDS)).isEqualTo("failed");
        assertThat(agent.noConnectionWithin(400)).isTrue();
    }

    /**
     * Guards against a list that goes quiet without a word: it is missed long before it counts as
     * told, 6 s later.
     */
    @Test
    void aWatchThatFallsSilentIsOpenedAnewInTime() throws Exception {
        loop.execute(discovery::watch);
        Peer first = agent.accept();
        since(first);
        first.send(sized(list(6, true, "ready")));
        assertThat(news().version()).isEqualTo(6);
        assertThat(since(first)).isEqualTo(6);
        // Half an answer, then nothing: a silence in the middle is one as well.
        first.send(HEAD + "Content-Length: 500\r\n\r\n{\"rev\":7");
        long from = System.nanoTime();
        Peer second = agent.accept();
        assertThat(System.nanoTime() - from).isLessThan(TimeUnit.SECONDS.toNanos(5));
        assertThat(since(second)).isEqualTo(6);
        second.send(sized(list(7, false, "draining")));
        assertThat(news().entries().get(0).isDraining()).isTrue();
        first.readUntilClosed();
    }

    /**
     * Guards against an answer that comes twice: the second would stand for the answer to the next
     * call.
     */
    @Test
    void whatComesBehindAnAnswerEndsItsConnection() throws Exception {
        loop.execute(discovery::watch);
        Peer first = agent.accept();
        since(first);
        first.send(sized(list(6, true, "ready")) + sized(list(6, true, "ready")));
        assertThat(news().version()).isEqualTo(6);
        Peer second = agent.accept();
        assertThat(since(second)).isEqualTo(6);
        first.readUntilClosed();
        second.send(sized(list(7, false, "draining")));
        assertThat(news().version()).isEqualTo(7);
        assertThat(heard).isEmpty();
    }

    @Test
    void anIndentedListIsRead() throws Exception {
        loop.execute(discovery::watch);
        Peer call = agent.accept();
        since(call);
        String indented =
                list(6, true, "draining")
                        .replace(",", ",\r\n\t ")
                        .replace("{", "{\n  ")
                        .replace("}", "\n}\n");
        call.send(
                HEAD
                        + "Transfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(indented.length())
                        + "\r\n"
                        + indented
                        + "\r\n0\r\n\r\n");
        assertThat(news().entries().get(0).isDraining()).isTrue();
    }

    /**
     * A discovery that began anew counts from a lower number: its whole list stands, its changes
     * alone mean nothing.
     */
    @Test
    void versionsMayGoBackWithAWholeListOnly() throws Exception {
        loop.execute(discovery::watch);
        Peer call = agent.accept();
        assertThat(since(call)).isEqualTo(5);
        call.send(sized(list(3, false, "ready")));
        Peer second = agent.accept();
        assertThat(since(second)).isZero();
        assertThat(heard).isEmpty();
        second.send(sized(list(3, true, "draining")));
        assertThat(news().version()).isEqualTo(3);
        assertThat(since(second)).isEqualTo(3);
    }

    /** A whole list that was fetched beside the watch may be overtaken by what the watch brings. */
    @Test
    void aFetchedListThatIsOlderThanTheWatchIsNotTaken() throws Exception {
        loop.execute(discovery::watch);
        Peer watch = agent.accept();
        since(watch);
        loop.execute(discovery::fetch);
        Peer fetch = agent.accept();
        assertThat(since(fetch)).isEqualTo(-1);
        watch.send(sized(list(7, false, "draining")));
        assertThat(news().version()).isEqualTo(7);
        assertThat(since(watch)).isEqualTo(7);
        fetch.send(sized(list(6, true, "ready")));
        fetch.readUntilClosed();
        watch.send(sized(list(8, false, "draining")));
        assertThat(news().version()).isEqualTo(8);
        assertThat(heard).isEmpty();
    }

    /**
     * Guards a start that waits for the list: it hears that there is one, or none, however the call
     * ends.
     */
    @Test
    void whoeverWaitsForTheWholeListHearsOfItHoweverTheCallEnds() throws Exception {
        loop.execute(discovery::watch);
        Peer watch = agent.accept();
        since(watch);
        watch.send(sized(list(9, true, "ready")));
        assertThat(news().version()).isEqualTo(9);
        since(watch);
        for (String answer :
                new String[] {
                    sized(list(9, true, "ready")),
                    sized(list(8, true, "ready")),
                    sized("{}"),
                    "nonsense\n",
                    "reset",
                    "silent"
                }) {
            loop.execute(() -> discovery.fetch(() -> heard.add("tried")));
            Peer call = agent.accept();
            assertThat(since(call)).isEqualTo(-1);
            if (answer.equals("reset")) {
                call.reset();
            } else if (!answer.equals("silent")) {
                call.send(answer);
            }
            if (answer.contains("\"rev\":9")) {
                assertThat(news().version()).isEqualTo(9);
            } else if (!answer.contains("\"rev\":8")) {
                assertThat(heard.poll(20, TimeUnit.SECONDS)).isEqualTo("failed");
            }
            assertThat(heard.poll(20, TimeUnit.SECONDS)).as(answer).isEqualTo("tried");
            call.close();
        }
        assertThat(heard).isEmpty();
    }

    /**
     * Moved while a call is out, in mid-answer: the old address has no say any more, and nothing
     * counts as failed.
     */
    @Test
    void movedInTheMiddleOfAnAnswerTheWatchGoesOnElsewhere() throws Exception {
        loop.execute(discovery::watch);
        Peer old = agent.accept();
        since(old);
        String answer = sized(list(6, true, "ready"));
        old.send(answer.substring(0, answer.length() - 10));
        try (Peer.Listener next = new Peer.Listener()) {
            loop.execute(() -> discovery.setAddress(at(next)));
            Peer moved = next.accept();
            assertThat(since(moved)).isEqualTo(5);
            old.readUntilClosed();
            moved.send(sized(list(6, true, "draining")));
            assertThat(news().entries().get(0).isDraining()).isTrue();
            // And moved again while the news is told.
            loop.execute(() -> discovery.setAddress(at(agent)));
            assertThat(since(agent.accept())).isEqualTo(6);
        }
        assertThat(heard).isEmpty();
    }

    /** Moved while it waits to ask again: it asks at the new address, and there once. */
    @Test
    void movedBetweenTwoCallsItAsksAtTheNewAddress() throws Exception {
        loop.execute(discovery::watch);
        Peer call = agent.accept();
        since(call);
        try (Peer.Listener next = new Peer.Listener()) {
            call.reset();
            since(agent.accept());
            loop.execute(() -> discovery.setAddress(at(next)));
            assertThat(since(next.accept())).isEqualTo(5);
            assertThat(next.noConnectionWithin(300)).isTrue();
        }
    }
}
