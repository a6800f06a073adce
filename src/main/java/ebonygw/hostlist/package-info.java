/** The platform's host list. */
package ebonygw.hostlist;
