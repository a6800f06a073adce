/** Time limits, retries and their budgets. */
package ebonygw.retry;
