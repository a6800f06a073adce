/** TLS contexts from certificate and key files, which are loaded again when they change. */
package ebonygw.tls;
