/** Benchmarks of the decision classes, the peer connections and the whole request path. */
package ebonygw.bench;
