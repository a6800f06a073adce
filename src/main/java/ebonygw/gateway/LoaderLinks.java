package ebonygw.gateway;

import ebonygw.eligibility.Evacuations;
import ebonygw.membership.Member;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.routing.LinkSets;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Chooses the loaders that an entry is connected to, through which it has adapters loaded. */
final class LoaderLinks {
    /**
     * Maximum number of loaders of a service that an entry is connected to. An entry has loads done
     * at these replicas only; together they hold about two hundred adapters.
     */
    private static final int MAX_LINKS_PER_SERVICE = 24;

    /**
     * The same where adapter slots are scarce. In a fleet of 28 to 36 replicas with the smaller
     * number each region loads its own copies of all adapters; with this one its requests use the
     * copies of the others.
     */
    private static final int MAX_LINKS_TO_SHARE_COPIES = 48;

    /**
     * Maximum number of further loaders of a service in each region to which the configuration
     * restricts requests; a third of the usual number, as only the restricted requests use them.
     */
    private static final int MAX_LINKS_PER_REGION = 8;

    private LoaderLinks() {}

    /**
     * Chooses loaders of each service. In a large fleet these are mostly of the entry's own region.
     * While data centres are evacuated, and until they have all their work back, as many others are
     * added that are chosen as if these did not exist; the former ones stay, because requests go on
     * running there. For each other region that routes or customers allow by name, some loaders of
     * it are added.
     *
     * @param self the entry
     * @param members the loaders and the other entries
     * @param allowedRegions names of the regions in all lists of the configuration
     * @param shareCopies whether adapter slots are scarce, so that regions share loaded adapters
     */
    static Set<NodeId> choose(
            Member self,
            Collection<Member> members,
            Evacuations evacuations,
            Set<String> allowedRegions,
            boolean shareCopies) {
        int limit = shareCopies ? MAX_LINKS_TO_SHARE_COPIES : MAX_LINKS_PER_SERVICE;
        Set<NodeId> chosen =
                new HashSet<>(LinkSets.choose(self.id(), self.locality(), members, limit));
        List<Member> open = members.stream().filter(it -> !isAffected(it, evacuations)).toList();
        if (open.size() < members.size()) {
            chosen.addAll(LinkSets.choose(self.id(), self.locality(), open, limit));
        }
        Set<String> regions = new HashSet<>();
        open.stream().filter(LoaderLinks::isLoader).forEach(it -> regions.add(region(it)));
        regions.retainAll(allowedRegions);
        regions.remove(self.locality().region());
        for (String region : regions) {
            List<Member> there =
                    open.stream().filter(it -> !isLoader(it) || region(it).equals(region)).toList();
            chosen.addAll(
                    LinkSets.choose(
                            self.id(), new Locality(region, ""), there, MAX_LINKS_PER_REGION));
        }
        return chosen;
    }

    private static boolean isAffected(Member member, Evacuations evacuations) {
        return isLoader(member) && evacuations.affects(member.locality().dataCenter());
    }

    private static boolean isLoader(Member member) {
        return member.role() == Role.TARGET;
    }

    private static String region(Member member) {
        return member.locality().region();
    }
}
