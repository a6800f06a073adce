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
    void aWholeAnswerReachesItsCaller() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            answer(asked().exchange(), "{\"text\":\"pleats\"}");

            RawCaller.Answer answer = caller.answer();
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.body()).isEqualTo("{\"text\":\"pleats\"}");
            assertThat(answer.head()).contains("x-request-id: e1-7-1");
        }
    }

    @Test
    void aStreamedAnswerArrivesPartByPartAndEndsWithItsTerminator() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, STREAM));
            long exchange = asked().exchange();
            start(exchange);
            part(exchange, "data: 1\n\n");
            assertThat(caller.until("data: 1\n\n")).contains("chunked");
            assertThat(next()).isEqualTo(new EntryEvent.CallerTook(exchange, 1));
            part(exchange, "data: 2\n\n");
            mServer.apply(new EntryEffect.AnswerEnded(exchange));
            assertThat(caller.until("0\r\n\r\n")).contains("data: 2");
        }
    }

    @Test
    void connectionsServeOneRequestAfterAnother() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            for (int turn = 0; turn < 3; turn++) {
                caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
                answer(asked().exchange(), "turn " + turn);
                assertThat(caller.answer().body()).isEqualTo("turn " + turn);
            }
        }
    }

    @Test
    void aRequestSentBeforeTheAnswerToTheFormerIsServedAfterIt() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long first = asked().exchange();
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            answer(first, "first");
            assertThat(caller.answer().body()).isEqualTo("first");
            answer(asked().exchange(), "second");
            assertThat(caller.answer().body()).isEqualTo("second");
        }
    }

    @Test
    void aBrokenStreamEndsWithAnErrorEventAndWithoutItsTerminator() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, STREAM));
            long exchange = asked().exchange();
            start(exchange);
            part(exchange, "data: 1\n\n");
            mServer.apply(
                    new EntryEffect.AnswerBroken(
                            exchange, Refusal.mayHaveRun(RefusalCode.BROKEN_ANSWER, "cut")));
            String rest = caller.rest();
            assertThat(rest).contains("event: error", "broken_answer", "may_have_run");
            assertThat(rest).doesNotEndWith("0\r\n\r\n");
        }
    }

    @Test
    void aBrokenWholeAnswerIsCutByItsConnection() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long exchange = asked().exchange();
            start(exchange);
            part(exchange, "{\"text\":");
            mServer.apply(
                    new EntryEffect.AnswerBroken(
                            exchange, Refusal.mayHaveRun(RefusalCode.BROKEN_ANSWER, "cut")));
            assertThatThrownBy(caller::answer).isInstanceOf(IOException.class);
        }
    }

    @Test
    void aCallerThatLeavesIsReportedOnce() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long exchange = asked().exchange();
            caller.close();
            assertThat(next()).isEqualTo(new EntryEvent.CallerGone(exchange));
            answer(exchange, "late");
            assertNothingFurther();
        }
    }

    @Test
    void aCallerThatLeavesAfterItsAnswerIsNotReported() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            answer(asked().exchange(), "done");
            caller.answer();
        }
        assertNothingFurther();
    }

    @Test
    void refusalsSayWhetherTheRequestMayHaveRunAndWhenToRetry() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            Refusal refusal =
                    new Refusal(
                            RefusalCode.OVER_RATE, Verdict.NOT_RUN, "too fast", SECOND_NANOS + 1);
            mServer.apply(new EntryEffect.Refused(asked().exchange(), refusal));

            RawCaller.Answer answer = caller.answer();
            assertThat(answer.status()).isEqualTo(429);
            assertThat(answer.head()).contains("retry-after: 2");
            assertThat(answer.body())
                    .contains("\"over_rate\"", "\"not_run\"", "\"request_id\":\"e1-7-1\"");
        }
    }

    @Test
    void aSlowBodyIsRefusedWithStatus408() throws Exception {
        CallerOptions options = OPTIONS.withTimeouts(50_000_000L, SECOND_NANOS);
        try (RawCaller caller = caller(options)) {
            caller.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{");
            RawCaller.Answer answer = caller.answer();
            assertThat(answer.status()).isEqualTo(408);
            assertThat(answer.body()).contains("\"deadline\"", "\"not_run\"");
            assertThat(caller.rest()).isEmpty();
            assertThat(mServer.open()).isZero();
        }
    }

    @Test
    void aLongBodyIsRefusedWithStatus413() throws Exception {
        try (RawCaller caller = caller(OPTIONS.withLimits(8, 64, 1024))) {
            caller.send(RawCaller.post("/v1/completions", AUTH, "x".repeat(65)));
            assertThat(caller.answer().status()).isEqualTo(413);
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
            assertThat(caller.answer().status()).isEqualTo(413);
        }
    }

    @Test
    void requestsBeyondTheBoundAreRefusedWithStatus503() throws Exception {
        try (RawCaller first = caller(OPTIONS.withLimits(1, 1024, 1024));
                RawCaller second = new RawCaller(mServer.address())) {
            first.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long exchange = asked().exchange();
            second.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            assertThat(second.answer().status()).isEqualTo(503);
            answer(exchange, "ok");
            assertThat(first.answer().status()).isEqualTo(200);
        }
    }

    @Test
    void faultyRequestsAreRefusedBeforeTheyAreAsked() throws Exception {
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
        assertNothingFurther();
    }

    @Test
    void whatIsNotHttpClosesTheConnectionWithoutATrace() throws Exception {
        caller(OPTIONS).close();
        String longField = "GET /live HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(20_000) + "\r\n\r\n";
        for (String text : List.of("GARBAGE\r\n\r\n", "GET\0 / HTTP/1.1\r\n\r\n", longField)) {
            try (RawCaller caller = new RawCaller(mServer.address())) {
                caller.send(text);
                String rest = caller.rest();
                assertThat(rest).doesNotContain("Exception", "at io.", "200 OK");
            }
        }
    }

    @Test
    void anUnfinishedHeaderIsDroppedAfterItsTimeLimit() throws Exception {
        try (RawCaller caller = caller(OPTIONS.withTimeouts(50_000_000L, SECOND_NANOS))) {
            caller.send("POST /v1/completions HTTP/1.1\r\nHost:");
            assertThat(caller.rest()).isEmpty();
        }
    }

    @Test
    void aStoppingProcessAsksItsCallersToConnectElsewhere() throws Exception {
        mReady = false;
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            answer(asked().exchange(), "last");
            RawCaller.Answer answer = caller.answer();
            assertThat(answer.head()).contains("connection: close");
            assertThat(answer.body()).isEqualTo("last");
            assertThat(caller.rest()).isEmpty();
        }
    }

    @Test
    void aStoppingProcessMarksTheEndOfAnAnswerWhoseLengthItDidNotKnow() throws Exception {
        mReady = false;
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, PROMPT));
            long exchange = asked().exchange();
            start(exchange);
            part(exchange, "first");
            String head = caller.until("first\r\n");
            assertThat(head.toLowerCase(Locale.ROOT)).contains("transfer-encoding: chunked");
            mServer.apply(new EntryEffect.AnswerEnded(exchange));
            assertThat(caller.rest()).isEqualTo("0\r\n\r\n");
        }
    }

    @Test
    void theKeyIsHashedAndNoCredentialIsPassedOn() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            String headers =
                    AUTH
                            + "Cookie: s=1\r\nX-Api-Key: other\r\nAccept: a/b\r\n"
                            + "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Kept: yes\r\n";
            caller.send(RawCaller.post("/routes/orders/look/up?id=3", headers, "body"));
            EntryEvent.CallerAsked asked = asked();
            CallerRequest request = asked.request();
            assertThat(request.keyHash()).isEqualTo(SmallSettings.KEY_HASH);
            assertThat(request.route()).isEqualTo("orders");
            assertThat(request.model()).isEmpty();
            assertThat(request.payload().path()).isEqualTo("/look/up?id=3");
            assertThat(request.payload().body().toStringUtf8()).isEqualTo("body");
            assertThat(request.payload().headers())
                    .containsOnly(Map.entry("accept", "a/b"), Map.entry("x-kept", "yes"));
            answer(asked.exchange(), "ok");
            caller.answer();
        }
    }

    @Test
    void aChatRequestIsReadWithItsLimits() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            String body =
                    "{\"model\":\"kilts\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],"
                            + "\"max_tokens\":10,\"n\":3}";
            String headers = AUTH + "x-request-timeout-ms: 250\r\n";
            caller.send(RawCaller.post("/routes/drafts/v1/chat/completions", headers, body));
            EntryEvent.CallerAsked asked = asked();
            assertThat(asked.request().route()).isEqualTo("drafts");
            assertThat(asked.request().model()).isEqualTo("kilts");
            assertThat(asked.request().maxTokens()).isEqualTo(30);
            assertThat(asked.request().promptTokens()).isPositive();
            assertThat(asked.request().prefixHash()).isNotZero();
            assertThat(asked.request().timeoutNanos()).isEqualTo(250_000_000L);
            answer(asked.exchange(), "ok");
            caller.answer();
        }
    }

    @Test
    void aSlowCallerHoldsBackItsParts() throws Exception {
        int parts = 400;
        String data = "x".repeat(64 * 1024);
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send(RawCaller.post("/v1/completions", AUTH, STREAM));
            long exchange = asked().exchange();
            start(exchange);
            for (int part = 0; part < parts; part++) {
                part(exchange, data);
            }
            mServer.apply(
                    new EntryEffect.AnswerBroken(
                            exchange, Refusal.mayHaveRun(RefusalCode.LOST, "mark")));
            int taken = 0;
            EntryEvent event = next();
            assertThat(event).isInstanceOf(EntryEvent.CallerTook.class);
            while (event != null) {
                taken += ((EntryEvent.CallerTook) event).parts();
                event = mEvents.poll(200, TimeUnit.MILLISECONDS);
            }
            assertThat(taken).isLessThan(parts);
            assertThat(caller.rest().length()).isGreaterThan(parts * data.length());
        }
    }

    @Test
    void aCallerThatTakesNothingIsDropped() throws Exception {
        try (RawCaller caller = caller(OPTIONS.withTimeouts(SECOND_NANOS, 100_000_000L))) {
            caller.send(RawCaller.post("/v1/completions", AUTH, STREAM));
            long exchange = asked().exchange();
            start(exchange);
            part(exchange, "x".repeat(64 * 1024 * 1024));
            assertThat(next()).isEqualTo(new EntryEvent.CallerGone(exchange));
            assertThat(mServer.open()).isZero();
        }
    }

    @Test
    void modelsAreListedForAValidKeyOnly() throws Exception {
        try (RawCaller caller = caller(OPTIONS)) {
            caller.send("GET /v1/models HTTP/1.1\r\nHost: h\r\n" + AUTH + "\r\n");
            assertThat(caller.answer().body()).contains("\"id\":\"kilts\"", "[\"1\",\"2\"]");
            caller.send("GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(caller.answer().status()).isEqualTo(401);
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

    private void answer(long exchange, String body) {
        start(exchange);
        part(exchange, body);
        mServer.apply(new EntryEffect.AnswerEnded(exchange));
    }

    private EntryEvent.CallerAsked asked() throws InterruptedException {
        EntryEvent event = next();
        while (event instanceof EntryEvent.CallerTook) {
            event = next();
        }
        return (EntryEvent.CallerAsked) event;
    }

    /** Shows by a later event of the same server that no other event came before it. */
    private void assertNothingFurther() throws Exception {
        try (RawCaller marker = new RawCaller(mServer.address())) {
            marker.send(RawCaller.post("/routes/marker/", AUTH, ""));
            assertThat(asked().request().route()).isEqualTo("marker");
        }
    }

    private void assertRefused(
            RawCaller caller, String path, String headers, String body, int status)
            throws IOException {
        caller.send(RawCaller.post(path, headers, body));
        RawCaller.Answer answer = caller.answer();
        assertThat(answer.status()).as(answer.body()).isEqualTo(status);
        assertThat(answer.body()).contains("\"not_run\"").doesNotContain("Exception", "at ebonygw");
    }

    private RawCaller caller(CallerOptions options) throws IOException {
        CallerDecisions decisions =
                new CallerDecisions(mEvents::add, () -> mReady, SmallSettings::new);
        mServer = new CallerServer(options, decisions);
        mServer.start();
        return new RawCaller(mServer.address());
    }

    private EntryEvent next() throws InterruptedException {
        EntryEvent event = mEvents.poll(20, TimeUnit.SECONDS);
        assertThat(event).isNotNull();
        return event;
    }

    private void part(long exchange, String data) {
        mServer.apply(new EntryEffect.AnswerPart(exchange, ByteString.copyFromUtf8(data)));
    }

    private void start(long exchange) {
        mServer.apply(
                new EntryEffect.AnswerStarted(
                        exchange, 200, Map.of("content-type", "text/event-stream")));
    }

    private static int status(RawCaller caller, String path) throws IOException {
        caller.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        return caller.answer().status();
    }
}
