/**
 * The tree of settings with callers' keys, the log of its changes, and their distribution to all
 * processes.
 */
package ebonygw.settings;
