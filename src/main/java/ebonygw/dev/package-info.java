/**
 * A fleet on the loopback address in one Java machine, with stand-ins of the platform, for a first
 * look and for tests.
 */
package ebonygw.dev;
