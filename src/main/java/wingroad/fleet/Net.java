package wingroad.fleet;

import java.util.Map;

/** Connections that carry letters, each whole and in order, or break. */
public interface Net {
    /** Opens a connection; its owner hears {@code up} or {@code ended} later, never within this call. */
    Wire open(String address, Owner owner);

    /** One connection. */
    interface Wire {
        void send(Map<String, Object> letter);

        /** Ends it from here; the owner hears nothing more. */
        void close();
    }

    /** Whose connection it is. */
    interface Owner {
        default void up(Wire wire) {
        }

        void letter(Wire wire, Map<String, Object> letter);

        void ended(Wire wire, String how);
    }
}
