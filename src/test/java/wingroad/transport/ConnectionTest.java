package wingroad.transport;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

class ConnectionTest {
    private final Set<String> threads = ConcurrentHashMap.newKeySet();
    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

    /** An owner that sends these bytes and takes what comes in pieces of five. */
    private Connection.Handler owner(Connection[] link, byte[] first) {
        return new Connection.Handler() {
            @Override
            public void onConnected() {
                link[0].send(ByteBuffer.wrap(first));
            }

            @Override
            public void onBytes(ByteBuffer in) {
                threads.add(Thread.currentThread().getName());
                while (in.remaining() >= 5 && in.get(in.position()) != 'x') {
                    byte[] five = new byte[5];
                    in.get(five);
                    heard.add(new String(five));
                }
            }

            @Override
            public void onAllWritten() {
                threads.add(Thread.currentThread().getName());
                heard.add("written");
            }

            @Override
            public void onInputMemoryExhausted() {
                heard.add("full");
            }

            @Override
            public void onClosed(int unwritten, boolean orderly, String how) {
                heard.add(unwritten > 0 ? "ended, unwritten" : "ended, all written");
            }
        };
    }

    private String next() throws InterruptedException {
        return heard.poll(20, TimeUnit.SECONDS);
    }

    private EventLoop open(ServerSocket to, byte[] first) throws Exception {
        return open(to, first, 64, 1 << 20);
    }

    private EventLoop open(ServerSocket to, byte[] first, int bound, long mostHeld)
            throws Exception {
        EventLoop loop = new EventLoop(10, mostHeld, bug -> heard.add("bug " + bug));
        Connection[] link = new Connection[1];
        loop.execute(
                () -> {
                    try {
                        link[0] =
                                Connection.open(
                                        loop,
                                        (InetSocketAddress) to.getLocalSocketAddress(),
                                        owner(link, first),
                                        bound);
                    } catch (java.io.IOException e) {
                        heard.add("bug " + e);
                    }
                });
        return loop;
    }

    @Test
    void aBreakBeforeTheLastByteIsToldFromOneAfterIt() throws Exception {
        try (ServerSocket door = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            // More than the system takes in for a reader that never reads.
            open(door, new byte[64 << 20]);
            Socket s = door.accept();
            s.getInputStream().read();
            s.close();
            assertThat(next()).isEqualTo("ended, unwritten");
            open(door, new byte[10]);
            s = door.accept();
            assertThat(next()).isEqualTo("written");
            s.close();
            assertThat(next()).isEqualTo("ended, all written");
        }
    }

    @Test
    void aBufferGrowsOnlyWhileThereIsMemoryForAll() throws Exception {
        try (ServerSocket door = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            open(door, new byte[1], 1 << 20, 5000);
            try (Socket s = door.accept()) {
                assertThat(next()).isEqualTo("written");
                s.getOutputStream().write("x".repeat(20_000).getBytes());
                assertThat(next()).isEqualTo("full");
            }
        }
    }

    @Test
    void moreThanTheBufferHoldsComesThroughInOrder() throws Exception {
        try (ServerSocket door = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            EventLoop loop = open(door, new byte[1]);
            Socket s = door.accept();
            assertThat(next()).isEqualTo("written");
            StringBuilder all = new StringBuilder();
            for (int i = 10000; i < 12000; i++) {
                all.append(i);
            }
            s.getOutputStream().write(all.toString().getBytes());
            for (int i = 10000; i < 12000; i++) {
                assertThat(next()).isEqualTo(Integer.toString(i));
            }
            s.close();
            assertThat(next()).isEqualTo("ended, all written");
            assertThat(loop.availableChannels()).isEqualTo(10);
            assertThat(loop.bufferedBytes()).isZero();
            assertThat(threads).containsExactly("wingroad");
        }
    }
}
