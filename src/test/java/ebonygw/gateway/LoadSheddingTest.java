package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class LoadSheddingTest {
    private static final String KEY = GatewayFixture.KEY;

    private final GatewayFixture mEntry = GatewayFixture.startedWithLoadShedding();

    LoadSheddingTest() {
        GatewaySettings settings = GatewayFixture.settings(1, 0, 0);
        List<GatewayRoute> routes = new ArrayList<>();
        routes.add(GatewayFixture.route("look", "/look/", RequestKind.IDEMPOTENT, "desk"));
        GatewayRoute ask = settings.route("host.example", "/ask/").orElseThrow();
        for (int priority : new int[] {0, 2}) {
            String prefix = "/ask/" + priority + "/";
            routes.add(
                    new GatewayRoute(
                            prefix,
                            ask.host(),
                            prefix,
                            ask.kind(),
                            ask.services(),
                            TimeUnit.SECONDS.toNanos(10),
                            ask.objectiveNanos(),
                            2,
                            priority,
                            false,
                            false));
        }
        List<GatewayService> services =
                Stream.of("desk", "model").map(it -> settings.service(it).orElseThrow()).toList();
        mEntry.settings(new GatewaySettings(2, routes, services, settings.customers(), 64));
    }

    /** Returns the exchanges in the order in which they were first sent. */
    private List<Long> sent(List<Long> exchanges) {
        return mEntry.mEffects.stream()
                .filter(GatewayEffect.Attempt.class::isInstance)
                .map(effect -> ((GatewayEffect.Attempt) effect).exchange())
                .filter(exchanges::contains)
                .distinct()
                .toList();
    }

    private List<Long> submit(int count, String path) {
        return Stream.generate(() -> mEntry.submit(path)).limit(count).toList();
    }

    /** Guards against chats sent after digests that arrived before them. */
    @Test
    void whenAnAdapterBecomesResidentTheMostUrgentRequestIsSentFirst() {
        mEntry.removeTarget("model-2");
        long digest = mEntry.submit("/ask/2/x", KEY, "m0/a7");
        long chat = mEntry.submit("/ask/0/x", KEY, "m0/a7");

        mEntry.report("10.2.0.1", 1, "m0/a7");

        assertThat(sent(List.of(digest, chat))).containsExactly(chat, digest);
    }

    /** Guards against loaders that do not learn how urgent the waiting requests are. */
    @Test
    void theLoaderIsToldTheUrgencyOfTheRequestsThatWait() {
        mEntry.submit("/ask/0/x", KEY, "m0/a7");
        mEntry.advance(50);

        assertThat(mEntry.mEffects)
                .filteredOn(GatewayEffect.Send.class::isInstance)
                .map(effect -> ((GatewayEffect.Send) effect).message())
                .filteredOn(GatewayMessage.AdapterNeeds.class::isInstance)
                .flatMap(message -> ((GatewayMessage.AdapterNeeds) message).needs())
                .map(GatewayMessage.AdapterNeed::urgency)
                .contains(Optional.of(new GatewayMessage.Urgency(0, 250, "a")));
    }

    /** Guards against rejections, which cost retries, when both plain targets have enough. */
    @Test
    void requestsBeyondTheWindowsOfPlainTargetsWaitAndAreSentAsResponsesEnd() {
        List<Long> running = submit(12, "/look/1");
        List<Long> held = submit(3, "/look/1");
        assertThat(sent(held)).isEmpty();
        mEntry.handle(new GatewayEvent.CallerDisconnected(held.get(0)));

        mEntry.handle(new GatewayEvent.CallerDisconnected(running.get(0)));
        mEntry.handle(new GatewayEvent.CallerDisconnected(running.get(1)));

        assertThat(sent(held)).isEqualTo(held.subList(1, 3));
    }

    /** Guards against a retry spent on each rejection while the only target is full. */
    @Test
    void aRequestWaitsWhileTheOnlyOtherTargetHasRejectedAnotherOne() {
        mEntry.removeTarget("desk-2");
        long rejected = mEntry.submit("/look/1");
        mEntry.handle(new GatewayEvent.ResponseHeld(rejected, 1, 503, false, Optional.empty()));
        long waiting = mEntry.submit("/look/2");
        assertThat(mEntry.refusal(waiting)).isEmpty();

        mEntry.advance(110);

        assertThat(mEntry.attempts(waiting)).hasSize(1);
    }

    /** Guards against waits until the deadline in vain, and callers that return together. */
    @Test
    void aRequestThatWouldWaitTooLongIsRefusedAtOnceWithARetryTimeOfItsOwn() {
        submit(100, "/look/1");
        for (int i = 0; i < 20; i++) {
            mEntry.advance(50);
        }

        List<Refusal> refusals =
                submit(5, "/look/1").stream()
                        .map(exchange -> mEntry.refusal(exchange).orElseThrow())
                        .toList();

        assertThat(refusals)
                .allMatch(it -> it.code() == RefusalCode.OVERLOADED)
                .allMatch(it -> it.verdict() == Verdict.NOT_RUN)
                .extracting(Refusal::retryAfterNanos)
                .doesNotHaveDuplicates()
                .allMatch(it -> it > 0 && it <= TimeUnit.SECONDS.toNanos(2) / 3);
    }

    /** Guards against responses past the deadline after a freeze of the process. */
    @Test
    void whatExpiredDuringAFreezeIsRefusedWhenTheEntryResumes() {
        submit(12, "/look/1");
        long held = mEntry.submit("/look/1");

        mEntry.advance(5_000);

        assertThat(mEntry.refusal(held).orElseThrow().code()).isEqualTo(RefusalCode.DEADLINE);
        assertThat(mEntry.attempts(held)).isEmpty();
    }

    /** Guards against held requests that get no response when the process exits. */
    @Test
    void heldRequestsAreRefusedAsNotRunBeforeAStoppingEntryExits() {
        mEntry.handle(new GatewayEvent.StopRequested());
        mEntry.advance(2_900);
        long early = mEntry.submit("/ask/2/x", KEY, "m0/a7");
        mEntry.advance(3_500);
        assertThat(mEntry.refusal(early)).isEmpty();
        mEntry.advance(200);

        assertThat(mEntry.refusal(early).orElseThrow().code()).isEqualTo(RefusalCode.STOPPING);
    }

    /** Guards against requests that wait in vain for targets that are gone. */
    @Test
    void requestsHeldForATargetThatIsGoneAreSentToAnotherOneOrRefused() {
        mEntry.removeTarget("desk-2");
        submit(6, "/look/1");
        List<Long> held = submit(7, "/look/1");

        mEntry.putTarget(GatewayFixture.plain("desk-3", "10.1.0.3:80", GatewayFixture.KINGSTON));
        mEntry.removeTarget("desk-1");
        mEntry.tick();
        assertThat(sent(held)).isEqualTo(held.subList(0, 6));
        assertThat(mEntry.refusal(held.get(6))).isEmpty();
        mEntry.removeTarget("desk-3");
        mEntry.tick();

        assertThat(mEntry.refusal(held.get(6)).orElseThrow().code())
                .isEqualTo(RefusalCode.UNAVAILABLE);
    }
}
