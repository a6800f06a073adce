package ebonygw.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.protocol.NodeId;
import ebonygw.request.CallerRequest;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerServerTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final String AUTH = "Authorization: Bearer " + SmallSettings.KEY + "\r\n";
    private static final String PROMPT = "{\"model\":\"kilts@1\",\"prompt\":\"sett\"}";
    private static final String STREAM =
            "{\"model\":\"kilts\",\"prompt\":\"sett\",\"stream\":true,\"max_tokens\":5}";
    private static final CallerOptions OPTIONS =
            CallerOptions.of(new NodeId("e1"), 7, "127.0.0.1", 0);

    private final BlockingQueue<EntryEvent> mEvents = new LinkedBlockingQueue<>();
    private boolean mReady = true;
    private CallerServer mServer;

    @AfterEach
    void stop() throws InterruptedException {
        if (mServer != null) {
            mServer.stop(0);
        }
    }

    @Test
    void aCompleteResponseReachesItsCaller() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            respond(nextRequest().exchangeId(), "{\"text\":\"pleats\"}");

            RawCaller.Response response = caller.readResponse();
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("{\"text\":\"pleats\"}");
            assertThat(response.head()).contains("x-request-id: e1-7-1");
        }
    }

    @Test
    void aStreamedResponseArrivesPartByPartAndEndsWithItsTerminator() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, STREAM));
            long exchange = nextRequest().exchangeId();
            start(exchange);
            part(exchange, "data: 1\n\n");
            assertThat(caller.readUntil("data: 1\n\n")).contains("chunked");
            assertThat(nextEvent()).isEqualTo(new EntryEvent.ResponsePartsConsumed(exchange, 1));
            part(exchange, "data: 2\n\n");
            mServer.apply(new EntryEffect.ResponseEnded(exchange));
            assertThat(caller.readUntil("0\r\n\r\n")).contains("data: 2");
        }
    }

    @Test
    void aConnectionServesConsecutiveRequests() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            for (int i = 0; i < 3; i++) {
                caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
                respond(nextRequest().exchangeId(), "turn " + i);
                assertThat(caller.readResponse().body()).isEqualTo("turn " + i);
            }
        }
    }

    @Test
    void aPipelinedRequestIsServedAfterThePreviousOne() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long first = nextRequest().exchangeId();
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            respond(first, "first");
            assertThat(caller.readResponse().body()).isEqualTo("first");
            respond(nextRequest().exchangeId(), "second");
            assertThat(caller.readResponse().body()).isEqualTo("second");
        }
    }

    @Test
    void anAbortedStreamEndsWithAnErrorEventAndWithoutItsTerminator() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, STREAM));
            long exchange = nextRequest().exchangeId();
            start(exchange);
            part(exchange, "data: 1\n\n");
            mServer.apply(
                    new EntryEffect.ResponseAborted(
                            exchange, Refusal.mayHaveRun(RefusalCode.BROKEN_ANSWER, "cut")));
            String rest = caller.readToEnd();
            assertThat(rest).contains("event: error", "broken_answer", "may_have_run");
            assertThat(rest).doesNotEndWith("0\r\n\r\n");
        }
    }

    @Test
    void anAbortedResponseThatIsNotStreamedClosesItsConnection() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long exchange = nextRequest().exchangeId();
            start(exchange);
            part(exchange, "{\"text\":");
            mServer.apply(
                    new EntryEffect.ResponseAborted(
                            exchange, Refusal.mayHaveRun(RefusalCode.BROKEN_ANSWER, "cut")));
            assertThatThrownBy(caller::readResponse).isInstanceOf(IOException.class);
        }
    }

    @Test
    void aCallerThatDisconnectsIsReportedOnce() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long exchange = nextRequest().exchangeId();
            caller.close();
            assertThat(nextEvent()).isEqualTo(new EntryEvent.CallerDisconnected(exchange));
            respond(exchange, "late");
            assertNoOtherEvents();
        }
    }

    @Test
    void aCallerThatDisconnectsAfterItsResponseIsNotReported() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            respond(nextRequest().exchangeId(), "done");
            caller.readResponse();
        }
        assertNoOtherEvents();
    }

    @Test
    void refusalsReportWhetherTheRequestMayHaveRunAndWhenToRetry() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            Refusal refusal =
                    new Refusal(
                            RefusalCode.OVER_RATE, Verdict.NOT_RUN, "too fast", SECOND_NANOS + 1);
            mServer.apply(new EntryEffect.Refused(nextRequest().exchangeId(), refusal));

            RawCaller.Response response = caller.readResponse();
            assertThat(response.status()).isEqualTo(429);
            assertThat(response.head()).contains("retry-after: 2");
            assertThat(response.body())
                    .contains("\"over_rate\"", "\"not_run\"", "\"request_id\":\"e1-7-1\"");
        }
    }

    @Test
    void aSlowBodyIsRefusedWithStatus408() throws Exception {
        CallerOptions options = OPTIONS.withTimeouts(50_000_000L, SECOND_NANOS);
        try (RawCaller caller = caller(options)) {
            caller.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{");
            RawCaller.Response response = caller.readResponse();
            assertThat(response.status()).isEqualTo(408);
            assertThat(response.body()).contains("\"deadline\"", "\"not_run\"");
            assertThat(caller.readToEnd()).isEmpty();
            assertThat(mServer.openRequests()).isZero();
        }
    }

    @Test
    void aLongBodyIsRefusedWithStatus413() throws Exception {
        try (RawCaller caller = caller(OPTIONS.withLimits(8, 64, 1024))) {
            caller.send(RawCaller.post("/v1/completions", AUTH, "x".repeat(65)));
            assertThat(caller.readResponse().status()).isEqualTo(413);
        }
    }

    @Test
    void aLongChunkedBodyIsRefusedWithStatus413() throws Exception {
        try (RawCaller caller = caller(OPTIONS.withLimits(8, 64, 1024))) {
            caller.send(
                    "POST /v1/completions HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "50\r\n"
                            + "x".repeat(0x50)
                            + "\r\n");
            assertThat(caller.readResponse().status()).isEqualTo(413);
        }
    }

    @Test
    void requestsBeyondTheLimitAreRefusedWithStatus503() throws Exception {
        try (RawCaller first = caller(OPTIONS.withLimits(1, 1024, 1024));
                RawCaller second = new RawCaller(mServer.address())) {
            first.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long exchange = nextRequest().exchangeId();
            second.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            assertThat(second.readResponse().status()).isEqualTo(503);
            respond(exchange, "ok");
            assertThat(first.readResponse().status()).isEqualTo(200);
        }
    }

    @Test
    void invalidRequestsAreRefusedWithoutAnEvent() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            assertRefused(caller, "/v1/completions", AUTH, "{\"model\":", 400);
            assertRefused(caller, "/v1/completions", AUTH, "[]", 400);
            assertRefused(caller, "/v1/completions", AUTH, "{\"prompt\":\"x\"}", 400);
            assertRefused(
                    caller, "/v1/completions", AUTH, PROMPT.replace("{", "{\"model\":\"b\","), 400);
            assertRefused(caller, "/v1/completions", AUTH, PROMPT.replace("{", "{\"n\":0,"), 400);
            assertRefused(
                    caller,
                    "/v1/completions",
                    AUTH,
                    PROMPT.replace("sett", SmallSettings.KEY),
                    400);
            assertRefused(caller, "/v1/completions", "Authorization: Basic x\r\n", PROMPT, 401);
            assertRefused(
                    caller, "/v1/completions", AUTH + "x-request-timeout-ms: 0\r\n", PROMPT, 400);
            assertRefused(caller, "/v1/nothing", AUTH, PROMPT, 404);
            assertRefused(caller, "/nothing", AUTH, PROMPT, 404);
            assertRefused(caller, "/routes/drafts/other", AUTH, PROMPT, 404);
        }
        assertNoOtherEvents();
    }

    @Test
    void malformedHttpClosesTheConnectionWithoutAStackTrace() throws Exception {
        caller(OPTIONS).close();
        String longField = "GET /live HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(20_000) + "\r\n\r\n";
        for (String text : List.of("GARBAGE\r\n\r\n", "GET\0 / HTTP/1.1\r\n\r\n", longField)) {
            try (RawCaller caller = new RawCaller(mServer.address())) {
                caller.send(text);
                String rest = caller.readToEnd();
                assertThat(rest).doesNotContain("Exception", "at io.", "200 OK");
            }
        }
    }

    @Test
    void anIncompleteHeaderClosesTheConnectionAfterItsTimeout() throws Exception {
        try (RawCaller caller = caller(OPTIONS.withTimeouts(50_000_000L, SECOND_NANOS))) {
            caller.send("POST /v1/completions HTTP/1.1\r\nHost:");
            assertThat(caller.readToEnd()).isEmpty();
        }
    }

    @Test
    void aStoppingProcessClosesConnectionsAfterTheirCurrentResponse() throws Exception {
        mReady = false;
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            respond(nextRequest().exchangeId(), "last");
            RawCaller.Response response = caller.readResponse();
            assertThat(response.head()).contains("connection: close");
            assertThat(response.body()).isEqualTo("last");
            assertThat(caller.readToEnd()).isEmpty();
        }
    }

    @Test
    void aStoppingProcessTerminatesChunkedResponses() throws Exception {
        mReady = false;
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long exchange = nextRequest().exchangeId();
            start(exchange);
            part(exchange, "first");
            String head = caller.readUntil("first\r\n");
            assertThat(head.toLowerCase(Locale.ROOT)).contains("transfer-encoding: chunked");
            mServer.apply(new EntryEffect.ResponseEnded(exchange));
            assertThat(caller.readToEnd()).isEqualTo("0\r\n\r\n");
        }
    }

    @Test
    void theKeyIsHashedAndNoCredentialIsForwarded() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            String headers =
                    AUTH
                            + "Cookie: s=1\r\nX-Api-Key: other\r\nAccept: a/b\r\n"
                            + "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Kept: yes\r\n";
            caller.send(RawCaller.post("/routes/orders/look/up?id=3", headers, "body"));
            EntryEvent.RequestReceived received = nextRequest();
            CallerRequest request = received.request();
            assertThat(request.keyHash()).isEqualTo(SmallSettings.KEY_HASH);
            assertThat(request.route()).isEqualTo("orders");
            assertThat(request.model()).isEmpty();
            assertThat(request.payload().path()).isEqualTo("/look/up?id=3");
            assertThat(request.payload().body().toStringUtf8()).isEqualTo("body");
            assertThat(request.payload().headers())
                    .containsOnly(Map.entry("accept", "a/b"), Map.entry("x-kept", "yes"));
            respond(received.exchangeId(), "ok");
            caller.readResponse();
        }
    }

    @Test
    void aChatRequestIsParsedWithItsLimits() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            String body =
                    "{\"model\":\"kilts\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],"
                            + "\"max_tokens\":10,\"n\":3}";
            String headers = AUTH + "x-request-timeout-ms: 250\r\n";
            caller.send(RawCaller.post("/routes/drafts/v1/chat/completions", headers, body));
            EntryEvent.RequestReceived received = nextRequest();
            assertThat(received.request().route()).isEqualTo("drafts");
            assertThat(received.request().model()).isEqualTo("kilts");
            assertThat(received.request().maxTokens()).isEqualTo(30);
            assertThat(received.request().promptTokens()).isPositive();
            assertThat(received.request().prefixHash()).isNotZero();
            assertThat(received.request().timeoutNanos()).isEqualTo(250_000_000L);
            respond(received.exchangeId(), "ok");
            caller.readResponse();
        }
    }

    @Test
    void partsThatASlowCallerHasNotReadAreNotReportedAsConsumed() throws Exception {
        int parts = 400;
        String data = "x".repeat(64 * 1024);
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, STREAM));
            long exchange = nextRequest().exchangeId();
            start(exchange);
            part(exchange, data);
            EntryEvent event = nextEvent();
            assertThat(event).isInstanceOf(EntryEvent.ResponsePartsConsumed.class);
            for (int i = 1; i < parts; i++) {
                part(exchange, data);
            }
            mServer.apply(
                    new EntryEffect.ResponseAborted(
                            exchange, Refusal.mayHaveRun(RefusalCode.LOST, "mark")));
            int consumed = 0;
            while (event != null) {
                consumed += ((EntryEvent.ResponsePartsConsumed) event).parts();
                event = mEvents.poll(200, TimeUnit.MILLISECONDS);
            }
            assertThat(consumed).isLessThan(parts);
            assertThat(caller.readToEnd().length()).isGreaterThan(parts * data.length());
        }
    }

    @Test
    void aCallerThatReadsNothingIsDisconnected() throws Exception {
        try (RawCaller caller = caller(OPTIONS.withTimeouts(SECOND_NANOS, 100_000_000L))) {
            caller.send(RawCaller.post("/v1/completions", AUTH, STREAM));
            long exchange = nextRequest().exchangeId();
            start(exchange);
            part(exchange, "x".repeat(64 * 1024 * 1024));
            assertThat(nextEvent()).isEqualTo(new EntryEvent.CallerDisconnected(exchange));
            assertThat(mServer.openRequests()).isZero();
        }
    }

    @Test
    void modelsAreListedForAValidKeyOnly() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send("GET /v1/models HTTP/1.1\r\nHost: h\r\n" + AUTH + "\r\n");
            assertThat(caller.readResponse().body()).contains("\"id\":\"kilts\"", "[\"1\",\"2\"]");
            caller.send("GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(caller.readResponse().status()).isEqualTo(401);
        }
    }

    @Test
    void readinessFollowsTheProcessAndLivenessDoesNot() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            assertThat(status(caller, "/ready")).isEqualTo(200);
            mReady = false;
            assertThat(status(caller, "/ready")).isEqualTo(503);
            assertThat(status(caller, "/live")).isEqualTo(200);
        }
    }

    /** Sends a marker request and asserts that its event is next, apart from consumed parts. */
    private void assertNoOtherEvents() throws Exception {
        try (RawCaller marker = new RawCaller(mServer.address())) {
            marker.send(RawCaller.post("/routes/marker/", AUTH, ""));
            assertThat(nextRequest().request().route()).isEqualTo("marker");
        }
    }

    private void assertRefused(
            RawCaller caller, String path, String headers, String body, int status)
            throws IOException {
        caller.send(RawCaller.post(path, headers, body));
        RawCaller.Response response = caller.readResponse();
        assertThat(response.status()).as(response.body()).isEqualTo(status);
        assertThat(response.body())
                .contains("\"not_run\"")
                .doesNotContain("Exception", "at ebonygw");
    }

    private RawCaller caller(CallerOptions options) throws IOException {
        CallerServerCallbacks callbacks =
                new CallerServerCallbacks(mEvents::add, () -> mReady, SmallSettings::new);
        mServer = new CallerServer(options, callbacks);
        mServer.start();
        return new RawCaller(mServer.address());
    }

    private EntryEvent nextEvent() throws InterruptedException {
        EntryEvent event = mEvents.poll(20, TimeUnit.SECONDS);
        assertThat(event).isNotNull();
        return event;
    }

    private EntryEvent.RequestReceived nextRequest() throws InterruptedException {
        EntryEvent event = nextEvent();
        while (event instanceof EntryEvent.ResponsePartsConsumed) {
            event = nextEvent();
        }
        return (EntryEvent.RequestReceived) event;
    }

    private void part(long exchange, String data) {
        mServer.apply(new EntryEffect.ResponsePart(exchange, ByteString.copyFromUtf8(data)));
    }

    private void respond(long exchange, String body) {
        start(exchange);
        part(exchange, body);
        mServer.apply(new EntryEffect.ResponseEnded(exchange));
    }

    private void start(long exchange) {
        mServer.apply(
                new EntryEffect.ResponseStarted(
                        exchange, 200, Map.of("content-type", "text/event-stream")));
    }

    private static int status(RawCaller caller, String path) throws IOException {
        caller.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        return caller.readResponse().status();
    }
}
