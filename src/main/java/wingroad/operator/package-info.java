/**
 * Reads and validates the operator's file: settings of fair queues, the fleet and maintenance work.
 */
package wingroad.operator;
