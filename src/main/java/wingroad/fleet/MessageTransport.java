package wingroad.fleet;

import java.util.Map;

/** Connections that carry messages, each whole and in order, or break. */
public interface MessageTransport {
    /**
     * Opens a connection; its owner hears {@code up} or {@code ended} later, never within this
     * call.
     */
    Channel open(String address, ChannelHandler owner);

    /** One connection. */
    interface Channel {
        void send(Map<String, Object> message);

        /** Ends it from here; the owner hears nothing more. */
        void close();
    }

    /** Whose connection it is. */
    interface ChannelHandler {
        default void connected(Channel wire) {}

        void received(Channel wire, Map<String, Object> message);

        void closed(Channel wire, String how);
    }
}
