/** Links between the system's own processes over Netty and protobuf. */
package ebonygw.peer;
