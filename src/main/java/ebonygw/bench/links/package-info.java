/** Measures the links between processes on the loopback address. */
package ebonygw.bench.links;
