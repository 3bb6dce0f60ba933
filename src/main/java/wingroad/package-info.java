/**
 * The program's entry point, which starts the driver, the simulator's adapter or the command line.
 */
package wingroad;
