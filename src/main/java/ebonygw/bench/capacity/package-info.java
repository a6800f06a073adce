/** Measures what state, messages and processor time each unit of load adds to a process. */
package ebonygw.bench.capacity;
