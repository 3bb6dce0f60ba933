package wingroad.fleet;

import java.util.Map;

/** Connections that carry messages, each whole and in order, or break. */
public interface Net {
    /**
     * Opens a connection; its owner hears {@code up} or {@code ended} later, never within this
     * call.
     */
    Wire open(String address, Owner owner);

    /** One connection. */
    interface Wire {
        void send(Map<String, Object> message);

        /** Ends it from here; the owner hears nothing more. */
        void close();
    }

    /** Whose connection it is. */
    interface Owner {
        default void up(Wire wire) {}

        void message(Wire wire, Map<String, Object> message);

        void ended(Wire wire, String how);
    }
}
