package ebonygw.membership;

import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.Objects;

/**
 * One process as the membership sees it.
 *
 * @param id its name
 * @param incarnation greater after each restart
 * @param role what it does
 * @param state its state
 * @param locality its region and data centre
 * @param address IP number and port of its peer listener, as {@code ip:port}
 * @param serves base model or plain service behind a target process, empty for an entry
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

    /** Returns the same process in another state. */
    public Member withState(MemberState other) {
        return new Member(id, incarnation, role, other, locality, address, serves);
    }
}
