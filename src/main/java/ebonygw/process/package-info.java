/**
 * Runs the node state machines as processes: control thread, clocks, settings, logs, metrics and
 * dump.
 */
package ebonygw.process;
