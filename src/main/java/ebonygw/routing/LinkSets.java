package ebonygw.routing;

import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the bounded set of targets that an entry keeps connections to.
 *
 * <p>If a service has no more targets than the limit, the entry connects to all of them. Otherwise
 * the targets of each region and service are partitioned by hash into a power of two of cells, and
 * the entries of the region into as many groups; each entry connects to one cell. All entries of a
 * group have the same set, so they agree on the preferred target of each adapter, and each adapter
 * has a preferred target in every cell. If the region of the entry has few targets, the entry
 * connects to these and to a cell of all targets. Entries are grouped by the rank of their hashes
 * instead of by the hash itself, which would leave cells without an entry.
 */
public final class LinkSets {
    /**
     * A region with fewer targets of a service than the limit divided by this cannot take the load
     * of its entries; they connect to targets of other regions too.
     */
    private static final int MIN_LOCAL_DIVISOR = 4;

    private LinkSets() {}

    /**
     * Chooses the targets to connect to.
     *
     * @param self the entry process
     * @param locality the locality of the entry process
     * @param members all known members, including entries; those in state {@code GONE} are ignored
     * @param limit maximum number of connections per service
     * @return the targets, empty if there are none
     * @throws IllegalArgumentException if {@code limit} is not positive
     */
    public static Set<NodeId> choose(
            NodeId self, Locality locality, Collection<Member> members, int limit) {
        if (limit <= 0) {
            throw new IllegalArgumentException("limit must be positive: " + limit);
        }
        Map<String, List<Member>> services = new TreeMap<>();
        for (Member member : members) {
            if (member.role() == Role.TARGET && member.state() != MemberState.GONE) {
                services.computeIfAbsent(member.serves(), s -> new ArrayList<>()).add(member);
            }
        }
        Set<NodeId> chosen = new LinkedHashSet<>();
        double fraction = precedingFraction(self, locality, members);
        services.values().forEach(targets -> addCell(fraction, locality, targets, limit, chosen));
        return chosen;
    }

    private static void addCell(
            double fraction,
            Locality locality,
            List<Member> targets,
            int limit,
            Set<NodeId> chosen) {
        if (targets.size() <= limit) {
            targets.forEach(t -> chosen.add(t.id()));
            return;
        }
        List<Member> local =
                targets.stream().filter(t -> t.locality().sameRegion(locality)).toList();
        List<Member> nearest = local;
        int room = limit;
        if (local.size() < limit / MIN_LOCAL_DIVISOR) {
            local.forEach(t -> chosen.add(t.id()));
            nearest = targets;
            room -= local.size();
        }
        int cells = 1;
        // Keep the mean cell at three quarters of the limit at most: cell sizes vary with the hash.
        while (nearest.size() > cells * (long) limit * 3 / 4) {
            cells *= 2;
        }
        long cell = (long) (fraction * cells);
        long mask = cells - 1;
        nearest.stream()
                .filter(t -> (hash(t.id()) & mask) == cell)
                .sorted(Comparator.comparing(Member::id))
                .limit(room)
                .forEach(t -> chosen.add(t.id()));
    }

    /**
     * Returns the fraction of the region's entries whose hash orders before this one's, in [0, 1).
     */
    private static double precedingFraction(
            NodeId self, Locality locality, Collection<Member> members) {
        long own = hash(self);
        int before = 0;
        int all = 1;
        for (Member member : members) {
            if (member.role() != Role.ENTRY
                    || member.state() == MemberState.GONE
                    || member.id().equals(self)
                    || !member.locality().sameRegion(locality)) {
                continue;
            }
            all++;
            long hash = hash(member.id());
            before += hash < own || hash == own && member.id().compareTo(self) < 0 ? 1 : 0;
        }
        return (double) before / all;
    }

    private static long hash(NodeId id) {
        return LongHashFunction.xx().hashChars(id.name());
    }
}
