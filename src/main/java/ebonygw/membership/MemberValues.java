package ebonygw.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.wire.PeerProtocol;

/** Members as values of the key-value service. */
final class MemberValues {
    private MemberValues() {}

    /**
     * Reads a member.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    static Member read(ByteString value) {
        try {
            PeerProtocol.Member member = PeerProtocol.Member.parseFrom(value);
            return new Member(
                    new NodeId(member.getId()),
                    member.getIncarnation(),
                    constant(Role.values(), member.getRole()),
                    constant(MemberState.values(), member.getState()),
                    new Locality(member.getRegion(), member.getDataCenter()),
                    member.getAddress(),
                    member.getServes());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("malformed member", e);
        }
    }

    /** Writes a member. */
    static ByteString write(Member member) {
        return PeerProtocol.Member.newBuilder()
                .setId(member.id().name())
                .setIncarnation(member.incarnation())
                .setRole(member.role().ordinal() + 1)
                .setState(member.state().ordinal() + 1)
                .setRegion(member.locality().region())
                .setDataCenter(member.locality().dataCenter())
                .setAddress(member.address())
                .setServes(member.serves())
                .build()
                .toByteString();
    }

    private static <T> T constant(T[] constants, int number) {
        if (number < 1 || number > constants.length) {
            throw new IllegalArgumentException("malformed member: constant " + number);
        }
        return constants[number - 1];
    }
}
