/**
 * Fleet membership: which processes exist and in which state, the leases that give one process the
 * authority over a target, and the phases of a planned stop.
 */
package ebonygw.membership;
