/** The operators: administration API over HTTP and the command line that uses it. */
package ebonygw.operator;
