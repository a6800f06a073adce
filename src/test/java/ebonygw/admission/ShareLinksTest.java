package ebonygw.admission;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ShareLinksTest {
    private static final int LARGE_FLEET = 700;
    private static final int MAX_CHOSEN = 100;
    private static final int MAX_MEAN_LINKS = 200;

    @Test
    void inASmallFleetEveryEntryLinksToAllOthers() {
        List<Member> entries = entries(ShareLinks.FULL_MESH);

        assertThat(ShareLinks.choose(entries.get(0), entries)).hasSize(ShareLinks.FULL_MESH - 1);
    }

    @Test
    void inALargeFleetLinksPerEntryAreBounded() {
        List<Member> entries = entries(LARGE_FLEET);
        Map<NodeId, Integer> links = new HashMap<>();
        for (Member entry : entries) {
            Set<NodeId> chosen = ShareLinks.choose(entry, entries);
            assertThat(chosen).doesNotContain(entry.id()).hasSizeLessThanOrEqualTo(MAX_CHOSEN);
            links.merge(entry.id(), chosen.size(), Integer::sum);
            chosen.forEach(other -> links.merge(other, 1, Integer::sum));
        }

        double mean = links.values().stream().mapToInt(Integer::intValue).average().orElseThrow();
        assertThat(mean).isLessThan(MAX_MEAN_LINKS);
    }

    @Test
    void goneProcessesAndTargetsAreExcluded() {
        List<Member> members = new ArrayList<>(entries(3));
        members.set(1, members.get(1).withState(MemberState.GONE));
        members.add(member("target-1", Role.TARGET, 0));

        assertThat(ShareLinks.choose(members.get(0), members)).containsExactly(members.get(2).id());
    }

    private static List<Member> entries(int count) {
        List<Member> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(member("entry-" + i, Role.ENTRY, i));
        }
        return entries;
    }

    private static Member member(String name, Role role, int index) {
        Locality locality = new Locality("region-" + index % 5, "dc-" + index % 17);
        return new Member(new NodeId(name), 1, role, MemberState.LIVE, locality, "127.0.0.1:1", "");
    }
}
