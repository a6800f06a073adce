/**
 * A complete fleet on the loopback address in one JVM, with stand-ins for the platform and the
 * targets, for trials and tests.
 */
package ebonygw.dev;
