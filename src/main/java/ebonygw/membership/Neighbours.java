package ebonygw.membership;

import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import net.openhft.hashing.LongHashFunction;

/**
 * Selects the processes that a process exchanges membership with.
 *
 * <p>The processes of a region form a ring, ordered by the hashes of their names. Each process
 * connects to those at distances 1, 2, 4 and so on, so that its number of connections is
 * logarithmic in the size of the region. The first processes of each ring, the bridges, also
 * connect to the bridges of the other regions, so that traffic between regions does not grow with
 * the fleet.
 */
final class Neighbours {
    /** Number of processes in each region that connect to other regions. */
    static final int BRIDGES_PER_REGION = 3;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private Neighbours() {}

    /**
     * Returns the neighbours of a process: at most two more than the binary logarithm of its
     * region's size, and if it is a bridge also the bridges of all regions.
     *
     * @param self the process
     * @param members all processes, with or without {@code self}
     */
    static Set<NodeId> choose(Member self, Collection<Member> members) {
        Map<String, List<RingPosition>> rings = rings(self, members);
        List<RingPosition> own = rings.get(self.locality().region());
        int position = own.indexOf(RingPosition.of(self));
        Set<NodeId> chosen = new TreeSet<>();
        for (int distance = 1; distance < own.size(); distance *= 2) {
            chosen.add(own.get((position + distance) % own.size()).id());
        }
        if (position < BRIDGES_PER_REGION) {
            rings.forEach((region, ring) -> addBridges(chosen, ring));
        }
        chosen.remove(self.id());
        return chosen;
    }

    /** Returns whether a process is among the first {@code count} of its region's ring. */
    static boolean isAmongFirst(Member self, Collection<Member> members, int count) {
        List<RingPosition> own = rings(self, members).get(self.locality().region());
        return own.indexOf(RingPosition.of(self)) < count;
    }

    /** Returns the hash by which processes are ordered in a ring. */
    static long hash(NodeId id) {
        return HASH.hashChars(id.name());
    }

    private static void addBridges(Set<NodeId> chosen, List<RingPosition> ring) {
        ring.stream().limit(BRIDGES_PER_REGION).forEach(position -> chosen.add(position.id()));
    }

    private static void addToRing(Map<String, List<RingPosition>> rings, Member member) {
        String region = member.locality().region();
        rings.computeIfAbsent(region, name -> new ArrayList<>()).add(RingPosition.of(member));
    }

    private static Map<String, List<RingPosition>> rings(Member self, Collection<Member> members) {
        Map<String, List<RingPosition>> rings = new TreeMap<>();
        addToRing(rings, self);
        for (Member member : members) {
            if (!member.id().equals(self.id())) {
                addToRing(rings, member);
            }
        }
        rings.values().forEach(Collections::sort);
        return rings;
    }

    /** Sort key of a process in its ring. */
    private record RingPosition(long hash, NodeId id) implements Comparable<RingPosition> {
        static RingPosition of(Member member) {
            return new RingPosition(Neighbours.hash(member.id()), member.id());
        }

        @Override
        public int compareTo(RingPosition other) {
            int byHash = Long.compare(hash, other.hash);
            return byHash != 0 ? byHash : id.compareTo(other.id);
        }
    }
}
