/**
 * Which processes exist, in which state, and the leases that give one process authority over a
 * target.
 */
package ebonygw.membership;
