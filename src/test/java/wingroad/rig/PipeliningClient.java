package wingroad.rig;

import wingroad.Fixtures;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A client that sends commands ahead of their answers and checks each answer: one for each command,
 * in order. It never blocks; the test calls {@link #poll} in a loop.
 */
@SuppressWarnings("try")
public final class PipeliningClient implements AutoCloseable {
    /**
     * The slack of the protocol page for all times on sockets. A command that was sent less than
     * this before the end of its connection may have crossed the end unread.
     */
    public static final long SLACK_NANOS = 50_000_000;

    private static final int READ_BUFFER_BYTES = 64 * 1024;

    /** One command whose answer has not arrived whole. */
    private record Command(String id, long queuedAtNanos) {}

    private final String name;
    private final SocketChannel channel;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final ByteArrayOutputStream unparsed = new ByteArrayOutputStream();
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();

    /** Commands whose last byte was written, in order, with the time of that. */
    private final ArrayDeque<Command> unanswered = new ArrayDeque<>();

    /** Commands of which not all was written yet. */
    private final ArrayDeque<String> unsentIds = new ArrayDeque<>();

    private final List<String> problems = new ArrayList<>();
    private boolean started;
    private boolean ended;
    private long lastKnownOpenNanos;
    private int answerCount;
    private int refusalCount;
    private int crossedCount;
    private String row;
    private String error;
    private boolean emptyAnswer;

    /** Connects and sends the startup message. */
    public PipeliningClient(String name, int port) throws IOException {
        this.name = name;
        channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.configureBlocking(false);
        unsent.add(ByteBuffer.wrap(Fixtures.STARTUP_MESSAGE));
        unsentIds.add("");
    }

    /** Queues a command; its answer must be the row of its id, an error, or empty. */
    public void send(String id, String sql) {
        if (!ended) {
            unsent.add(ByteBuffer.wrap(Fixtures.message('Q', Fixtures.cString(sql))));
            unsentIds.add(id);
        }
    }

    /** Reads what has arrived, at most so many bytes, then writes what can be written. */
    public void poll(int maxReadBytes) {
        if (ended) {
            return;
        }
        try {
            read(maxReadBytes);
            write();
        } catch (IOException reset) {
            end();
        }
        if (ended) {
            closeQuietly();
        }
    }

    private void closeQuietly() {
        try {
            channel.close();
        } catch (IOException e) {
            // The channel is closed in any case.
        }
    }

    private void read(int maxReadBytes) throws IOException {
        int left = maxReadBytes;
        while (!ended && left > 0) {
            readBuffer.clear().limit(Math.min(left, READ_BUFFER_BYTES));
            long nanos = System.nanoTime();
            int count = channel.read(readBuffer);
            if (count < 0) {
                end();
            } else if (count == 0) {
                lastKnownOpenNanos = nanos;
                return;
            } else {
                left -= count;
                lastKnownOpenNanos = nanos;
                unparsed.write(readBuffer.array(), 0, count);
                parse();
            }
        }
    }

    private void write() throws IOException {
        while (!ended && !unsent.isEmpty()) {
            channel.write(unsent.peek());
            if (unsent.peek().hasRemaining()) {
                return;
            }
            unsent.remove();
            String id = unsentIds.remove();
            if (!id.isEmpty()) {
                unanswered.add(new Command(id, System.nanoTime()));
            }
        }
    }

    private void parse() {
        ByteBuffer in = ByteBuffer.wrap(unparsed.toByteArray());
        while (in.remaining() >= 5 && in.remaining() > in.getInt(in.position() + 1)) {
            char type = (char) in.get();
            byte[] body = new byte[in.getInt() - 4];
            in.get(body);
            handle(type, new String(body, StandardCharsets.ISO_8859_1));
        }
        unparsed.reset();
        unparsed.write(in.array(), in.position(), in.remaining());
    }

    private void handle(char type, String body) {
        switch (type) {
            case 'D' -> row = body.substring(6);
            case 'I' -> emptyAnswer = true;
            case 'E' -> {
                error = body.replaceAll("(?s).*\0C([^\0]*)\0.*", "$1");
                if (body.startsWith("SFATAL")) {
                    answered();
                }
            }
            case 'Z' -> {
                if (started) {
                    answered();
                }
                started = true;
            }
            default -> {
                // startup messages, row descriptions and notices
            }
        }
    }

    private void answered() {
        Command command = unanswered.poll();
        if (command == null) {
            problems.add(name + ": an answer to nothing: " + row + " " + error);
        } else if (row != null && !row.startsWith(command.id)) {
            problems.add(name + ": " + command.id + " got the row " + row);
        } else if (row == null && error == null && !emptyAnswer) {
            problems.add(name + ": " + command.id + " got no row and no error");
        }
        answerCount++;
        refusalCount += error != null ? 1 : 0;
        row = null;
        error = null;
        emptyAnswer = false;
    }

    private void end() {
        ended = true;
        crossedCount = unanswered.size();
        for (Command command : unanswered) {
            long openAfterSending = lastKnownOpenNanos - command.queuedAtNanos;
            if (openAfterSending > SLACK_NANOS) {
                problems.add(
                        name
                                + ": "
                                + command.id
                                + " lost, its connection stayed open for "
                                + openAfterSending / 1_000_000
                                + " ms behind it and ended with "
                                + unanswered.size()
                                + " commands unanswered, after "
                                + answerCount
                                + " answers");
                return;
            }
        }
    }

    /** Treats a connection that is still open as ended, as when the process was killed. */
    public void endNow() {
        if (!ended) {
            end();
        }
    }

    public boolean ended() {
        return ended;
    }

    /** How many commands were sent or queued and have no answer. */
    public int outstanding() {
        return unanswered.size() + unsentIds.size();
    }

    public int answerCount() {
        return answerCount;
    }

    public int refusalCount() {
        return refusalCount;
    }

    /** How many commands were unanswered at the end of the connection, the lost ones included. */
    public int crossedCount() {
        return crossedCount;
    }

    /** What was wrong: lost commands, answers out of order, answers to nothing. */
    public List<String> problems() {
        return problems;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
