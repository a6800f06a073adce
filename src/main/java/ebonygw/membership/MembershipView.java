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
 * All known processes except those that are gone, ordered by name and including this process.
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
     * @param members the processes; of two with the same name, the later one is kept
     * @throws NullPointerException if {@code members} or one of them is null
     */
    public MembershipView(Collection<Member> members) {
        mMembers = new TreeMap<>();
        for (Member member : members) {
            mMembers.put(member.id(), member);
        }
    }

    /** Returns the process of the given name, empty if it is unknown or gone. */
    public Optional<Member> member(NodeId id) {
        return Optional.ofNullable(mMembers.get(id));
    }

    /** Returns an unmodifiable view of all processes, ordered by name. */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(mMembers.values());
    }

    /** Returns the processes with the given role and state, ordered by name. */
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
