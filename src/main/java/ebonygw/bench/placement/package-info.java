/**
 * A discrete-event simulation of adapter placement: the production router, retry policy and
 * scheduler run in virtual time with simulated engines and a simulated weight store, and are
 * compared with simple strategies on the same arrivals.
 */
package ebonygw.bench.placement;
