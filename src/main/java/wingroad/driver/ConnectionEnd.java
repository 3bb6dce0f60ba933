package wingroad.driver;

/** Why a client connection ends; the description is what the log says. */
enum ConnectionEnd {
    CLIENT_CLOSED("closed by the client"),
    CONNECTION_FAILED("the connection failed"),
    CLIENT_TERMINATED("the client sent Terminate or a cancel request"),
    MALFORMED_INPUT("malformed input"),
    TOO_MANY_IGNORED("too many ignored messages", true),
    TOO_MANY_REJECTED("too many rejected commands", true),
    STARTUP_TIMEOUT("no startup message in time"),
    COMMAND_TIMEOUT("no whole command in time"),
    IDLE_TIMEOUT("idle timeout"),
    UNREAD_ANSWER_TIMEOUT("the client reads nothing"),
    LINGER_TIMEOUT("the client did not end its side in time"),
    IDLE_LIMIT("idle, and over the limit of client connections"),
    DESCRIPTORS("idle, and its descriptor is needed"),
    MEMORY_OF_COMMAND("the memory of its unfinished command is needed"),
    MEMORY_OF_ANSWER("the memory of its unread answer is needed"),
    INPUT_MEMORY("no memory for its input", true),
    STOP("the process is stopping");

    private final String description;
    private final boolean declinesCommands;

    ConnectionEnd(String description) {
        this(description, false);
    }

    ConnectionEnd(String description, boolean declinesCommands) {
        this.description = description;
        this.declinesCommands = declinesCommands;
    }

    String description() {
        return description;
    }

    /** Whether commands that were sent ahead of the end are declined instead of processed. */
    boolean declinesCommands() {
        return declinesCommands;
    }
}
