/**
 * The fleet of drivers: a consensus group of voters on the MicroRaft engine with its state in
 * SQLite, CBOR messages between voters and drivers, and the drivers' sessions with the group.
 */
package wingroad.fleet;
