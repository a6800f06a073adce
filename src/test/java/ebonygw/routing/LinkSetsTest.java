package ebonygw.routing;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LinkSetsTest {
    private static final int LIMIT = 128;

    @Test
    void anEntryConnectsToAllTargetsOfASmallFleet() {
        List<Member> members = targets(6);
        assertThat(LinkSets.choose(new NodeId("e"), region(0), members, LIMIT)).hasSize(6);
    }

    @Test
    void connectionsAreBoundedPerServiceAndEveryTargetIsReached() {
        List<Member> members = targets(10_000);
        for (int entry = 0; entry < 900; entry++) {
            members.add(member("entry-" + entry, Role.ENTRY, entry));
        }
        Set<NodeId> reached = new HashSet<>();
        Map<Set<NodeId>, Integer> groups = new HashMap<>();
        for (int entry = 0; entry < 900; entry++) {
            Locality locality = region(entry % 3);
            Set<NodeId> targets =
                    LinkSets.choose(new NodeId("entry-" + entry), locality, members, LIMIT);
            assertThat(targets).hasSizeBetween(LIMIT / 4, LIMIT);
            reached.addAll(targets);
            groups.merge(targets, 1, Integer::sum);
        }
        assertThat(reached).hasSize(10_000);
        assertThat(groups.size()).isLessThanOrEqualTo(3 * 64);
    }

    @Test
    void anEntryInARegionWithFewTargetsAlsoConnectsToOtherRegions() {
        List<Member> members = targets(100);
        members.removeIf(target -> target.locality().equals(region(0)));
        Member local = member("local", Role.TARGET, 0);
        members.add(local);
        members.add(member("e", Role.ENTRY, 0));

        Set<NodeId> chosen = LinkSets.choose(new NodeId("e"), region(0), members, 24);

        assertThat(chosen).contains(local.id()).hasSizeBetween(7, 24);
    }

    private static Locality region(int number) {
        return new Locality("region-" + number, "a");
    }

    private static List<Member> targets(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member("target-" + i, Role.TARGET, i));
        }
        return members;
    }

    private static Member member(String name, Role role, int number) {
        return new Member(
                new NodeId(name), 1, role, MemberState.LIVE, region(number % 3), "", "model");
    }
}
