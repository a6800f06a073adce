package ebonygw.peer;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.NodeId;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class LinkRuleProperties {
    private static final NodeId A = new NodeId("a");
    private static final NodeId B = new NodeId("b");

    @Property(seed = "4")
    void bothEndsKeepTheSameOfTwoLinksWhateverTheOrder(
            @ForAll boolean firstSeenHere, @ForAll boolean firstSeenThere) {
        boolean keepsOwnAtA = keepsLinkOpenedByA(A, B, firstSeenHere, true);
        boolean keepsOwnAtB = keepsLinkOpenedByA(B, A, firstSeenThere, false);
        assertThat(keepsOwnAtA).isEqualTo(keepsOwnAtB).isTrue();
    }

    @Property(seed = "5")
    void theGreaterIncarnationWins(
            @ForAll @IntRange(max = 9) int established,
            @ForAll @IntRange(max = 9) int candidate,
            @ForAll boolean here) {
        boolean replaces =
                LinkRule.replaces(
                        A,
                        B,
                        new LinkRule.End(established, here),
                        new LinkRule.End(candidate, here));
        assertThat(replaces).isEqualTo(candidate >= established);
    }

    @Property(seed = "6")
    void theWaitBetweenAttemptsGrowsWithinItsBounds(
            @ForAll @IntRange(max = 1_000) int failures, @ForAll long seed) {
        long wait = Backoff.waitNanos(failures, 50, 1_000, new Random(seed));
        assertThat(wait).isBetween(25L, 1_000L);
        if (failures >= 6) {
            assertThat(wait).isGreaterThanOrEqualTo(500L);
        }
    }

    private static boolean keepsLinkOpenedByA(
            NodeId self, NodeId peer, boolean openedByFirst, boolean selfIsA) {
        LinkRule.End byA = new LinkRule.End(1, selfIsA);
        LinkRule.End byB = new LinkRule.End(1, !selfIsA);
        if (openedByFirst) {
            return !LinkRule.replaces(self, peer, byA, byB);
        }
        return LinkRule.replaces(self, peer, byB, byA);
    }
}
