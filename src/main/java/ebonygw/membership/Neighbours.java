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
 * Chooses the processes that one process exchanges membership with.
 *
 * <p>Within a region the processes form a ring in order of the hashes of their names, and each one
 * links to those at distances 1, 2, 4 and so on. The first few of each ring also link to the first
 * few of the other regions' rings, so that traffic between regions does not grow with the fleet.
 */
final class Neighbours {
    /** How many processes of a region link to other regions. */
    static final int BRIDGES = 3;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private Neighbours() {}

    /**
     * Returns the neighbours of a process: at most two more than the binary logarithm of its
     * region's size, and {@link #BRIDGES} for each other region if it is one of the first of its
     * own.
     *
     * @param self the process
     * @param members all processes, with or without {@code self}
     */
    static Set<NodeId> choose(Member self, Collection<Member> members) {
        Map<String, List<Place>> rings = rings(self, members);
        List<Place> own = rings.get(self.locality().region());
        int position = own.indexOf(Place.of(self));
        Set<NodeId> chosen = new TreeSet<>();
        for (int distance = 1; distance < own.size(); distance *= 2) {
            chosen.add(own.get((position + distance) % own.size()).id());
        }
        if (position < BRIDGES) {
            rings.forEach((region, ring) -> addFirst(chosen, ring));
        }
        chosen.remove(self.id());
        return chosen;
    }

    /** Returns whether a process is one of the first few of its region's ring. */
    static boolean isAmongFirst(Member self, Collection<Member> members, int count) {
        List<Place> own = rings(self, members).get(self.locality().region());
        return own.indexOf(Place.of(self)) < count;
    }

    /** Returns the hash of a name that orders the ring. */
    static long hash(NodeId id) {
        return HASH.hashChars(id.name());
    }

    private static void add(Map<String, List<Place>> rings, Member member) {
        String region = member.locality().region();
        rings.computeIfAbsent(region, name -> new ArrayList<>()).add(Place.of(member));
    }

    private static void addFirst(Set<NodeId> chosen, List<Place> ring) {
        ring.stream().limit(BRIDGES).forEach(place -> chosen.add(place.id()));
    }

    private static Map<String, List<Place>> rings(Member self, Collection<Member> members) {
        Map<String, List<Place>> rings = new TreeMap<>();
        add(rings, self);
        for (Member member : members) {
            if (!member.id().equals(self.id())) {
                add(rings, member);
            }
        }
        rings.values().forEach(Collections::sort);
        return rings;
    }

    /** A process's place in its ring. */
    private record Place(long hash, NodeId id) implements Comparable<Place> {
        static Place of(Member member) {
            return new Place(Neighbours.hash(member.id()), member.id());
        }

        @Override
        public int compareTo(Place other) {
            int byHash = Long.compare(hash, other.hash);
            return byHash != 0 ? byHash : id.compareTo(other.id);
        }
    }
}
