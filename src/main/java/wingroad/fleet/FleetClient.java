package wingroad.fleet;

import wingroad.duty.Command;
import wingroad.protocol.Json;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/**
 * A caller of the command line's: asks voters, one after the other, on a blocking socket of its
 * own.
 */
public final class FleetClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int READ_TIMEOUT_MS = 2000;
    private static final int MAX_MESSAGE_BYTES = 4 << 20;

    private final Socket socket = new Socket();
    private final DataInputStream in;

    /** Connects to a voter and says hello; fails where it does not answer or refuses. */
    public FleetClient(FleetConfig config, String voter) throws IOException {
        InetSocketAddress address =
                TcpMessageTransport.parseAddress(config.voterAddresses().get(voter));
        try {
            socket.connect(address, CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            in = new DataInputStream(socket.getInputStream());
            send(
                    MessageCodec.message(
                            "hello", "fleet", config.name(), "name", "guest", "role", "guest"));
            await("here");
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    private void send(Map<String, Object> message) throws IOException {
        byte[] body = Cbor.encode(message);
        byte[] frame =
                java.nio.ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
        socket.getOutputStream().write(frame);
    }

    private Map<String, Object> await(String kind) throws IOException {
        while (true) {
            int length = in.readInt();
            if (length < 0 || length > MAX_MESSAGE_BYTES) {
                throw new IOException("a message of " + length + " bytes");
            }
            try {
                Map<String, Object> message = Cbor.decode(in.readNBytes(length));
                String receivedKind = MessageCodec.stringOrEmpty(message, "k");
                if (receivedKind.equals(kind)) {
                    return message;
                } else if (receivedKind.equals("refused")) {
                    throw new IOException("refused: " + MessageCodec.stringOrEmpty(message, "why"));
                }
            } catch (Json.Malformed e) {
                throw new IOException("a broken message: " + e.getMessage());
            }
        }
    }

    /** All that the voter knows. */
    public Map<String, Object> status() throws IOException {
        send(MessageCodec.message("status"));
        return Json.object(Json.need(await("status"), "status"), "the status");
    }

    /**
     * Asks for a duty's hand-over; the answer once it is settled: empty, or why it is not done.
     * Safe to repeat.
     */
    public String handOver(String duty, String newOwner, String requestId) throws IOException {
        send(
                MessageCodec.message(
                        "ask",
                        "op",
                        MessageCodec.encode(Command.handOver(duty, newOwner, requestId))));
        return MessageCodec.stringOrEmpty(await("answer"), "result");
    }

    /**
     * Asks for a voter to be let in at an address, or with none taken out; the answer as for a
     * hand-over.
     */
    public String changeVoter(String name, String address, String requestId) throws IOException {
        send(
                MessageCodec.message(
                        "ask",
                        "op",
                        MessageCodec.encode(Command.changeVoter(name, address, requestId))));
        return MessageCodec.stringOrEmpty(await("answer"), "result");
    }

    /**
     * Asks for a machine; the answer once it is settled: empty, or why it can't be had. Safe to
     * repeat under the same name.
     */
    public String requestMaintenance(
            String machine,
            String reason,
            long durationMs,
            long before,
            java.util.List<String> after,
            String requestId)
            throws IOException {
        send(
                MessageCodec.message(
                        "ask",
                        "op",
                        MessageCodec.encode(
                                Command.requestMaintenance(
                                        machine, reason, durationMs, before, after, requestId))));
        return MessageCodec.stringOrEmpty(await("answer"), "result");
    }

    /** Says a word on a machine, or on all as "*"; the answer as for an ask. */
    public String sendOperatorCommand(String command, String machine, String requestId)
            throws IOException {
        send(
                MessageCodec.message(
                        "ask",
                        "op",
                        MessageCodec.encode(Command.operatorCommand(command, machine, requestId))));
        return MessageCodec.stringOrEmpty(await("answer"), "result");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
