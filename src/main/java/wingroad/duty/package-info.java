/**
 * Replicated state machine for duties, which are singleton tasks of the fleet: sessions with
 * leases, duty owners and their epochs, which serve as fencing tokens.
 */
package wingroad.duty;
