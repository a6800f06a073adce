/** Retry and hedging decisions and retry budgets of an entry. */
package ebonygw.retry;
