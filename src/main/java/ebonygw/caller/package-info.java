/** The HTTP interface towards callers. */
package ebonygw.caller;
