/** Connections between the processes of the system, over Netty and protobuf. */
package ebonygw.peer;
