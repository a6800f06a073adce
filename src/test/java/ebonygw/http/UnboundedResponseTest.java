package ebonygw.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioWorker;

/** Responses that do not end, while other calls use the same IO thread. */
class UnboundedResponseTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** How late a response of a sound server may be, the slack of a route's time limit. */
    private static final long SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final String HEAD = "HTTP/1.1 200 OK~X-Filler: ";
    private static final int CONNECTIONS = 300;

    private final BlockingQueue<Object> mResults = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> mOpen = new ArrayList<>();
    private XnioWorker mWorker;

    @BeforeEach
    void start() throws IOException {
        mWorker = HttpClient.createWorker("test");
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable open : mOpen) {
            open.close();
        }
        mWorker.shutdown();
    }

    private HttpClient client(InetSocketAddress server, int connections) {
        HttpClient client =
                new HttpClient(
                        mWorker,
                        new HttpClientOptions(
                                server, connections, CONNECTIONS, TIMEOUT_NANOS, true));
        mOpen.add(client);
        return client;
    }

    private FloodingServer server(String start, String filler) throws IOException {
        FloodingServer server = new FloodingServer(start, filler);
        mOpen.add(server);
        return server;
    }

    private HttpClient soundClient() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mOpen.add(server);
        Thread thread =
                new Thread(
                        () -> {
                            try (Socket socket = server.accept()) {
                                while (true) {
                                    respond(socket);
                                }
                            } catch (IOException closed) {
                                // The test is over.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return client((InetSocketAddress) server.getLocalSocketAddress(), 1);
    }

    private static void respond(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns how long a call takes, in nanoseconds. */
    private static long duration(HttpClient client) throws InterruptedException {
        BlockingQueue<BufferedResponse> done = new LinkedBlockingQueue<>();
        long startNanos = System.nanoTime();
        client.send(
                HttpRequest.of("GET", "/"), TIMEOUT_NANOS, new BufferedResponse(1_000, done::add));
        BufferedResponse response = done.poll(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
        assertThat(response).isNotNull();
        assertThat(response.ok()).as(response.fault()).isTrue();
        return System.nanoTime() - startNanos;
    }

    private HttpFailure failure() throws InterruptedException {
        Object result = mResults.poll(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
        assertThat(result).isInstanceOf(HttpFailure.class);
        return (HttpFailure) result;
    }

    // Guards against a server that, by sending faster than it is read, holds the IO thread.
    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD,
                "HTTP/1.1 200 ",
                "~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2;x=",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ok~0~X-Last: ",
                "HTTP/1.1 200 OK~Content-Length: 9000000000000~~",
                "HTTP/1.1 200 OK~~"
            })
    void aResponseWithoutEndDoesNotDelayOtherCalls(String start) throws Exception {
        HttpClient flooded = client(server(start, "x").address(), 8);
        HttpClient sound = soundClient();
        for (int i = 0; i < 8; i++) {
            flooded.send(HttpRequest.of("GET", "/"), TIMEOUT_NANOS, new Recorder());
        }
        long slowestNanos = 0;
        for (int i = 0; i < 100; i++) {
            slowestNanos = Math.max(slowestNanos, duration(sound));
        }
        assertThat(slowestNanos).isLessThan(SLACK_NANOS);
    }

    // Guards against heads of many connections that together exhaust the memory.
    @Test
    void longHeadsOfManyConnectionsStayWithinTheirBudget() throws Exception {
        FloodingServer server = new FloodingServer(HEAD, "x".repeat(60 * 1024) + "~", 60_000);
        mOpen.add(server);
        HttpClient client = client(server.address(), CONNECTIONS);
        HttpClient sound = soundClient();
        long givenUpBefore = ResponseMemory.ofProcess().givenUp();
        for (int i = 0; i < CONNECTIONS; i++) {
            client.send(HttpRequest.of("GET", "/"), TIMEOUT_NANOS, new Recorder());
        }

        HttpFailure failure = failure();

        assertThat(failure.kind()).isEqualTo(HttpFailure.Kind.LOST);
        assertThat(failure.sent()).isTrue();
        assertThat(failure.detail()).contains("too many long heads");
        assertThat(ResponseMemory.ofProcess().reservedBytes()).isBetween(1L, 8L << 20);
        assertThat(ResponseMemory.ofProcess().givenUp()).isGreaterThan(givenUpBefore);
        assertThat(duration(sound)).isLessThan(SLACK_NANOS);
        client.close();
    }

    // Guards against tiny fields that take much more memory than bytes on the wire.
    @Test
    void aHeadWithTooManyFieldsIsGivenUp() throws Exception {
        HttpClient client = client(server("HTTP/1.1 200 OK~", "a:b~").address(), 1);
        client.send(HttpRequest.of("GET", "/"), TIMEOUT_NANOS, new Recorder());
        assertThat(failure().detail()).contains("header fields");
    }

    // Guards against informational heads without a final one.
    @Test
    void informationalHeadsWithoutEndAreGivenUp() throws Exception {
        FloodingServer server = server("", "HTTP/1.1 102 Processing~~");
        client(server.address(), 1).send(HttpRequest.of("GET", "/"), TIMEOUT_NANOS, new Recorder());
        assertThat(failure().detail()).contains("head is too long");
        assertThat(server.sent().poll(20, TimeUnit.SECONDS))
                .isLessThan(FloodingServer.MAX_ACCEPTED_BYTES);
    }

    // Guards against a body that is read to the time limit though it is too long for its reader.
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK~~", "HTTP/1.1 200 OK~Content-Length: 900000000~~"})
    void aBodyLongerThanItsReaderAcceptsIsGivenUp(String start) throws Exception {
        FloodingServer server = server(start, "x");
        client(server.address(), 1)
                .send(
                        HttpRequest.of("GET", "/"),
                        TIMEOUT_NANOS,
                        new BufferedResponse(100_000, mResults::add));
        BufferedResponse response = (BufferedResponse) mResults.poll(20, TimeUnit.SECONDS);
        assertThat(response.isComplete()).isFalse();
        assertThat(response.fault()).contains("longer than 100000");
        assertThat(response.body().size()).isLessThanOrEqualTo(100_000);
        assertThat(server.sent().poll(20, TimeUnit.SECONDS))
                .isLessThan(FloodingServer.MAX_ACCEPTED_BYTES);
    }

    // Guards against bytes without end on a connection that is kept for the next request.
    @Test
    void bytesAfterACompleteResponseCloseItsConnection() throws Exception {
        FloodingServer server =
                server("HTTP/1.1 200 OK~Content-Length: 2~~ok", "HTTP/1.1 200 OK~~");
        HttpClient client = client(server.address(), 1);
        client.send(HttpRequest.of("GET", "/"), TIMEOUT_NANOS, new Recorder());
        assertThat(mResults.poll(20, TimeUnit.SECONDS)).isEqualTo("ended");
        assertThat(server.sent().poll(20, TimeUnit.SECONDS))
                .isLessThan(FloodingServer.MAX_ACCEPTED_BYTES);
    }

    // Guards against a server that keeps a call open by a byte from time to time.
    @Test
    void aTrickledHeadEndsAtTheTimeLimitOfItsCall() throws Exception {
        FloodingServer server = new FloodingServer(HEAD, "x", 100);
        mOpen.add(server);
        long limitNanos = TimeUnit.SECONDS.toNanos(1);
        client(server.address(), 1).send(HttpRequest.of("GET", "/"), limitNanos, new Recorder());
        assertThat(failure().kind()).isEqualTo(HttpFailure.Kind.TIMEOUT);
    }

    /** Records the end of a response and ignores its body. */
    private final class Recorder implements HttpResponseHandler {
        @Override
        public void ended(BodySummary body) {
            mResults.add("ended");
        }

        @Override
        public void failed(HttpFailure failure) {
            mResults.add(failure);
        }

        @Override
        public void part(ByteString data) {}

        @Override
        public void started(int status, Map<String, String> headers) {}
    }
}
