/** Benchmark of the connections between processes, over the loopback address. */
package ebonygw.bench.links;
