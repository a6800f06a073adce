/**
 * Benchmark of the division of customers' rates: runs the production share classes and simpler
 * baselines on a simulated fleet, in virtual time over a faulty network.
 */
package ebonygw.bench.shares;
