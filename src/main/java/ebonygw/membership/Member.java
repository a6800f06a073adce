package ebonygw.membership;

import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.Objects;

/**
 * A process of the fleet and its state.
 *
 * @param id name of the process
 * @param incarnation number that grows with each restart of the process, 0 if unknown
 * @param role role of the process
 * @param state state of the process, as announced by itself or as seen by an observer
 * @param locality region and data centre of the host
 * @param address address of the listener for peer connections, as {@code ip:port}
 * @param serves base model or plain service that a target process serves, empty for an entry
 */
public record Member(
        NodeId id,
        long incarnation,
        Role role,
        MemberState state,
        Locality locality,
        String address,
        String serves) {
    /**
     * Creates a member.
     *
     * @throws NullPointerException if an argument is null
     */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(locality, "locality");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(serves, "serves");
    }

    /** Returns a copy with another state. */
    public Member withState(MemberState other) {
        return new Member(id, incarnation, role, other, locality, address, serves);
    }
}
