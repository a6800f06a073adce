package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.eligibility.AllowedRegions;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Requests of routes and customers that may run in some regions only. */
class AllowedRegionsTest {
    private static final AllowedRegions KINGSTON = regions("kingston");
    private static final AllowedRegions MONTEGO = regions("montego");
    private static final String ADAPTER = "m0/a7";

    private final GatewayFixture mEntry = GatewayFixture.started();
    private long mRevision = 10;

    private static AllowedRegions regions(String... names) {
        return new AllowedRegions(Set.of(names));
    }

    private void allow(AllowedRegions route, AllowedRegions customer) {
        mEntry.settings(GatewayFixture.settings(++mRevision, 0, 0, route, customer));
    }

    private List<String> targets(long exchange) {
        return mEntry.attempts(exchange).stream().map(AttemptTerms::instance).toList();
    }

    private long ask() {
        return mEntry.submit("/ask/1");
    }

    private long askForAdapter() {
        return mEntry.submit("/ask/1", GatewayFixture.KEY, ADAPTER);
    }

    // Guards against the 72 requests of one trial that ran in a region that was not allowed.
    @Test
    void aRequestIsSentOnlyToRegionsThatBothItsRouteAndItsCustomerAllow() {
        assertThat(targets(ask())).containsExactly("model-1");
        allow(MONTEGO, AllowedRegions.ANY);
        assertThat(targets(ask())).containsExactly("model-2");
        allow(AllowedRegions.ANY, MONTEGO);
        assertThat(targets(ask())).containsExactly("model-2");
        allow(regions("kingston", "montego"), MONTEGO);
        assertThat(targets(ask())).containsExactly("model-2");
        allow(AllowedRegions.ANY, AllowedRegions.ANY);
        assertThat(targets(ask())).containsExactly("model-1");
    }

    // Guards against a request that is sent elsewhere, or kept, if no region is allowed.
    @Test
    void aRequestWithoutAnAllowedTargetIsRefusedAtOnceAsNotRun() {
        allow(KINGSTON, MONTEGO);

        long exchange = ask();

        Refusal refusal = mEntry.refusal(exchange).orElseThrow();
        assertThat(refusal.code()).isEqualTo(RefusalCode.UNAVAILABLE);
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refusal.retryAfterNanos()).isPositive();
        assertThat(refusal.detail()).contains("OUTSIDE_REGIONS=2");
        assertThat(targets(exchange)).isEmpty();
        assertThat(mEntry.mNode.dump(mEntry.mNowNanos).get("counts"))
                .asString()
                .contains("no_allowed_target=1");
    }

    // Guards against a retry by the lists that were in force when the request was admitted.
    @Test
    void aRetryUsesTheListsOfTheNewestConfiguration() {
        long exchange = ask();
        allow(AllowedRegions.ANY, KINGSTON);
        mEntry.fail(exchange, 1, false);

        assertThat(targets(exchange)).containsExactly("model-1");
        assertThat(mEntry.refusal(exchange)).isPresent();
    }

    // Guards against a restriction that ends for open requests because their route is removed.
    @Test
    void aRequestWhoseRouteIsRemovedKeepsTheListThatAppliedLast() {
        allow(KINGSTON, AllowedRegions.ANY);
        long exchange = ask();
        mEntry.settings(new GatewaySettings(++mRevision, List.of(), List.of(), List.of(), 64));
        mEntry.fail(exchange, 1, false);

        assertThat(targets(exchange)).containsExactly("model-1");
    }

    // Guards against an adapter that is loaded, and a wait that goes on, where nothing may run.
    @Test
    void aWaitForAnAdapterOutsideTheNewListIsChosenAnewAtOnce() {
        long exchange = askForAdapter();
        assertThat(mEntry.attempts(exchange)).isEmpty();
        allow(MONTEGO, AllowedRegions.ANY);
        mEntry.report("10.2.0.1", 1, ADAPTER);
        assertThat(mEntry.attempts(exchange)).isEmpty();
        mEntry.report("10.2.0.2", 1, ADAPTER);
        assertThat(targets(exchange)).containsExactly("model-2");

        long waiting = mEntry.submit("/ask/1", GatewayFixture.KEY, "m0/a8");
        allow(KINGSTON, MONTEGO);
        assertThat(mEntry.refusal(waiting)).isPresent();
    }

    // Guards against a refusal for lack of a connection to a loader where the request may run.
    @Test
    void anAdapterIsLoadedInAnAllowedRegionAlsoInAFleetTooLargeForAllConnections() {
        mEntry.putManyReplicas();
        allow(MONTEGO, AllowedRegions.ANY);
        mEntry.connectPublishedLoaders();
        mEntry.handle(new GatewayEvent.PeerDown(GatewayFixture.loader("10.2.0.2"), 1));

        long exchange = askForAdapter();
        assertThat(mEntry.refusal(exchange)).isEmpty();
        assertThat(mEntry.attempts(exchange)).isEmpty();
    }

    // Guards against a body that is sent after the configuration forbids it, and against a request
    // that loses an allowed target because another one was withdrawn from it.
    @Test
    void unsentAttemptsOutsideTheNewListAreWithdrawnAndOthersMayReturn() {
        long exchange = ask();
        allow(regions("kingston"), AllowedRegions.ANY);
        assertThat(withdrawals()).isZero();
        mEntry.handle(withdrawn(exchange, 1));
        assertThat(targets(exchange)).containsExactly("model-1", "model-1");

        allow(MONTEGO, AllowedRegions.ANY);
        assertThat(withdrawals()).isOne();
        mEntry.handle(withdrawn(exchange, 2));
        assertThat(targets(exchange)).containsExactly("model-1", "model-1", "model-2");
    }

    // Guards against a misspelt region that restricts more than its route without a sign.
    @Test
    void anUnknownRegionAllowsNothingAndIsLoggedOnceForEachConfiguration() {
        allow(regions("montego", "atlantis"), AllowedRegions.ANY);
        assertThat(targets(ask())).containsExactly("model-2");
        mEntry.advance(20);
        assertThat(unknownRegionLines()).isOne();
        allow(AllowedRegions.ANY, regions("atlantis"));
        assertThat(mEntry.refusal(ask())).isPresent();
        assertThat(unknownRegionLines()).isEqualTo(2);
        assertThat(mEntry.mNode.dump(mEntry.mNowNanos).get("counts"))
                .asString()
                .contains("region_unknown=2");
    }

    private static GatewayEvent withdrawn(long exchange, int attempt) {
        return new GatewayEvent.AttemptFailed(
                exchange, attempt, false, false, false, true, "withdrawn unsent");
    }

    private long withdrawals() {
        return mEntry.mEffects.stream()
                .filter(GatewayEffect.WithdrawWaiting.class::isInstance)
                .count();
    }

    private long unknownRegionLines() {
        return mEntry.mEffects.stream()
                .filter(it -> it.toString().contains("event=region_unknown"))
                .count();
    }

    // Guards against an unsent attempt that outlives its target's registration and is sent to a
    // region that a newer configuration excludes.
    @Test
    void anUnsentAttemptToADeregisteredTargetIsWithdrawnWhenItsRegionIsExcluded() {
        GatewayFixture entry = GatewayFixture.started();
        AttemptTerms terms = entry.attempts(entry.submit("/look/1")).get(0);
        entry.removeTarget(terms.instance());
        entry.settings(
                GatewayFixture.settings(
                        2, 0, 0, new AllowedRegions(Set.of("montego")), AllowedRegions.ANY));
        assertThat(entry.mEffects).contains(new GatewayEffect.WithdrawWaiting(terms.address()));
    }
}
