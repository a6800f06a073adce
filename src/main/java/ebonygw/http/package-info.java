/**
 * An asynchronous HTTP client with a bounded connection pool. Connections are those of the server
 * for callers, so that both share an IO thread; responses are decoded by Netty's HTTP codec.
 */
package ebonygw.http;
