/**
 * Decides which prompt parts crash targets, from evidence that entries gather and exchange.
 *
 * <p>Deterministic: the present time is an argument, and there are no sockets or threads.
 */
package ebonygw.quarantine;
