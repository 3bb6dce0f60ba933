/**
 * Test fixtures that run several real processes of the program, with fault-injecting proxies
 * between them, stub members and client load.
 */
package wingroad.rig;
