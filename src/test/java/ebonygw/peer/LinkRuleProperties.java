package ebonygw.peer;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.NodeId;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;

class LinkRuleProperties {
    private static final NodeId A = new NodeId("a");

    @Property(seed = "4")
    void exactlyOneOfAPairDecides(@ForAll @AlphaChars @StringLength(min = 1) String other) {
        NodeId peer = new NodeId("a" + other);
        assertThat(LinkRule.decides(A, peer)).isTrue();
        assertThat(LinkRule.decides(peer, A)).isFalse();
    }

    @Property(seed = "5")
    void aGreaterIncarnationReplacesTheLinkAndAnEqualOneOnlyIfThePeerDecides(
            @ForAll @IntRange(max = 9) int up,
            @ForAll @IntRange(max = 9) int other,
            @ForAll boolean decides) {
        boolean expected = other > up || (other == up && !decides);
        assertThat(LinkRule.replaces(decides, up, other)).isEqualTo(expected);
    }

    @Property(seed = "6")
    void theBackoffDelayGrowsWithinItsBounds(
            @ForAll @IntRange(max = 1_000) int failures, @ForAll long seed) {
        long wait = Backoff.waitNanos(failures, 50, 1_000, new Random(seed));
        assertThat(wait).isBetween(25L, 1_000L);
        if (failures >= 6) {
            assertThat(wait).isGreaterThanOrEqualTo(500L);
        }
    }
}
