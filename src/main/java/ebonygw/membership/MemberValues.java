package ebonygw.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.wire.PeerProtocol;

/** Members in their form on links and in the key-value service. */
public final class MemberValues {
    private MemberValues() {}

    /**
     * Reads a member from its form on links.
     *
     * @throws IllegalArgumentException if its name is missing or its role or state unknown
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
     * Reads a member from a value of the key-value service.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    public static Member read(ByteString value) {
        try {
            return fromWire(PeerProtocol.Member.parseFrom(value));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("malformed member", e);
        }
    }

    /** Returns a member's form on links. */
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

    /** Returns a member as a value of the key-value service. */
    public static ByteString write(Member member) {
        return toWire(member).toByteString();
    }

    private static <T> T constant(T[] constants, int number, String what) {
        if (number < 1 || number > constants.length) {
            throw new IllegalArgumentException("unknown " + what + ": " + number);
        }
        return constants[number - 1];
    }
}
