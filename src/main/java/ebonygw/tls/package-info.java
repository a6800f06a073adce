/** Certificate and key files, read again when they change. */
package ebonygw.tls;
