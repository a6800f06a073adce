package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.http.BodySummary;
import ebonygw.http.Framing;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class GatewayNodeTest {
    @Test
    void withoutConfigurationARequestIsRefusedAsNotReadyWithARetryTime() {
        GatewayFixture entry = new GatewayFixture();

        long exchange = entry.submit("/look/1");

        Refusal refusal = entry.refusal(exchange).orElseThrow();
        assertThat(refusal.code()).isEqualTo(RefusalCode.NOT_READY);
        assertThat(refusal.retryAfterNanos()).isPositive();
        assertThat(entry.mNode.ready()).isFalse();
    }

    @Test
    void aRequestWithoutAMatchingRouteIsRefused() {
        GatewayFixture entry = GatewayFixture.started();

        long exchange = entry.submit("/unknown/1");

        assertThat(entry.refusal(exchange).orElseThrow().code()).isEqualTo(RefusalCode.NOT_FOUND);
    }

    @Test
    void anEntryOfALargeFleetIsLinkedToTheLoadersOfItsRegion() {
        GatewayFixture entry = GatewayFixture.started();
        for (int i = 0; i < 40; i++) {
            boolean local = i % 4 == 0;
            entry.putTarget(
                    GatewayFixture.replica(
                            "replica-" + i,
                            (local ? "10.3.0." : "10.4.0.") + i + ":80",
                            local ? GatewayFixture.KINGSTON : GatewayFixture.MONTEGO));
        }

        List<GatewayEffect.Links> links =
                entry.mEffects.stream()
                        .filter(GatewayEffect.Links.class::isInstance)
                        .map(GatewayEffect.Links.class::cast)
                        .toList();
        assertThat(links.get(links.size() - 1).members())
                .hasSize(11)
                .allSatisfy(
                        loader -> assertThat(loader.locality()).isEqualTo(GatewayFixture.KINGSTON));
    }

    @Test
    void aReplicaWhoseLoaderIsNotLinkedServesTheAdaptersOfItsRegistration() {
        GatewayFixture entry = GatewayFixture.started();
        entry.putTarget(
                new TargetRecord(
                        "remote",
                        1,
                        "model",
                        "10.4.0.1:80",
                        GatewayFixture.MONTEGO,
                        96,
                        false,
                        Map.of("m0", 1L),
                        Map.of("m0/a9", 1L)));

        long exchange = entry.submit("/ask/1", GatewayFixture.KEY, "m0/a9");

        assertThat(entry.attempts(exchange).get(0).instance()).isEqualTo("remote");
    }

    @Test
    void anUnknownKeyIsRefused() {
        GatewayFixture entry = GatewayFixture.started();

        long exchange = entry.submit("/look/1", "another", "");

        assertThat(entry.refusal(exchange).orElseThrow().code())
                .isEqualTo(RefusalCode.UNAUTHENTICATED);
        assertThat(entry.attempts(exchange)).isEmpty();
    }

    @Test
    void aRequestThatMayHaveRunIsNotSentAgain() {
        GatewayFixture entry = GatewayFixture.started();
        long exchange = entry.submit("/book/1");

        entry.fail(exchange, 1, true);

        assertThat(entry.attempts(exchange)).hasSize(1);
        assertThat(entry.refusal(exchange).orElseThrow().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void aRequestThatDidNotRunIsSentToAnotherTarget() {
        GatewayFixture entry = GatewayFixture.started();
        long exchange = entry.submit("/book/1");

        entry.fail(exchange, 1, false);

        assertThat(entry.attempts(exchange)).hasSize(2);
        assertThat(entry.attempts(exchange).get(1).instance())
                .isNotEqualTo(entry.attempts(exchange).get(0).instance());
    }

    @Test
    void anIdempotentRequestRunsOnNoMoreTargetsThanItsRouteAllows() {
        GatewayFixture entry = GatewayFixture.started();
        entry.putTarget(GatewayFixture.plain("desk-3", "10.1.0.3:80", GatewayFixture.KINGSTON));
        long exchange = entry.submit("/look/1");

        entry.fail(exchange, 1, true);
        entry.fail(exchange, 2, true);

        assertThat(entry.attempts(exchange)).hasSize(2);
        assertThat(entry.refusal(exchange)).isPresent();
    }

    @Test
    void aRejectedRequestWithoutAnotherTargetIsRefusedAsNotRun() {
        GatewayFixture entry = GatewayFixture.started();
        entry.removeTarget("desk-2");
        long exchange = entry.submit("/book/1");

        entry.handle(new GatewayEvent.ResponseHeld(exchange, 1, 503, false, Optional.empty()));

        Refusal refusal = entry.refusal(exchange).orElseThrow();
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refusal.code().status()).isEqualTo(503);
        assertThat(refusal.retryAfterNanos()).isPositive();
    }

    @Test
    void aFailureResponseIsRelayedIfThereIsNoFurtherAttempt() {
        GatewayFixture entry = GatewayFixture.started();
        long exchange = entry.submit("/book/1");

        entry.handle(new GatewayEvent.ResponseHeld(exchange, 1, 500, true, Optional.empty()));

        assertThat(entry.mEffects).contains(new GatewayEffect.RelayHeldResponse(exchange));
        assertThat(entry.refusal(exchange)).isEmpty();
    }

    @Test
    void aRequestOverItsCustomersRateIsRefusedWithARetryTime() {
        GatewayFixture entry = GatewayFixture.started();
        entry.settings(GatewayFixture.settings(2, 100, 200));
        long first = entry.submit("/look/1");

        long second = entry.submit("/look/1");

        assertThat(entry.attempts(first)).hasSize(1);
        Refusal refusal = entry.refusal(second).orElseThrow();
        assertThat(refusal.code()).isEqualTo(RefusalCode.OVER_RATE);
        assertThat(refusal.retryAfterNanos()).isBetween(1_900_000_000L, 2_100_000_000L);
    }

    @Test
    void aRequestThatDidNotRunIsNotCharged() {
        GatewayFixture entry = GatewayFixture.started();
        entry.settings(GatewayFixture.settings(2, 100, 200));
        entry.removeTarget("desk-2");
        long first = entry.submit("/book/1");
        entry.fail(first, 1, false);

        entry.advance(150);
        long second = entry.submit("/book/1");

        assertThat(entry.attempts(second)).hasSize(1);
    }

    @Test
    void aRequestWaitsForItsAdapterAndIsSentToTheReplicaThatLoadsIt() {
        GatewayFixture entry = GatewayFixture.started();

        long exchange = entry.submit("/ask/1", GatewayFixture.KEY, "m0/a7");

        assertThat(entry.attempts(exchange)).isEmpty();
        GatewayEffect.Send needs =
                entry.mEffects.stream()
                        .filter(GatewayEffect.Send.class::isInstance)
                        .map(GatewayEffect.Send.class::cast)
                        .filter(it -> it.message() instanceof GatewayMessage.AdapterNeeds)
                        .findFirst()
                        .orElseThrow();
        String host = needs.to().name().split(":")[0];
        entry.report(host, 1, "m0/a7");
        assertThat(entry.attempts(exchange)).hasSize(1);
        assertThat(entry.attempts(exchange).get(0).address()).startsWith(host);
    }

    @Test
    void aRequestThatWaitsTooLongForAnAdapterSlotIsRefusedWithARetryTime() {
        GatewayFixture entry = GatewayFixture.started();
        entry.reportOpenSlots("10.2.0.1", -3);
        entry.reportOpenSlots("10.2.0.2", -3);
        long exchange = entry.submit("/ask/1", GatewayFixture.KEY, "m0/a7");

        entry.advance(590);
        assertThat(entry.refusal(exchange)).isEmpty();
        entry.advance(20);

        Refusal refusal = entry.refusal(exchange).orElseThrow();
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refusal.retryAfterNanos()).isEqualTo(300_000_000L);
    }

    @Test
    void aRequestWaitsOnPastItsObjectiveIfAnAdapterSlotIsOpen() {
        GatewayFixture entry = GatewayFixture.started();
        entry.reportOpenSlots("10.2.0.1", 1);
        entry.reportOpenSlots("10.2.0.2", 1);
        long exchange = entry.submit("/ask/1", GatewayFixture.KEY, "m0/a7");

        entry.advance(1_500);

        assertThat(entry.refusal(exchange)).isEmpty();
    }

    @Test
    void aRequestWhoseAdapterIsNotLoadedByTheDeadlineIsRefusedAsNotRun() {
        GatewayFixture entry = GatewayFixture.started();
        long exchange = entry.submit("/ask/1", GatewayFixture.KEY, "m0/a7");

        entry.advance(1_990);

        assertThat(entry.refusal(exchange).orElseThrow().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void aDisconnectOfTheCallerCancelsTheAttempt() {
        GatewayFixture entry = GatewayFixture.started();
        long exchange = entry.submit("/book/1");

        entry.handle(new GatewayEvent.CallerDisconnected(exchange));

        assertThat(entry.mEffects).contains(new GatewayEffect.Cancel(exchange));
    }

    @Test
    void aDrainingTargetReceivesNoNewRequests() {
        GatewayFixture entry = GatewayFixture.started();
        TargetRecord desk = GatewayFixture.plain("desk-1", "10.1.0.1:80", GatewayFixture.KINGSTON);
        entry.putTarget(
                new TargetRecord(
                        desk.id(),
                        desk.startedAtMillis(),
                        desk.service(),
                        desk.address(),
                        desk.locality(),
                        desk.slots(),
                        true,
                        desk.models(),
                        desk.adapters()));

        for (int i = 0; i < 10; i++) {
            long exchange = entry.submit("/book/1");
            assertThat(entry.attempts(exchange).get(0).instance()).isEqualTo("desk-2");
        }
    }

    @Test
    void anOlderConfigurationIsIgnored() {
        GatewayFixture entry = GatewayFixture.started();
        entry.settings(GatewayFixture.settings(5, 0, 0));

        entry.settings(GatewayFixture.settings(4, 0, 0));

        assertThat(entry.mNode.settings().revision()).isEqualTo(5);
    }

    @Test
    void targetsStayUsableDuringAnOutageOfTheKeyValueService() {
        GatewayFixture entry = GatewayFixture.started();
        entry.setStoreUp(false);
        entry.advance(5_000);

        long exchange = entry.submit("/book/1");

        assertThat(entry.attempts(exchange)).hasSize(1);
        assertThat(entry.mNode.ready()).isTrue();
    }

    @Test
    void aStoppingEntryIsNotReadyAndExitsOnceNoRequestIsOpen() {
        GatewayFixture entry = GatewayFixture.started();
        long exchange = entry.submit("/book/1");

        entry.handle(new GatewayEvent.StopRequested());

        assertThat(entry.mNode.ready()).isFalse();
        entry.advance(3_500);
        assertThat(entry.mEffects).doesNotContain(new GatewayEffect.Exit());
        entry.handle(new GatewayEvent.ResponseStarted(exchange, 1, 200, Optional.empty()));
        entry.handle(
                new GatewayEvent.ResponseEnded(exchange, 1, new BodySummary(Framing.LENGTH, 1)));
        entry.advance(100);
        assertThat(entry.mEffects).contains(new GatewayEffect.Exit());
    }

    @Test
    void aRequestAfterTheAcceptTimeOfAStopIsRefusedAsStopping() {
        GatewayFixture entry = GatewayFixture.started();
        entry.handle(new GatewayEvent.StopRequested());
        long accepted = entry.submit("/book/1");
        entry.advance(3_100);

        long refused = entry.submit("/book/1");

        assertThat(entry.attempts(accepted)).hasSize(1);
        assertThat(entry.attempts(refused)).isEmpty();
        assertThat(entry.refusal(refused).orElseThrow().code()).isEqualTo(RefusalCode.STOPPING);
    }

    @Test
    void aRefusalOverTheRateRefundsNothing() {
        GatewayFixture entry = GatewayFixture.started();
        entry.settings(GatewayFixture.settings(2, 100, 200));
        entry.submit("/look/1");

        for (int i = 0; i < 5; i++) {
            long exchange = entry.submit("/look/1");
            assertThat(entry.refusal(exchange)).isPresent();
            assertThat(entry.attempts(exchange)).isEmpty();
        }
    }

    @Test
    void aRequestThatCannotStartBeforeItsDeadlineIsRefusedImmediately() {
        GatewayFixture entry = GatewayFixture.started();
        entry.removeTarget("model-2");
        entry.report("10.2.0.1", 1, "m0/a7");
        for (int i = 0; i < 100; i++) {
            entry.submit("/ask/1", GatewayFixture.KEY, "m0/a7");
        }

        long exchange = entry.submit("/ask/1", GatewayFixture.KEY, "m0/a7");

        Refusal refusal = entry.refusal(exchange).orElseThrow();
        assertThat(refusal.code()).isEqualTo(RefusalCode.OVERLOADED);
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refusal.retryAfterNanos()).isPositive();
    }

    @Test
    void entriesTogetherOpenFewerConnectionsThanATargetAccepts() {
        GatewayFixture entry = GatewayFixture.started();

        long exchange = entry.submit("/book/1");

        assertThat(entry.attempts(exchange).get(0).maxConnections()).isEqualTo(88);
    }

    @Test
    void retriesStayWithinTheRetryBudget() {
        GatewayFixture entry = GatewayFixture.started();
        for (int i = 3; i <= 6; i++) {
            entry.putTarget(
                    GatewayFixture.plain(
                            "desk-" + i, "10.1.0." + i + ":80", GatewayFixture.KINGSTON));
        }
        int requests = 66;
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            long exchange = entry.submit("/book/1");
            for (int attempt = 1; attempt <= entry.attempts(exchange).size(); attempt++) {
                entry.handle(
                        new GatewayEvent.ResponseHeld(
                                exchange, attempt, 503, false, Optional.empty()));
            }
            retries += entry.attempts(exchange).size() - 1;
            entry.advance(150);
        }

        assertThat(retries).isBetween(1, (int) (0.2 * requests + 56));
    }
}
