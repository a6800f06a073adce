/** The HTTP servers that accept requests of callers. */
package ebonygw.caller;
