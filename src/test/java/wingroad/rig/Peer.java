package wingroad.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * The far end of one connection, driven by the test's own thread: it reads, writes, trickles, ends
 * its side and resets when the test says so, and at no other time. What is waited for is bounded.
 */
public final class Peer implements AutoCloseable {
    private static final int SOCKET_TIMEOUT_MS = 20_000;

    private final Socket socket;

    private Peer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
    }

    /** A port on which connections are taken one by one, when the test asks for the next. */
    public static final class Listener implements AutoCloseable {
        private final ServerSocket serverSocket =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        public Listener() throws IOException {
            serverSocket.setSoTimeout(SOCKET_TIMEOUT_MS);
        }

        public int port() {
            return serverSocket.getLocalPort();
        }

        public Peer accept() throws IOException {
            return new Peer(serverSocket.accept());
        }

        /** Whether nobody comes for so long: only for what must not happen. */
        public boolean noConnectionWithin(int timeoutMs) throws IOException {
            serverSocket.setSoTimeout(timeoutMs);
            try {
                serverSocket.accept().close();
                return false;
            } catch (SocketTimeoutException nobody) {
                return true;
            } finally {
                serverSocket.setSoTimeout(SOCKET_TIMEOUT_MS);
            }
        }

        @Override
        public void close() throws IOException {
            serverSocket.close();
        }
    }

    /** Opens a connection from here, as a client does. */
    public static Peer connect(int port) throws IOException {
        return new Peer(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /** What comes up to and with these bytes. */
    public String readUntil(String terminator) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        while (!received.toString(StandardCharsets.ISO_8859_1).endsWith(terminator)) {
            int nextByte = socket.getInputStream().read();
            assertThat(nextByte)
                    .as("after " + received.toString(StandardCharsets.ISO_8859_1))
                    .isNotNegative();
            received.write(nextByte);
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    public byte[] read(int count) throws IOException {
        byte[] bytes = socket.getInputStream().readNBytes(count);
        assertThat(bytes).hasSize(count);
        return bytes;
    }

    public Peer send(byte[]... parts) throws IOException {
        for (byte[] part : parts) {
            socket.getOutputStream().write(part);
        }
        return this;
    }

    public Peer send(String text) throws IOException {
        return send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** One byte at a time, each in a packet of its own. */
    public Peer sendByteByByte(byte[] bytes) throws IOException {
        for (byte b : bytes) {
            socket.getOutputStream().write(b);
        }
        return this;
    }

    /** Ends its own side only: what comes is still read. */
    public Peer shutdownOutput() throws IOException {
        socket.shutdownOutput();
        return this;
    }

    /** The connection breaks: a reset goes out, and what was not read there may be lost. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** All that comes until the other side ends; it must not break. */
    public byte[] readToEnd() throws IOException {
        return socket.getInputStream().readAllBytes();
    }

    /** What comes until the other side has ended or broken the connection. */
    public String readUntilClosed() throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            for (int nextByte = socket.getInputStream().read();
                    nextByte >= 0;
                    nextByte = socket.getInputStream().read()) {
                received.write(nextByte);
            }
        } catch (SocketException reset) {
            // that is an end as well
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
