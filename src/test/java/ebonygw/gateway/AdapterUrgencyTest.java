package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AdapterUrgencyTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(100);
    private static final NodeId ENTRY = new NodeId("entry-1");

    private final AdapterDemands mDemands = new AdapterDemands();

    private static GatewayMessage.AdapterNeed need(
            String adapter, int punctual, int priority, long remainingMillis, String customer) {
        GatewayMessage.Urgency urgency =
                new GatewayMessage.Urgency(priority, remainingMillis, customer);
        return new GatewayMessage.AdapterNeed(adapter, 0, 9, punctual, 0, 0, Optional.of(urgency));
    }

    private List<String> missing() {
        return mDemands.missingAdapters(Map.of(), List.of());
    }

    /** Guards against chats that wait for the adapters of digests that have more requests. */
    @Test
    void theAdapterOfTheMostUrgentRequestIsLoadedFirst() {
        mDemands.onNeeds(
                ENTRY,
                List.of(need("m/digest", 9, 2, 100, "a"), need("m/chat", 1, 0, 700, "a")),
                NOW);

        assertThat(missing()).containsExactly("m/chat", "m/digest");
    }

    /** Guards against a missed objective although another request could have waited. */
    @Test
    void ofOnePriorityTheAdapterWithTheLeastTimeLeftIsLoadedFirst() {
        mDemands.onNeeds(ENTRY, List.of(need("m/fresh", 1, 0, 800, "a")), NOW);
        mDemands.onNeeds(
                new NodeId("entry-2"),
                List.of(need("m/due", 1, 0, 400, "a")),
                NOW + TimeUnit.MILLISECONDS.toNanos(300));

        assertThat(missing()).containsExactly("m/due", "m/fresh");
    }

    /** Guards against a customer with many adapters that takes all loads of a replica. */
    @Test
    void loadsAlternateBetweenCustomersOfOnePriority() {
        List<GatewayMessage.AdapterNeed> needs = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            needs.add(need("m/large-" + i, 1, 0, 100 + i, "large"));
        }
        needs.add(need("m/small", 1, 0, 700, "small"));
        mDemands.onNeeds(ENTRY, needs, NOW);

        String first = missing().get(0);
        mDemands.onLoadOrdered(first, NOW);

        assertThat(first).isEqualTo("m/large-0");
        assertThat(mDemands.missingAdapters(Map.of(), List.of(first)).get(0)).isEqualTo("m/small");
    }

    /** Guards against an adapter that is never loaded while more urgent ones keep arriving. */
    @Test
    void theAdapterOfALateRequestIsLoadedByTheFourthLoad() {
        List<GatewayMessage.AdapterNeed> needs = new ArrayList<>();
        needs.add(need("m/digest", 0, 2, 7_000, "a"));
        mDemands.onNeeds(ENTRY, needs, NOW - 1);
        for (int i = 0; i < 9; i++) {
            needs.add(need("m/chat-" + i, 1, 0, 500, "a"));
        }
        mDemands.onNeeds(ENTRY, needs, NOW);
        List<String> loaded = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            loaded.add(mDemands.missingAdapters(Map.of(), loaded).get(0));
            mDemands.onLoadOrdered(loaded.get(i), NOW);
        }

        assertThat(loaded).contains("m/digest");
        assertThat(loaded.get(0)).startsWith("m/chat");
    }
}
