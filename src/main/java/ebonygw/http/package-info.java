/** A small bounded HTTP client over Undertow's client, shared by the packages of outside peers. */
package ebonygw.http;
