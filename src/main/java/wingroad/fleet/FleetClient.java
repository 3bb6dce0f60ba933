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
    private static final int CONNECT_MS = 1000;
    private static final int ANSWER_MS = 2000;
    private static final int LONGEST = 4 << 20;

    private final Socket socket = new Socket();
    private final DataInputStream in;

    /** Connects to a voter and says hello; fails where it does not answer or refuses. */
    public FleetClient(FleetConfig rules, String voter) throws IOException {
        InetSocketAddress at = LoopNet.address(rules.voterAddresses().get(voter));
        try {
            socket.connect(at, CONNECT_MS);
            socket.setSoTimeout(ANSWER_MS);
            in = new DataInputStream(socket.getInputStream());
            send(
                    MessageCodec.message(
                            "hello", "fleet", rules.name(), "name", "guest", "role", "guest"));
            await("here");
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    private void send(Map<String, Object> message) throws IOException {
        byte[] text = Cbor.write(message);
        byte[] frame =
                java.nio.ByteBuffer.allocate(4 + text.length).putInt(text.length).put(text).array();
        socket.getOutputStream().write(frame);
    }

    private Map<String, Object> await(String kind) throws IOException {
        while (true) {
            int length = in.readInt();
            if (length < 0 || length > LONGEST) {
                throw new IOException("a message of " + length + " bytes");
            }
            try {
                Map<String, Object> m = Cbor.map(in.readNBytes(length));
                String k = MessageCodec.text(m, "k");
                if (k.equals(kind)) {
                    return m;
                } else if (k.equals("refused")) {
                    throw new IOException("refused: " + MessageCodec.text(m, "why"));
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
    public String handOver(String duty, String to, String ask) throws IOException {
        send(MessageCodec.message("ask", "op", MessageCodec.of(Command.handOver(duty, to, ask))));
        return MessageCodec.text(await("answer"), "result");
    }

    /**
     * Asks for a voter to be let in at an address, or with none taken out; the answer as for a
     * hand-over.
     */
    public String changeVoter(String name, String address, String ask) throws IOException {
        send(
                MessageCodec.message(
                        "ask", "op", MessageCodec.of(Command.changeVoter(name, address, ask))));
        return MessageCodec.text(await("answer"), "result");
    }

    /**
     * Asks for a machine; the answer once it is settled: empty, or why it can't be had. Safe to
     * repeat under the same name.
     */
    public String requestMachine(
            String machine,
            String why,
            long forMs,
            long before,
            java.util.List<String> after,
            String ask)
            throws IOException {
        send(
                MessageCodec.message(
                        "ask",
                        "op",
                        MessageCodec.of(
                                Command.requestMaintenance(
                                        machine, why, forMs, before, after, ask))));
        return MessageCodec.text(await("answer"), "result");
    }

    /** Says a word on a machine, or on all as "*"; the answer as for an ask. */
    public String commandMachine(String word, String machine, String ask) throws IOException {
        send(
                MessageCodec.message(
                        "ask", "op", MessageCodec.of(Command.operatorCommand(word, machine, ask))));
        return MessageCodec.text(await("answer"), "result");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
