/** An asynchronous HTTP client with a bounded connection pool, built on Undertow's client. */
package ebonygw.http;
