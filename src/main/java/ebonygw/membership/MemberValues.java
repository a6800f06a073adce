package ebonygw.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.wire.PeerProtocol;

/** Converts members to and from protobuf messages and values of the key-value service. */
public final class MemberValues {
    private MemberValues() {}

    /**
     * Returns the member that a protobuf message describes.
     *
     * @throws IllegalArgumentException if the name is empty or the role or state is unknown
     */
    public static Member fromWire(PeerProtocol.Member member) {
        return new Member(
                new NodeId(member.getId()),
                member.getIncarnation(),
                constant(Role.values(), member.getRole(), "role"),
                constant(MemberState.values(), member.getState(), "state"),
                new Locality(member.getRegion(), member.getDataCenter()),
                member.getAddress(),
                member.getServes());
    }

    /**
     * Parses a value of the key-value service.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    public static Member read(ByteString value) {
        try {
            return fromWire(PeerProtocol.Member.parseFrom(value));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(
                    "malformed member value of " + value.size() + " bytes", e);
        }
    }

    /** Returns the protobuf message of a member. */
    public static PeerProtocol.Member toWire(Member member) {
        return PeerProtocol.Member.newBuilder()
                .setId(member.id().name())
                .setIncarnation(member.incarnation())
                .setRole(member.role().ordinal() + 1)
                .setState(member.state().ordinal() + 1)
                .setRegion(member.locality().region())
                .setDataCenter(member.locality().dataCenter())
                .setAddress(member.address())
                .setServes(member.serves())
                .build();
    }

    /** Serializes a member as a value of the key-value service. */
    public static ByteString write(Member member) {
        return toWire(member).toByteString();
    }

    /** Returns an enum constant by its number on the wire, which is its ordinal plus 1. */
    private static <T> T constant(T[] constants, int number, String what) {
        if (number < 1 || number > constants.length) {
            throw new IllegalArgumentException(
                    "unknown " + what + ": " + number + ", expected 1 to " + constants.length);
        }
        return constants[number - 1];
    }
}
