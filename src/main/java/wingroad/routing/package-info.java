/**
 * The routing decisions of one driver, independent of any protocol. A host passes events to a
 * {@link wingroad.routing.Router} and carries out the {@link wingroad.routing.Decision}s that it
 * returns.
 */
package wingroad.routing;
