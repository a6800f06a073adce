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
 * Chooses the entry processes that an entry process keeps links to for the sake of shares.
 *
 * <p>In a small fleet these are all. In a large one the first entries in a shard's order may own
 * and hold its customers' shares; those link to each other's owners, and every other entry links to
 * the nearest few holders of each shard, of which it borrows. Thread-safe.
 */
public final class ShareLinks {
    /** Entry processes up to which each one links to all others. */
    public static final int FULL_MESH = 32;

    /** First entries in a shard's order that may hold its shares, in a large fleet. */
    private static final int HOLDERS = 24;

    /** First entries in a shard's order that may own it, in a large fleet. */
    private static final int OWNERS = 3;

    /** Holders of each shard that every entry can borrow of. */
    private static final int LENDERS = 2;

    private ShareLinks() {}

    /**
     * Chooses the entries to link to.
     *
     * @param self this entry process
     * @param members all known processes, with or without {@code self}
     * @return names of entry processes other than {@code self}
     * @throws NullPointerException if an argument is null
     */
    public static Set<NodeId> choose(Member self, Collection<Member> members) {
        Objects.requireNonNull(self, "self");
        List<Member> entries = new ArrayList<>();
        entries.add(self);
        for (Member member : members) {
            boolean there = member.state() != MemberState.GONE && member.role() == Role.ENTRY;
            if (there && !member.id().equals(self.id())) {
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
            int linked = rank < OWNERS ? HOLDERS : OWNERS;
            holders.subList(0, linked).forEach(holder -> chosen.add(holder.id()));
        }
        holders.stream()
                .sorted(Comparator.comparingInt(holder -> distance(self, holder)))
                .limit(LENDERS)
                .forEach(holder -> chosen.add(holder.id()));
    }

    private static int distance(Member self, Member other) {
        if (self.locality().sameDataCenter(other.locality())) {
            return 0;
        }
        return self.locality().sameRegion(other.locality()) ? 1 : 2;
    }
}
