/**
 * Admission control before the decision module: weighted fair queueing of txns among tenants, with
 * an adaptive concurrency limit for each queue and retry times for the clients of declined txns.
 */
package wingroad.door;
