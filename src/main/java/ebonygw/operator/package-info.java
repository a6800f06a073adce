/** Administration API for operators over HTTP, and the commands that use it. */
package ebonygw.operator;
