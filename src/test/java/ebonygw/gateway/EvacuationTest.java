package ebonygw.gateway;

import static ebonygw.gateway.GatewayFixture.KINGSTON;
import static ebonygw.gateway.GatewayFixture.MONTEGO;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.eligibility.AllowedRegions;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Operators evacuate a data centre, and end that. */
class EvacuationTest {
    private static final int REQUESTS = 200;

    private final GatewayFixture mEntry = GatewayFixture.started();

    private String target(long exchange) {
        List<AttemptTerms> attempts = mEntry.attempts(exchange);
        return attempts.isEmpty() ? "" : attempts.get(attempts.size() - 1).instance();
    }

    private String ask() {
        return target(mEntry.submit("/ask/1"));
    }

    /** Returns the fraction of requests, each of which ends at once, that a target gets. */
    private double fraction(String target) {
        int hits = 0;
        for (int i = 0; i < REQUESTS; i++) {
            long exchange = mEntry.submit("/ask/1");
            hits += target(exchange).equals(target) ? 1 : 0;
            mEntry.handle(new GatewayEvent.CallerDisconnected(exchange));
        }
        return (double) hits / REQUESTS;
    }

    // Guards against work for a data centre that is being shut down, whichever its target.
    @Test
    void anEvacuatedDataCenterGetsNothingNewWhateverIsRegisteredThere() {
        mEntry.evacuate(KINGSTON);
        mEntry.putTarget(GatewayFixture.replica("model-3", "10.2.0.3:80", KINGSTON));
        assertThat(ask()).isEqualTo("model-2");
        assertThat(mEntry.refusal(mEntry.submit("/look/1")).orElseThrow().detail())
                .contains("EVACUATED=2");

        mEntry.evacuate(MONTEGO);
        assertThat(ask()).isEmpty();
        assertThat(mEntry.mNode.dump(mEntry.mNowNanos)).containsEntry("targetsEvacuated", 5L);
    }

    // Guards against waits that last until their deadline, and against retries that they would use.
    @Test
    void waitsAndUnsentAttemptsLeaveAnEvacuatedDataCenterWithoutARetry() {
        long waiting = mEntry.submit("/ask/1", GatewayFixture.KEY, "m0/a7");
        long running = mEntry.submit("/ask/1");
        Object budgets = mEntry.mNode.dump(mEntry.mNowNanos).get("retryBudgets");
        mEntry.evacuate(KINGSTON);

        assertThat(mEntry.mEffects).contains(new GatewayEffect.WithdrawWaiting("10.2.0.1:80"));
        mEntry.report("10.2.0.1", 1, "m0/a7");
        assertThat(target(waiting)).isEmpty();
        mEntry.report("10.2.0.2", 1, "m0/a7");
        assertThat(target(waiting)).isEqualTo("model-2");
        assertThat(mEntry.attempts(running)).hasSize(1);
        assertThat(mEntry.refusal(running)).isEmpty();
        mEntry.handle(
                new GatewayEvent.AttemptFailed(running, 1, false, false, false, true, "withdrawn"));
        assertThat(target(running)).isEqualTo("model-2");
        assertThat(mEntry.mNode.dump(mEntry.mNowNanos).get("retryBudgets")).isEqualTo(budgets);
    }

    // Guards against a refusal because only loaders of the evacuated data centre are connected.
    @Test
    void anAdapterIsLoadedInAnotherRegionWhileTheWholeOwnRegionIsEvacuated() {
        mEntry.putManyReplicas();
        mEntry.evacuate(KINGSTON);
        mEntry.connectPublishedLoaders();
        mEntry.handle(new GatewayEvent.PeerDown(GatewayFixture.loader("10.2.0.2"), 1));

        long waiting = mEntry.submit("/ask/1", GatewayFixture.KEY, "m0/a7");
        assertThat(mEntry.refusal(waiting)).isEmpty();
        assertThat(mEntry.attempts(waiting)).isEmpty();
        mEntry.endEvacuation(KINGSTON);
        mEntry.tick();
        assertThat(mEntry.publishedLoaders()).anyMatch(it -> it.locality().equals(MONTEGO));
        mEntry.advance(5_000);
        assertThat(mEntry.publishedLoaders()).noneMatch(it -> it.locality().equals(MONTEGO));
    }

    // Guards against an evacuation that is forgotten with the service, or outlives its key.
    @Test
    void anEvacuationLastsThroughAnOutageAndEndsWithItsKey() {
        mEntry.evacuate(KINGSTON);
        mEntry.setStoreUp(false);
        mEntry.advance(10_000);
        assertThat(ask()).isEqualTo("model-2");
        assertThat(mEntry.mNode.dump(mEntry.mNowNanos).get("targets"))
                .asString()
                .contains("reason=EVACUATED", "sinceMillis=10000", "ageMillis=10000");

        mEntry.setStoreUp(true);
        mEntry.advance(1_000);
        mEntry.advance(1_000);
        assertThat(ask()).isEqualTo("model-2");
        mEntry.endEvacuation(KINGSTON);
        mEntry.advance(3_000);
        mEntry.advance(6_000);
        assertThat(ask()).isEqualTo("model-1");
    }

