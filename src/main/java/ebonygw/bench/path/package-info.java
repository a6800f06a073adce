/** Benchmark of the request path through entry and target process, against the engine directly. */
package ebonygw.bench.path;
