package ebonygw.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.cli.Main;
import ebonygw.log.Logs;
import ebonygw.membership.Member;
import ebonygw.settings.SettingsView;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EntryProcessTest {
    private static final long WAIT_NANOS = 20_000_000_000L;
    private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

    private final HttpClient mClient = HttpClient.newHttpClient();
    private volatile boolean mReady = true;
    private EntryProcess mProcess;

    @BeforeEach
    void start() throws Exception {
        Logs.routeLibraryLogs();
        mProcess = EntryProcess.start(settings("127.0.0.1:0"), Map.of(), this::node);
    }

    @AfterEach
    void close() {
        mProcess.close();
    }

    @Test
    void metricsAndDumpAreServedToOperatorsAndNotToCallers() throws Exception {
        assertThat(get(mProcess.callerAddress(), "/routes/bookings/1").statusCode()).isEqualTo(200);
        HttpResponse<String> metrics = get(mProcess.operatorAddress(), "/metrics");
        assertThat(metrics.body())
                .contains("ebonygw_requests_seconds_count{outcome=\"answered\"} 1")
                .contains("ebonygw_node_events_total{event=\"requests.asked\"} 1.0")
                .contains("ebonygw_node_value{name=\"requests.open\"} 0.0")
                .contains("ebonygw_control_events_total");
        HttpResponse<String> dump = get(mProcess.operatorAddress(), "/dump");
        assertThat(dump.body()).contains("\"id\" : \"entry-1\"").contains("\"asked\" : 1");
        assertThat(get(mProcess.callerAddress(), "/metrics").statusCode()).isEqualTo(404);
        assertThat(get(mProcess.callerAddress(), "/dump").statusCode()).isEqualTo(404);
    }

    @Test
    void theDumpCommandPrintsTheStateOfTheProcess() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String address = "127.0.0.1:" + mProcess.operatorAddress().getPort();
        int status =
                Main.run(
                        List.of("dump", "--address", address),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        System.err);
        assertThat(status).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"links\" : { }");
    }

    @Test
    void readinessReflectsTheStateOfTheNode() throws Exception {
        assertThat(get(mProcess.callerAddress(), "/routes/bookings/1").statusCode()).isEqualTo(200);
        assertThat(mProcess.dump()).containsKey("node");
        assertThat(get(mProcess.operatorAddress(), "/ready").statusCode()).isEqualTo(200);
        mReady = false;
        assertThat(get(mProcess.callerAddress(), "/routes/bookings/1").statusCode()).isEqualTo(200);
        assertThat(mProcess.dump()).containsKey("node");
        assertThat(get(mProcess.operatorAddress(), "/ready").statusCode()).isEqualTo(503);
    }

    @Test
    void aStopReturnsStatusZeroIfTheNodeExitsAndStatusOneIfItDoesNot() throws Exception {
        assertThat(mProcess.awaitExit(0)).isFalse();
        assertThat(ProcessRunner.stop(mProcess, WAIT_NANOS)).isZero();
        try (RunningProcess stuck = new StuckProcess()) {
            assertThat(ProcessRunner.stop(stuck, 0)).isEqualTo(1);
        }
    }

    @Test
    void anAddressInUseIsReportedWithThePurposeOfTheListener() {
        String addressInUse = "127.0.0.1:" + mProcess.callerAddress().getPort();
        assertThatThrownBy(() -> EntryProcess.start(settings(addressInUse), Map.of(), this::node))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("cannot listen for callers");
    }

    private static SettingsView emptySettings() {
        return (SettingsView)
                Proxy.newProxyInstance(
                        SettingsView.class.getClassLoader(),
                        new Class<?>[] {SettingsView.class},
                        (proxy, method, args) ->
                                method.getReturnType() == Optional.class ? Optional.empty() : null);
    }

    private static EntrySettings settings(String callerAddress) throws SettingsException {
        return FlagParser.ofEntry()
                .parse(
                        List.of(
                                "--id=entry-1",
                                "--region=kingston",
                                "--data-center=kingston-1",
                                "--peer-address=127.0.0.1:0",
                                "--operator-address=127.0.0.1:0",
                                "--caller-address=" + callerAddress,
                                "--key-value=http://" + UNREACHABLE_ADDRESS,
                                "--host-list=http://" + UNREACHABLE_ADDRESS + "/hosts"),
                        Map.of());
    }

    private HttpResponse<String> get(InetSocketAddress address, String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path);
        return mClient.send(
                HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private NodeDriver<EntryEvent, EntryEffect> node(Member self) {
        int[] requestCount = {0};
        NodeDriver.Handler<EntryEvent, EntryEffect> handler =
                (event, now, effects) -> {
                    if (event instanceof EntryEvent.RequestReceived request) {
                        requestCount[0]++;
                        respond(request.exchangeId(), effects);
                    } else if (event instanceof EntryEvent.StopRequested) {
                        effects.accept(new EntryEffect.Exit());
                    }
                };
        return new NodeDriver<>(
                handler,
                () ->
                        Map.of(
                                "requests",
                                Map.of("open", 0, "counts", Map.of("asked", requestCount[0]))),
                () -> mReady,
                EntryProcessTest::emptySettings);
    }

    private static void respond(long exchange, Consumer<EntryEffect> effects) {
        effects.accept(new EntryEffect.ResponseStarted(exchange, 200, Map.of()));
        effects.accept(new EntryEffect.ResponsePart(exchange, ByteString.copyFromUtf8("ok")));
        effects.accept(new EntryEffect.ResponseEnded(exchange));
    }

    /** A process whose node never allows it to exit. */
    private static final class StuckProcess implements RunningProcess {
        @Override
        public void requestStop() {}

        @Override
        public boolean awaitExit(long timeoutNanos) {
            return false;
        }

        @Override
        public void close() {}

        @Override
        public Map<String, Object> dump() {
            return Map.of("open", 3);
        }
    }
}
