/**
 * Each customer's rate and burst across the fleet, and the division of the weight store's budget.
 */
package ebonygw.admission;
