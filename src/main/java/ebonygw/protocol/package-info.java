/** Identities and the common type of messages between the system's processes. */
package ebonygw.protocol;
