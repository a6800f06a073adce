/** Experiments and benchmarks of the decision classes. */
package ebonygw.bench;
