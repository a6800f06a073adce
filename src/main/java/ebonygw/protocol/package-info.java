/** Process identities and the base types of messages between processes. */
package ebonygw.protocol;
