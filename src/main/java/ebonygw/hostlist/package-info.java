/** Client and JSON format of the platform's host list. */
package ebonygw.hostlist;