    // Guards against changes that are lost because no watch reports them.
    @Test
    void aReloadOfAllKeysEndsAndStartsEvacuations() {
        mEntry.evacuate(KINGSTON);
        mEntry.compact();
        mEntry.endEvacuation(KINGSTON);
        mEntry.evacuate(MONTEGO);
        assertThat(ask()).isEqualTo("model-2");
        mEntry.tick();
        assertThat(ask()).isEqualTo("model-1");
    }

    // Guards against an entry that is ready before it knows what was evacuated before its start.
    @Test
    void anEntryThatStartsKnowsTheEvacuationsOnceItIsReady() {
        GatewayFixture started = new GatewayFixture();
        started.settings(GatewayFixture.settings(1, 0, 0));
        started.evacuate(KINGSTON);
        started.putTarget(GatewayFixture.replica("model-1", "10.2.0.1:80", KINGSTON));
        started.advance(1_000);
        started.advance(1_000);

        assertThat(started.mNode.ready()).isTrue();
        assertThat(started.attempts(started.submit("/ask/1"))).isEmpty();
    }

    // Guards against a data centre that gets all its work back at the same moment.
    @Test
    void aDataCenterGetsItsWorkBackGradually() {
        mEntry.evacuate(KINGSTON);
        mEntry.advance(20);
        assertThat(fraction("model-1")).isZero();
        mEntry.endEvacuation(KINGSTON);

        assertThat(fraction("model-1")).isBetween(0.01, 0.25);
        mEntry.advance(2_500);
        assertThat(fraction("model-1")).isBetween(0.3, 0.7);
        mEntry.advance(2_500);
        assertThat(fraction("model-1")).isEqualTo(1);
    }

    // Guards against any order of changes that lets a request reach a place that is forbidden.
    @Test
    void noHistoryOfChangesSendsARequestToAForbiddenTarget() {
        for (int seed = 1; seed <= 20; seed++) {
            checkHistory(new SplittableRandom(seed), GatewayFixture.started());
        }
    }

    private static void checkHistory(SplittableRandom random, GatewayFixture entry) {
        Map<String, String> regions = Map.of("model-1", "kingston", "model-2", "montego");
        String allowed = "";
        boolean evacuated = false;
        for (int step = 0; step < 150; step++) {
            int seen = entry.mEffects.size();
            switch (random.nextInt(6)) {
                case 0 -> {
                    allowed =
                            random.nextBoolean()
                                    ? ""
                                    : random.nextBoolean() ? "kingston" : "montego";
                    Set<String> names = allowed.isEmpty() ? Set.of() : Set.of(allowed);
                    AllowedRegions list = new AllowedRegions(names);
                    entry.settings(
                            GatewayFixture.settings(100 + step, 0, 0, list, AllowedRegions.ANY));
                }
                case 1 -> {
                    evacuated = !evacuated;
                    if (evacuated) {
                        entry.evacuate(KINGSTON);
                    } else {
                        entry.endEvacuation(KINGSTON);
                    }
                }
                case 2 -> entry.report("10.2.0.1", step, "m0/a" + random.nextInt(3));
                case 3 -> entry.fail(1 + random.nextInt(step + 1), 1, false);
                case 4 -> entry.advance(random.nextInt(200));
                default -> entry.submit("/ask/1", GatewayFixture.KEY, "m0/a" + random.nextInt(3));
            }
            for (GatewayEffect effect : entry.mEffects.subList(seen, entry.mEffects.size())) {
                if (effect instanceof GatewayEffect.Attempt attempt) {
                    String region = regions.get(attempt.terms().instance());
                    assertThat(allowed).isIn("", region);
                    assertThat(evacuated && region.equals("kingston")).isFalse();
                }
            }
        }
    }

    // Guards against an unsent attempt that outlives its target's registration and is sent to an
    // evacuated data centre when a connection becomes free.
    @Test
    void anUnsentAttemptToADeregisteredTargetIsWithdrawnWhenItsDataCenterIsEvacuated() {
        GatewayFixture entry = GatewayFixture.started();
        AttemptTerms terms = entry.attempts(entry.submit("/look/1")).get(0);
        entry.removeTarget(terms.instance());
        entry.evacuate(GatewayFixture.KINGSTON);
        assertThat(entry.mEffects).contains(new GatewayEffect.WithdrawWaiting(terms.address()));
    }
}
