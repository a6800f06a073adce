/** Writes and parses log lines of key=value pairs, one line for each event. */
package ebonygw.log;
