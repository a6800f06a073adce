/**
 * The experiment on placement: the real decision classes in virtual time with a fake engine and
 * store, beside simple baselines on the same arrivals.
 */
package ebonygw.bench.placement;
