/** Generated protobuf classes of the links between processes. */
package ebonygw.wire;
