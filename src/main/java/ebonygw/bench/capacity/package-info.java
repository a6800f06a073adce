/** Measures the heap, messages and processor time that each unit of load adds to a process. */
package ebonygw.bench.capacity;
