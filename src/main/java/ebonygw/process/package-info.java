/**
 * Runs the node state machines as processes: control thread, clock, command-line settings, metrics,
 * operator listener and graceful stop.
 */
package ebonygw.process;
