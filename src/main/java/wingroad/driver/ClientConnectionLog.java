package wingroad.driver;

import wingroad.protocol.ClientMessageDecoder;
import wingroad.protocol.Statement;
import wingroad.transport.Connection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** What the log tells of one client connection: refusals, and why it ends. */
final class ClientConnectionLog {
    private final ClientFrontend frontend;
    private final int connectionNumber;
    private boolean endLogged;

    ClientConnectionLog(ClientFrontend frontend, int connectionNumber) {
        this.frontend = frontend;
        this.connectionNumber = connectionNumber;
    }

    /**
     * A statement was answered with an error.
     *
     * @param statement null if it was not parsed
     */
    void refused(Statement statement, String answer, Duration sinceArrival) {
        frontend.log(
                RequestLog.Kind.REFUSAL,
                () ->
                        prefix()
                                + ": "
                                + (statement == null ? "a statement" : statement.id())
                                + " "
                                + answer
                                + " after "
                                + sinceArrival.toMillis()
                                + " ms");
    }

    /** A command that is no valid statement was answered with an error. */
    void rejected(String errorText) {
        frontend.log(RequestLog.Kind.REFUSAL, () -> prefix() + ": command rejected: " + errorText);
    }

    /**
     * The connection ends; only the first end of a connection is logged.
     *
     * @param detail more about the reason, or null
     * @param unanswered what was read and has no whole answer
     */
    void ended(ConnectionEnd end, String detail, List<String> unanswered) {
        if (endLogged) {
            return;
        }
        endLogged = true;
        frontend.log(
                unanswered.isEmpty() ? RequestLog.Kind.CLOSE : RequestLog.Kind.UNANSWERED,
                () ->
                        prefix()
                                + " ends: "
                                + end.description()
                                + (detail == null ? "" : " (" + detail + ")")
                                + (unanswered.isEmpty()
                                        ? ""
                                        : ", without an answer: " + unanswered));
    }

    private String prefix() {
        return "client " + connectionNumber;
    }

    /**
     * What the log calls the commands that were read and have no whole answer, in order.
     *
     * @param connection null if the client has not got one
     * @param statement the one whose answer is due, or null
     * @param largeStatementQueued whether one waits to be parsed
     */
    static List<String> unanswered(
            Connection connection, Statement statement, boolean largeStatementQueued) {
        List<String> commands = new ArrayList<>();
        if (connection != null && connection.hasUnsentBytes()) {
            commands.add(connection.unsentBytes() + " bytes of answers");
        }
        if (statement != null) {
            commands.add(statement.id());
        }
        if (largeStatementQueued) {
            commands.add("a large statement");
        }
        int waiting =
                connection == null
                        ? 0
                        : ClientMessageDecoder.countQueries(connection.unreadInput());
        if (waiting > 0) {
            commands.add(waiting + " commands sent ahead");
        }
        return commands;
    }
}
