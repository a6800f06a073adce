package ebonygw.membership;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class NeighboursTest {
    private static final int REGIONS = 3;

    @Test
    void neighboursPerProcessGrowWithTheLogarithmOfTheFleet() {
        for (int size : new int[] {12, 300, 3_000}) {
            List<Member> members = members(size);
            double logarithm = Math.ceil(Math.log(size) / Math.log(2)) + 1;
            for (Member member : members.subList(0, Math.min(size, 60))) {
                int max = (int) logarithm + Neighbours.BRIDGES_PER_REGION * REGIONS;
                assertThat(Neighbours.choose(member, members)).hasSizeLessThanOrEqualTo(max);
            }
        }
    }

    @Test
    void updateReachesEveryProcessInALogarithmicNumberOfHops() {
        List<Member> members = members(300);
        Map<NodeId, Set<NodeId>> links = links(members);
        Map<NodeId, Integer> hops = new HashMap<>();
        Deque<NodeId> queue = new ArrayDeque<>();
        hops.put(members.get(0).id(), 0);
        queue.add(members.get(0).id());
        while (!queue.isEmpty()) {
            NodeId current = queue.poll();
            for (NodeId next : links.get(current)) {
                if (hops.putIfAbsent(next, hops.get(current) + 1) == null) {
                    queue.add(next);
                }
            }
        }
        assertThat(hops).hasSize(members.size());
        assertThat(hops.values()).allMatch(count -> count <= 2 * Math.log(300) / Math.log(2));
    }

    @Test
    void onlyTheBridgesOfEachRegionLinkToOtherRegions() {
        List<Member> members = members(300);
        long linkedToOtherRegions =
                members.stream()
                        .filter(
                                member ->
                                        Neighbours.choose(member, members).stream()
                                                .anyMatch(
                                                        id -> !region(id).equals(regionOf(member))))
                        .count();
        assertThat(linkedToOtherRegions).isEqualTo((long) REGIONS * Neighbours.BRIDGES_PER_REGION);
    }

    private static Map<NodeId, Set<NodeId>> links(List<Member> members) {
        Map<NodeId, Set<NodeId>> links = new HashMap<>();
        members.forEach(member -> links.put(member.id(), new HashSet<>()));
        for (Member member : members) {
            for (NodeId other : Neighbours.choose(member, members)) {
                links.get(member.id()).add(other);
                links.get(other).add(member.id());
            }
        }
        return links;
    }

    private static List<Member> members(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(
                    new Member(
                            new NodeId("p" + i + "-r" + i % REGIONS),
                            1,
                            Role.ENTRY,
                            MemberState.LIVE,
                            new Locality("r" + i % REGIONS, "a"),
                            "10.0.0.1:1",
                            ""));
        }
        return members;
    }

    private static String region(NodeId id) {
        return id.name().substring(id.name().indexOf('-') + 1);
    }

    private static String regionOf(Member member) {
        return member.locality().region();
    }
}
