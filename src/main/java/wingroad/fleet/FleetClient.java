package wingroad.fleet;

import wingroad.duty.Command;
import wingroad.protocol.Json;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** Client for the command line: sends requests to one voter over a blocking socket. */
public final class FleetClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int READ_TIMEOUT_MS = 2000;

    /** Longest accepted answer, without its length. */
    private static final int MAX_MESSAGE_BYTES = 4 << 20;

    private static final int LENGTH_PREFIX_BYTES = 4;

    private final Socket socket = new Socket();
    private final DataInputStream input;

    /**
     * Connects to a voter and exchanges the hello; fails if the voter does not answer or refuses.
     */
    public FleetClient(FleetConfig config, String voter) throws IOException {
        InetSocketAddress address =
                TcpMessageTransport.parseAddress(config.voterAddresses().get(voter));
        try {
            socket.connect(address, CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            input = new DataInputStream(socket.getInputStream());
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
                java.nio.ByteBuffer.allocate(LENGTH_PREFIX_BYTES + body.length)
                        .putInt(body.length)
                        .put(body)
                        .array();
        socket.getOutputStream().write(frame);
    }

    private Map<String, Object> await(String kind) throws IOException {
        while (true) {
            int length = input.readInt();
            if (length < 0 || length > MAX_MESSAGE_BYTES) {
                throw new IOException("invalid message length: " + length + " bytes");
            }
            try {
                Map<String, Object> message = Cbor.decode(input.readNBytes(length));
                String receivedKind = MessageCodec.stringOrEmpty(message, "k");
                if (receivedKind.equals(kind)) {
                    return message;
                } else if (receivedKind.equals("refused")) {
                    throw new IOException("refused: " + MessageCodec.stringOrEmpty(message, "why"));
                }
            } catch (Json.MalformedJsonException e) {
                throw new IOException("malformed message: " + e.getMessage());
            }
        }
    }

    /** Returns the voter's status. */
    public Map<String, Object> status() throws IOException {
        send(MessageCodec.message("status"));
        return Json.object(Json.required(await("status"), "status"), "the status");
    }

    /**
     * Requests the hand-over of a duty to a driver.
     *
     * @param requestId identifies the request; safe to repeat under the same id
     * @return empty once committed, or why it was refused
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
     * Requests that a voter be added.
     *
     * @param address the voter's address, or empty to remove the voter
     * @return as for {@link #handOver}
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
     * Requests a machine for maintenance. Safe to repeat under the same request id.
     *
     * @param durationMs the requested duration
     * @param deadlineMs the latest time, in Unix milliseconds, or 0
     * @param afterMachines machines whose maintenance comes first
     * @return empty once committed, or why it was refused
     */
    public String requestMaintenance(
            String machine,
            String reason,
            long durationMs,
            long deadlineMs,
            java.util.List<String> afterMachines,
            String requestId)
            throws IOException {
        send(
                MessageCodec.message(
                        "ask",
                        "op",
                        MessageCodec.encode(
                                Command.requestMaintenance(
                                        machine,
                                        reason,
                                        durationMs,
                                        deadlineMs,
                                        afterMachines,
                                        requestId))));
        return MessageCodec.stringOrEmpty(await("answer"), "result");
    }

    /**
     * Sends an operator's command on a machine, or on all machines as "*".
     *
     * @return as for {@link #handOver}
     */
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
