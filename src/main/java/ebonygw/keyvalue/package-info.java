/**
 * Requests to the platform's key-value service (etcd v3) and their responses as values, the client
 * that sends them, and in-memory stand-ins of the service.
 */
package ebonygw.keyvalue;
