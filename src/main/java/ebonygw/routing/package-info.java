/** Chooses the target of a request at the entry. */
package ebonygw.routing;
