/** State machines of entries that forward requests to targets directly, and of loaders. */
package ebonygw.gateway;
