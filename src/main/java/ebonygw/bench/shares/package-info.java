/**
 * The experiment on shares: the real share classes in virtual time over a faulty link, beside
 * simpler ways to divide a rate.
 */
package ebonygw.bench.shares;
