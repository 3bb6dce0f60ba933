/**
 * The driver on sockets: accepts clients over PostgreSQL's protocol, keeps connections to the
 * members, follows discovery's member list, and connects all of them to the router. It also starts,
 * reloads and stops the process, and carries out the driver's duties in its fleet.
 */
package wingroad.driver;
