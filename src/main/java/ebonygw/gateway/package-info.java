/** Decisions of entries that forward to targets directly, and of the loaders beside targets. */
package ebonygw.gateway;
