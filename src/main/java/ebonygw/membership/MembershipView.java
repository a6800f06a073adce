package ebonygw.membership;

import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * All known processes but those that are gone, in order of their names, this one included.
 *
 * <p>Immutable and thread-safe.
 */
public final class MembershipView {
    /** A view without processes. */
    public static final MembershipView EMPTY = new MembershipView(List.of());

    private final Map<NodeId, Member> mMembers;

    /**
     * Creates a view.
     *
     * @param members the processes; of two with the same name the later counts
     * @throws NullPointerException if {@code members} or one of them is null
     */
    public MembershipView(Collection<Member> members) {
        mMembers = new TreeMap<>();
        for (Member member : members) {
            mMembers.put(member.id(), member);
        }
    }

    /** Returns the process of that name, empty if it is not known or gone. */
    public Optional<Member> member(NodeId id) {
        return Optional.ofNullable(mMembers.get(id));
    }

    /** Returns all processes in order of their names. */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(mMembers.values());
    }

    /** Returns the processes in one state that have one role, in order of their names. */
    public List<Member> members(Role role, MemberState state) {
        List<Member> found = new ArrayList<>();
        for (Member member : mMembers.values()) {
            if (member.role() == role && member.state() == state) {
                found.add(member);
            }
        }
        return found;
    }
}
