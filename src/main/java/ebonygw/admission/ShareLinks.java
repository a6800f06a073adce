package ebonygw.admission;

import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Chooses the entry processes to which an entry process keeps connections for dividing shares.
 *
 * <p>In a small fleet these are all others. In a large one, only the first entry processes in a
 * shard's order of preferred owners may own the shard and hold its shares. Possible owners connect
 * to all possible holders, and possible holders to all possible owners; every entry process
 * connects to the nearest holders of each shard, to borrow from them. Thread-safe.
 */
public final class ShareLinks {
    /** Maximum number of entry processes with which each connects to all others. */
    public static final int FULL_MESH = 32;

    /** Number of entry processes that may hold a shard's shares in a large fleet. */
    private static final int HOLDERS = 24;

    /** Number of entry processes that may own a shard in a large fleet. */
    private static final int OWNERS = 3;

    /** Number of holders of each shard that every entry process can borrow from. */
    private static final int LENDERS = 2;

    private ShareLinks() {}

    /**
     * Chooses the entry processes to connect to.
     *
     * @param self this entry process
     * @param members all known processes, with or without {@code self}
     * @return ids of entry processes other than {@code self}
     * @throws NullPointerException if an argument is null
     */
    public static Set<NodeId> choose(Member self, Collection<Member> members) {
        Objects.requireNonNull(self, "self");
        List<Member> entries = new ArrayList<>();
        entries.add(self);
        for (Member member : members) {
            boolean candidate = member.state() != MemberState.GONE && member.role() == Role.ENTRY;
            if (candidate && !member.id().equals(self.id())) {
                entries.add(member);
            }
        }
        Set<NodeId> chosen = new LinkedHashSet<>();
        if (entries.size() <= FULL_MESH) {
            entries.forEach(entry -> chosen.add(entry.id()));
        } else {
            for (int shard = 0; shard < ShareNode.SHARDS; shard++) {
                addShard(shard, self, entries, chosen);
            }
        }
        chosen.remove(self.id());
        return chosen;
    }

    private static void addShard(int shard, Member self, List<Member> entries, Set<NodeId> chosen) {
        List<Member> order = new ArrayList<>(entries);
        order.sort(
                Comparator.comparingLong((Member entry) -> -Peers.weight(shard, entry.id()))
                        .thenComparing(Member::id));
        List<Member> holders = order.subList(0, HOLDERS);
        int rank = holders.indexOf(self);
        if (rank >= 0) {
            int connections = rank < OWNERS ? HOLDERS : OWNERS;
            holders.subList(0, connections).forEach(holder -> chosen.add(holder.id()));
        }
        holders.stream()
                .sorted(Comparator.comparingInt(holder -> distance(self, holder)))
                .limit(LENDERS)
                .forEach(holder -> chosen.add(holder.id()));
    }

    /** Returns 0 in the same data centre, 1 in the same region, else 2. */
    private static int distance(Member self, Member other) {
        if (self.locality().sameDataCenter(other.locality())) {
            return 0;
        }
        return self.locality().sameRegion(other.locality()) ? 1 : 2;
    }
}
