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
 * Chooses the bounded set of targets that an entry keeps links to.
 *
 * <p>Where a service has no more targets than the bound, all are linked. Beyond it, the targets of
 * each region and service are divided into cells, a power of two of them, and the entries of the
 * region into as many groups; an entry links to one cell. All entries of a group have the same set,
 * so they agree on each adapter's homes, and an adapter has a home in every cell.
 */
public final class LinkSets {
    private LinkSets() {}

    /**
     * Chooses the targets to link to.
     *
     * @param self the entry process
     * @param locality where it is
     * @param members all known members, entries too; those gone are left out
     * @param limit most links for each service
     * @return the targets, empty if there are none
     * @throws IllegalArgumentException if {@code limit} is not positive
     */
    public static Set<NodeId> choose(
            NodeId self, Locality locality, Collection<Member> members, int limit) {
        if (limit <= 0) {
            throw new IllegalArgumentException("limit must be positive");
        }
        Map<String, List<Member>> services = new TreeMap<>();
        for (Member member : members) {
            if (member.role() == Role.TARGET && member.state() != MemberState.GONE) {
                services.computeIfAbsent(member.serves(), s -> new ArrayList<>()).add(member);
            }
        }
        Set<NodeId> chosen = new LinkedHashSet<>();
        double part = partOfEntries(self, locality, members);
        services.values().forEach(targets -> addCell(part, locality, targets, limit, chosen));
        return chosen;
    }

    private static void addCell(
            double part, Locality locality, List<Member> targets, int limit, Set<NodeId> chosen) {
        if (targets.size() <= limit) {
            targets.forEach(t -> chosen.add(t.id()));
            return;
        }
        List<Member> local =
                targets.stream().filter(t -> t.locality().sameRegion(locality)).toList();
        List<Member> near = local.isEmpty() ? targets : local;
        int cells = 1;
        while (near.size() > cells * (long) limit * 3 / 4) {
            cells *= 2;
        }
        long cell = (long) (part * cells);
        long mask = cells - 1;
        near.stream()
                .filter(t -> (hash(t.id()) & mask) == cell)
                .sorted(Comparator.comparing(Member::id))
                .limit(limit)
                .forEach(t -> chosen.add(t.id()));
    }

    /** Returns which part of the region's entries comes before this one, below 1. */
    private static double partOfEntries(
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
