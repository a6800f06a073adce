/** Who may run what: one set of rules for entry and target processes. */
package ebonygw.access;
