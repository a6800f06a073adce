/**
 * Limits the requests to cold targets: decides which targets are cold, which entries may use them
 * and at which rate.
 *
 * <p>Deterministic: the present time is an argument, and there are no sockets or threads.
 */
package ebonygw.warmup;
