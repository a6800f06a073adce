package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.NodeId;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class AdapterDemandsTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long NOW = 100 * SECOND;
    private static final NodeId ENTRY = new NodeId("entry-1");
    private static final NodeId OTHER = new NodeId("entry-2");

    private final AdapterDemands mDemands = new AdapterDemands();

    private static GatewayMessage.AdapterNeed running(String adapter, int sent) {
        return new GatewayMessage.AdapterNeed(adapter, 0, 0, 0, 1, sent);
    }

    private static GatewayMessage.AdapterNeed waiting(String adapter, long version, int requests) {
        return new GatewayMessage.AdapterNeed(adapter, version, requests, requests, 0, 0);
    }

    private void onNeeds(NodeId entry, long nowNanos, GatewayMessage.AdapterNeed... needs) {
        mDemands.onNeeds(entry, List.of(needs), nowNanos);
    }

    @Test
    void adaptersWithMoreWaitingRequestsAreLoadedFirstThenThoseWaitedForLongest() {
        onNeeds(ENTRY, NOW, waiting("m/b", 0, 1));
        onNeeds(ENTRY, NOW + 1, waiting("m/b", 0, 1), waiting("m/a", 0, 1), waiting("m/c", 0, 1));
        onNeeds(OTHER, NOW + 2, waiting("m/c", 0, 1));

        List<String> missing = mDemands.missingAdapters(Map.of(), List.of());

        assertThat(missing).startsWith("m/c", "m/b").containsExactlyInAnyOrder("m/a", "m/b", "m/c");
    }

    @Test
    void adaptersWhoseRequestsCanStillMeetTheObjectiveAreLoadedFirst() {
        onNeeds(
                ENTRY,
                NOW,
                new GatewayMessage.AdapterNeed("m/late", 0, 3, 0, 0, 0),
                waiting("m/fresh", 0, 1));

        assertThat(mDemands.missingAdapters(Map.of(), List.of()))
                .containsExactly("m/fresh", "m/late");
    }

    @Test
    void anAdapterThatNoRequestWaitsForAnyLongerIsNotLoaded() {
        onNeeds(ENTRY, NOW, waiting("m/a", 0, 1));
        onNeeds(ENTRY, NOW + MILLI);

        assertThat(mDemands.missingAdapters(Map.of(), List.of())).isEmpty();
    }

    @Test
    void needsOfADisconnectedEntryAreDiscarded() {
        onNeeds(ENTRY, NOW, waiting("m/a", 0, 1));
        onNeeds(OTHER, NOW, waiting("m/b", 0, 1));

        mDemands.onEntryDisconnected(ENTRY, NOW + MILLI);

        assertThat(mDemands.missingAdapters(Map.of(), List.of())).containsExactly("m/b");
    }

    @Test
    void aResidentAdapterOfAnOlderVersionCountsAsMissing() {
        onNeeds(ENTRY, NOW, waiting("m/a", 2, 1));

        assertThat(mDemands.missingAdapters(Map.of("m/a", 1L), List.of())).containsExactly("m/a");
        assertThat(mDemands.missingAdapters(Map.of("m/a", 2L), List.of())).isEmpty();
    }

    @Test
    void anEvictedAdapterIsNotLoadedAgainUnlessARequestWaitsForIt() {
        onNeeds(ENTRY, NOW, running("m/a", 3));
        mDemands.onResident(Map.of("m/a", 1L), NOW);
        mDemands.onResident(Map.of(), NOW + SECOND);

        assertThat(mDemands.missingAdapters(Map.of(), List.of())).isEmpty();
    }

    @Test
    void aNewlyLoadedAdapterIsNotEvictedBeforeItsFirstUseCanBeReported() {
        mDemands.onResident(Map.of("m/a", 1L), NOW);

        assertThat(mDemands.evictionCandidate(Map.of("m/a", 1L), NOW + 100 * MILLI)).isEmpty();
        assertThat(mDemands.evictionCandidate(Map.of("m/a", 1L), NOW + 200 * MILLI))
                .contains("m/a");
    }

    @Test
    void theLeastUsedIdleAdapterIsEvictedAndNeverOneInUse() {
        Map<String, Long> resident = Map.of("m/often", 1L, "m/rare", 1L, "m/busy", 1L);
        mDemands.onResident(resident, NOW);
        onNeeds(ENTRY, NOW, running("m/often", 9), running("m/rare", 1), running("m/busy", 0));
        onNeeds(ENTRY, NOW + SECOND, running("m/busy", 0));

        assertThat(mDemands.evictionCandidate(resident, NOW + 2 * SECOND)).contains("m/rare");
    }

    @Test
    void anAdapterForWhichARequestStillWaitsIsNotEvicted() {
        mDemands.onResident(Map.of("m/a", 1L), NOW);
        onNeeds(ENTRY, NOW, waiting("m/a", 0, 1));

        assertThat(mDemands.evictionCandidate(Map.of("m/a", 1L), NOW + SECOND)).isEmpty();
    }

    @Test
    void openSlotsAreFreeOrIdleSlotsLessAdaptersThatWait() {
        Map<String, Long> resident = Map.of("m/idle", 1L, "m/busy", 1L);
        mDemands.onResident(resident, NOW);
        onNeeds(ENTRY, NOW, running("m/busy", 1), waiting("m/a", 0, 1), waiting("m/b", 0, 2));
        long later = NOW + SECOND;

        assertThat(mDemands.openSlots(resident, List.of("m/a"), 8, later)).isEqualTo(5);
        assertThat(mDemands.openSlots(resident, List.of("m/a"), 2, later)).isEqualTo(-1);
    }
}
