/** The event loop, its TCP connections and its listening sockets. */
package wingroad.transport;
