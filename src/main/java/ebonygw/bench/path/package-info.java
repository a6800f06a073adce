/** The cost of the whole path: entry and target process against the direct engine. */
package ebonygw.bench.path;
