/**
 * The platform's key-value service: calls and replies as values, and the client that carries them.
 */
package ebonygw.keyvalue;
