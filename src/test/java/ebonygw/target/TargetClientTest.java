package ebonygw.target;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.TargetEffect;
import ebonygw.TargetEvent;
import ebonygw.http.HttpClientOptions;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Payload;
import ebonygw.request.RefusalCode;
import ebonygw.request.RequestId;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import ebonygw.standin.EngineStandIn;
import ebonygw.standin.EngineStandInOptions;
import ebonygw.standin.PlainServiceStandIn;
import ebonygw.standin.WeightStoreStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TargetClientTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final AdapterVersion KILTS = new AdapterVersion("kilts", "1");
    private static final EngineStandInOptions FAST =
            EngineStandInOptions.local().withSpeed(0, 8).withTimes(0, SECOND_NANOS);

    private final BlockingQueue<TargetEvent> mEvents = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> mOpened = new ArrayList<>();
    private EngineStandIn mEngine;
    private TargetEvent.ResponseEnded mLastEnd;
    private TargetClient mClient;

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable opened : mOpened) {
            opened.close();
        }
    }

    @Test
    void aCompletionRunsOnTheExactVersionAndReportsItsTokens() throws Exception {
        startEngine(FAST);
        loadAdapter();
        sendRequest(1, "{\"model\":\"kilts\",\"prompt\":\"sett\",\"priority\":9}", false);

        assertThat(((TargetEvent.ResponseStarted) nextEvent()).status()).isEqualTo(200);
        String response = readBody();
        assertThat(response).contains("\"model\":\"kilts@1\"", "sett", "e1-7-1");
        assertThat(mLastEnd.tokensUsed()).isEqualTo(9);
        String received = mEngine.recordedRequests().get(1).text();
        assertThat(received).contains("x-customer=atlas", "x-request-id=e1-7-1", "\"priority\":-3");
        assertThat(received).doesNotContain("\"priority\":9");
    }

    @Test
    void aStreamedResponseEndsWithUsageAndDoneMarker() throws Exception {
        startEngine(FAST);
        loadAdapter();
        sendRequest(1, "{\"prompt\":\"sett\",\"max_tokens\":3}", true);

        assertThat(nextEvent()).isInstanceOf(TargetEvent.ResponseStarted.class);
        assertThat(readBody()).contains("token3", "total_tokens").endsWith("data: [DONE]\n\n");
        assertThat(mLastEnd.tokensUsed()).isEqualTo(4);
    }

    @Test
    void truncatedResponsesMayHaveRun() throws Exception {
        startEngine(FAST);
        loadAdapter();
        for (boolean streamed : new boolean[] {false, true}) {
            mEngine.truncateNextResponses(1);
            sendRequest(1, "{\"prompt\":\"sett\"}", streamed);
            assertThat(nextEvent()).isInstanceOf(TargetEvent.ResponseStarted.class);
            assertFailed(RefusalCode.BROKEN_ANSWER, Verdict.MAY_HAVE_RUN);
        }
    }

    @Test
    void requestsWhoseConnectionIsLostBeforeTheResponseMayHaveRun() throws Exception {
        startEngine(FAST);
        loadAdapter();
        mEngine.dropNextResponses(1);
        sendRequest(1, "{\"prompt\":\"sett\"}", false);
        assertFailed(RefusalCode.LOST, Verdict.MAY_HAVE_RUN);
        assertThat(mEngine.runsByRequestId()).containsEntry("e1-7-1", 1);
    }

    @Test
    void requestsWhoseConnectionIsRefusedAreNotRun() throws Exception {
        createClient(TargetClientOptions.of(unusedAddress()));
        sendRequest(1, "{\"prompt\":\"sett\"}", false);
        assertFailed(RefusalCode.UNAVAILABLE, Verdict.NOT_RUN);
    }

    @Test
    void aResponseThatTheAdapterIsNotResidentIsNotForwarded() throws Exception {
        startEngine(FAST);
        sendRequest(1, "{\"prompt\":\"sett\"}", false);
        assertFailed(RefusalCode.BAD_ANSWER, Verdict.MAY_HAVE_RUN);
    }

    @Test
    void aRequestPastItsDeadlineMayHaveRunAndIsCancelledAtTheEngine() throws Exception {
        startEngine(FAST.withSpeed(1, 100));
        loadAdapter();
        mClient.apply(
                new TargetEffect.SendRequest(1, work("{\"prompt\":\"s\"}", false), 100_000_000L));
        assertFailed(RefusalCode.DEADLINE, Verdict.MAY_HAVE_RUN);
        while (mEngine.cancelledRequests() == 0) {
            Thread.onSpinWait();
        }
    }

    @Test
    void aRequestCancelledWhileItWaitsForAConnectionIsNotRun() throws Exception {
        startEngine(FAST.withSpeed(1, 100));
        loadAdapter();
        HttpClientOptions oneConnection =
                new HttpClientOptions(mEngine.address(), 1, 8, SECOND_NANOS);
        createClient(
                new TargetClientOptions(
                        oneConnection, SECOND_NANOS, SECOND_NANOS, SECOND_NANOS, "a/"));
        sendRequest(1, "{\"prompt\":\"sett\"}", true);
        assertThat(nextEvent()).isInstanceOf(TargetEvent.ResponseStarted.class);
        sendRequest(2, "{\"prompt\":\"sett\"}", true);
        mClient.apply(new TargetEffect.CancelRequest(2));
        assertFailed(RefusalCode.CANCELLED, Verdict.NOT_RUN);
        mClient.apply(new TargetEffect.CancelRequest(1));
        assertFailed(RefusalCode.CANCELLED, Verdict.MAY_HAVE_RUN);
    }

    @Test
    void pausingAResponseStopsTheEngineAndResumingContinuesIt() throws Exception {
        int tokens = 300_000;
        startEngine(FAST.withSpeed(1_000_000, tokens));
        loadAdapter();
        sendRequest(1, "{\"prompt\":\"sett\",\"max_tokens\":" + tokens + "}", true);
        assertThat(nextEvent()).isInstanceOf(TargetEvent.ResponseStarted.class);
        mClient.apply(new TargetEffect.SetResponseReading(1, false));
        long previousTokens = -1;
        while (previousTokens != mEngine.generatedTokens()) {
            previousTokens = mEngine.generatedTokens();
            TimeUnit.MILLISECONDS.sleep(300);
        }
        assertThat(previousTokens).isLessThan(tokens);
        mClient.apply(new TargetEffect.SetResponseReading(1, true));
        while (mEngine.generatedTokens() < tokens) {
            assertThat(nextEvent()).isInstanceOf(TargetEvent.ResponsePart.class);
        }
    }

    @Test
    void ordersReachTheEngineAndOutdatedFencingTokensAreRefused() throws Exception {
        startEngine(FAST);
        loadAdapter();
        mClient.apply(new TargetEffect.Unload(KILTS, 4));
        TargetEvent.OrderDone fenced = (TargetEvent.OrderDone) nextEvent();
        assertThat(fenced.succeeded()).isFalse();
        assertThat(fenced.detail()).isEqualTo("status 409");
        assertThat(mEngine.fencedOrders()).isEqualTo(1);

        mEngine.failNextLoads(1);
        AdapterVersion other = new AdapterVersion("sporrans", "1");
        mClient.apply(new TargetEffect.Load(other, 6));
        assertThat(nextEvent())
                .isEqualTo(new TargetEvent.OrderDone(other, true, false, "status 500"));
    }

    @Test
    void unloadingAnAdapterInUseIsCountedByTheEngine() throws Exception {
        startEngine(FAST.withSpeed(1, 100));
        loadAdapter();
        sendRequest(1, "{\"prompt\":\"sett\"}", true);
        assertThat(nextEvent()).isInstanceOf(TargetEvent.ResponseStarted.class);
        mClient.apply(new TargetEffect.Unload(KILTS, 5));
        TargetEvent event = nextEvent();
        while (!(event instanceof TargetEvent.OrderDone)) {
            event = nextEvent();
        }
        assertThat(mEngine.requestsAbortedByUnload()).isEqualTo(1);
    }

    @Test
    void loadReportsArePolledAndAStoppedEngineIsReportedAsUnreachable() throws Exception {
        startEngine(FAST);
        loadAdapter();
        mClient.start();
        TargetEvent.EngineReported report = (TargetEvent.EngineReported) nextEvent();
        assertThat(report.resident()).containsExactly(KILTS);
        assertThat(report.slots()).isEqualTo(8);
        assertThat(report.startedAtNanos()).isPositive();
        mEngine.stop();
        TargetEvent event = nextEvent();
        while (event instanceof TargetEvent.EngineReported) {
            event = nextEvent();
        }
        assertThat(event).isEqualTo(new TargetEvent.EngineUnreachable());
    }

    @Test
    void anEngineRestartBreaksResponsesAndUnloadsAdapters() throws Exception {
        startEngine(FAST.withSpeed(1, 100));
        loadAdapter();
        sendRequest(1, "{\"prompt\":\"sett\"}", true);
        assertThat(nextEvent()).isInstanceOf(TargetEvent.ResponseStarted.class);
        mEngine.restart();
        assertFailed(RefusalCode.BROKEN_ANSWER, Verdict.MAY_HAVE_RUN);
        assertThat(mEngine.resident()).isEmpty();
    }

    @Test
    void plainServiceResponsesAreForwardedUnchangedAndLostBookingsMayHaveRun() throws Exception {
        PlainServiceStandIn service = new PlainServiceStandIn("127.0.0.1", 0, 0);
        service.start();
        mOpened.add(service::stop);
        mClient = new PlainServiceClient(TargetClientOptions.of(service.address()), mEvents::add);
        mOpened.add(mClient);
        Payload payload =
                new Payload(
                        "PUT",
                        "/book?day=1",
                        Map.of("idempotency-key", "b1"),
                        ByteString.copyFromUtf8("cloth"));
        mClient.apply(
                new TargetEffect.SendRequest(1, work(payload, Optional.empty()), SECOND_NANOS));
        assertThat(nextEvent()).isInstanceOf(TargetEvent.ResponseStarted.class);
        assertThat(readBody()).isEqualTo("{\"bookings\":1,\"bytes\":5}");
        assertThat(mLastEnd).isEqualTo(new TargetEvent.ResponseEnded(1, -1));
        assertThat(service.recordedRequests().get(0).target()).isEqualTo("/book?day=1");

        service.dropNextResponses(1);
        mClient.apply(
                new TargetEffect.SendRequest(2, work(payload, Optional.empty()), SECOND_NANOS));
        assertFailed(RefusalCode.LOST, Verdict.MAY_HAVE_RUN);
        assertThat(service.bookingsByKey()).containsEntry("b1", 2);
    }

    private void assertFailed(RefusalCode code, Verdict verdict) throws InterruptedException {
        TargetEvent event = nextEvent();
        while (event instanceof TargetEvent.ResponsePart) {
            event = nextEvent();
        }
        assertThat(event).isInstanceOf(TargetEvent.RequestFailed.class);
        TargetEvent.RequestFailed failed = (TargetEvent.RequestFailed) event;
        assertThat(failed.refusal().code()).isEqualTo(code);
        assertThat(failed.refusal().verdict()).isEqualTo(verdict);
    }

    private void createClient(TargetClientOptions options) throws IOException {
        mClient = new EngineClient(options, mEvents::add);
        mOpened.add(mClient);
    }

    private void loadAdapter() throws InterruptedException {
        mClient.apply(new TargetEffect.Load(KILTS, 5));
        assertThat(nextEvent()).isEqualTo(new TargetEvent.OrderDone(KILTS, true, true, ""));
    }

    private TargetEvent nextEvent() throws InterruptedException {
        TargetEvent event = mEvents.poll(20, TimeUnit.SECONDS);
        assertThat(event).isNotNull();
        return event;
    }

    private String readBody() throws InterruptedException {
        StringBuilder body = new StringBuilder();
        TargetEvent event = nextEvent();
        while (event instanceof TargetEvent.ResponsePart part) {
            body.append(part.data().toStringUtf8());
            event = nextEvent();
        }
        assertThat(event).isInstanceOf(TargetEvent.ResponseEnded.class);
        mLastEnd = (TargetEvent.ResponseEnded) event;
        return body.toString();
    }

    private void sendRequest(long correlationId, String json, boolean streamed) {
        String body = streamed ? json.replaceFirst("\\{", "{\"stream\":true,") : json;
        mClient.apply(
                new TargetEffect.SendRequest(
                        correlationId, work(body, streamed), 20 * SECOND_NANOS));
    }

    private void startEngine(EngineStandInOptions options) throws IOException {
        mEngine = new EngineStandIn(options, new WeightStoreStandIn(0, 0, 8));
        mEngine.start();
        mOpened.add(mEngine::stop);
        createClient(TargetClientOptions.of(mEngine.address()).withReportInterval(10_000_000L));
    }

    private static InetSocketAddress unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private static Work work(String json, boolean streamed) {
        Payload payload =
                new Payload(
                        "POST",
                        "/v1/completions",
                        Map.of("content-type", "application/json"),
                        ByteString.copyFromUtf8(json));
        Work work = work(payload, Optional.of(KILTS));
        return new Work(
                work.id(),
                1,
                "atlas",
                "k1",
                "completions",
                work.adapter(),
                true,
                3,
                1,
                16,
                1,
                streamed,
                payload);
    }

    private static Work work(Payload payload, Optional<AdapterVersion> adapter) {
        RequestId id = new RequestId(new NodeId("e1"), 7, 1);
        return new Work(id, 1, "atlas", "k1", "orders", adapter, true, 3, 1, 16, 1, false, payload);
    }
}
