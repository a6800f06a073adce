/** Small stand-ins of the platform and of targets, for a first look and for tests. */
package ebonygw.standin;
