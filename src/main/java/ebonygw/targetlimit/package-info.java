/**
 * Limits on the requests that a target gets from all entries together.
 *
 * <p>Deterministic: the present time is an argument, and there are no sockets or threads.
 */
package ebonygw.targetlimit;
