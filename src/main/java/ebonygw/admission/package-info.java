/**
 * Rate limiting of customers across the fleet, and the division of the weight store's load budget
 * among target processes.
 */
package ebonygw.admission;
