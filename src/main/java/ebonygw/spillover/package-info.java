/**
 * Decides which fraction of an entry's requests goes to other data centres, and what the distance
 * costs.
 *
 * <p>Deterministic: the present time is an argument, and there are no sockets or threads.
 */
package ebonygw.spillover;
