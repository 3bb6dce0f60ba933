package wingroad.fleet;

import java.util.Map;

/** Connections that deliver messages whole and in order, until they fail. */
public interface MessageTransport {
    /**
     * Opens a connection. The handler is told of the outcome by {@link ChannelHandler#connected} or
     * {@link ChannelHandler#closed}, never within this call.
     */
    Channel open(String address, ChannelHandler handler);

    /** One open connection. */
    interface Channel {
        /** Sends a message; dropped if the connection is closed. */
        void send(Map<String, Object> message);

        /** Closes the connection; its handler is not called any more. */
        void close();
    }

    /** Receives the events of a connection. */
    interface ChannelHandler {
        /** The connection is established. */
        default void connected(Channel channel) {}

        /** A message has arrived. */
        void received(Channel channel, Map<String, Object> message);

        /**
         * The connection failed or was closed by the other side; not called after {@link
         * Channel#close}.
         */
        void closed(Channel channel, String reason);
    }
}
