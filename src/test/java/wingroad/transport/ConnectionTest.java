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
    private final Set<String> callbackThreads = ConcurrentHashMap.newKeySet();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    /** A handler that sends the given bytes and consumes input five bytes at a time. */
    private Connection.Handler handler(Connection[] connection, byte[] first) {
        return new Connection.Handler() {
            @Override
            public void onConnected() {
                connection[0].send(ByteBuffer.wrap(first));
            }

            @Override
            public void onBytes(ByteBuffer in) {
                callbackThreads.add(Thread.currentThread().getName());
                while (in.remaining() >= 5 && in.get(in.position()) != 'x') {
                    byte[] five = new byte[5];
                    in.get(five);
                    events.add(new String(five));
                }
            }

            @Override
            public void onAllWritten() {
                callbackThreads.add(Thread.currentThread().getName());
                events.add("written");
            }

            @Override
            public void onInputMemoryExhausted() {
                events.add("full");
            }

            @Override
            public void onClosed(int unwritten, boolean orderly, String how) {
                events.add(unwritten > 0 ? "ended, unwritten" : "ended, all written");
            }
        };
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(20, TimeUnit.SECONDS);
    }

    private EventLoop open(ServerSocket server, byte[] first) throws Exception {
        return open(server, first, 64, 1 << 20);
    }

    private EventLoop open(
            ServerSocket server, byte[] first, int maxBufferBytes, long maxBufferedBytes)
            throws Exception {
        EventLoop loop = new EventLoop(10, maxBufferedBytes, error -> events.add("bug " + error));
        Connection[] connection = new Connection[1];
        loop.execute(
                () -> {
                    try {
                        connection[0] =
                                Connection.open(
                                        loop,
                                        (InetSocketAddress) server.getLocalSocketAddress(),
                                        handler(connection, first),
                                        maxBufferBytes);
                    } catch (java.io.IOException e) {
                        events.add("bug " + e);
                    }
                });
        return loop;
    }

    @Test
    void reportsWhetherAllBytesWereWrittenBeforeTheClose() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            // More than the socket buffers hold while the peer does not read.
            open(server, new byte[64 << 20]);
            Socket peer = server.accept();
            peer.getInputStream().read();
            peer.close();
            assertThat(nextEvent()).isEqualTo("ended, unwritten");
            open(server, new byte[10]);
            peer = server.accept();
            assertThat(nextEvent()).isEqualTo("written");
            peer.close();
            assertThat(nextEvent()).isEqualTo("ended, all written");
        }
    }

    @Test
    void bufferGrowthIsLimitedByTheLoopsMemory() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            open(server, new byte[1], 1 << 20, 5000);
            try (Socket peer = server.accept()) {
                assertThat(nextEvent()).isEqualTo("written");
                peer.getOutputStream().write("x".repeat(20_000).getBytes());
                assertThat(nextEvent()).isEqualTo("full");
            }
        }
    }

    @Test
    void deliversMoreThanTheBufferHoldsInOrder() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            EventLoop loop = open(server, new byte[1]);
            Socket peer = server.accept();
            assertThat(nextEvent()).isEqualTo("written");
            StringBuilder sent = new StringBuilder();
            for (int i = 10000; i < 12000; i++) {
                sent.append(i);
            }
            peer.getOutputStream().write(sent.toString().getBytes());
            for (int i = 10000; i < 12000; i++) {
                assertThat(nextEvent()).isEqualTo(Integer.toString(i));
            }
            peer.close();
            assertThat(nextEvent()).isEqualTo("ended, all written");
            assertThat(loop.availableChannels()).isEqualTo(10);
            assertThat(loop.bufferedBytes()).isZero();
            assertThat(callbackThreads).containsExactly("wingroad");
        }
    }
}
