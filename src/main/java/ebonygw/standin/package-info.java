/**
 * In-memory stand-ins that simulate the platform services and the targets over HTTP, for local
 * fleets, benchmarks and tests.
 */
package ebonygw.standin;
