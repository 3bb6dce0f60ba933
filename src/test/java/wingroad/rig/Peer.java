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
 * The remote end of one connection, driven by the test's own thread: it reads, writes, half-closes
 * and resets only when the test says so. All waits are bounded.
 */
public final class Peer implements AutoCloseable {
    private static final int SOCKET_TIMEOUT_MS = 20_000;

    private final Socket socket;

    private Peer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
    }

    /**
     * Listening port whose connections are accepted one by one, when the test asks for the next.
     */
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

        /**
         * Returns whether no connection arrives within the time; for tests of what must not happen.
         */
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

    /** Connects to a local port, as a client does. */
    public static Peer connect(int port) throws IOException {
        return new Peer(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /** Reads up to and including the terminator. */
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

    /** Sends one byte at a time, each in a packet of its own. */
    public Peer sendByteByByte(byte[] bytes) throws IOException {
        for (byte b : bytes) {
            socket.getOutputStream().write(b);
        }
        return this;
    }

    /** Half-closes the connection: input is still read. */
    public Peer shutdownOutput() throws IOException {
        socket.shutdownOutput();
        return this;
    }

    /** Resets the connection; data that the other side has not read yet may be lost. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Reads until the other side closes; a reset fails the test. */
    public byte[] readToEnd() throws IOException {
        return socket.getInputStream().readAllBytes();
    }

    /** Reads until the other side closes or resets the connection. */
    public String readUntilClosed() throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            for (int nextByte = socket.getInputStream().read();
                    nextByte >= 0;
                    nextByte = socket.getInputStream().read()) {
                received.write(nextByte);
            }
        } catch (SocketException reset) {
            // A reset also ends the connection.
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
