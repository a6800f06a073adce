/**
 * Learns how fast each target is from an entry's own completions and the targets' reports, and
 * draws among targets of nearly equal expected cost.
 *
 * <p>Deterministic: the present time is an argument, and there are no sockets or threads.
 */
package ebonygw.balancing;
