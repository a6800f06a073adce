package ebonygw.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import ebonygw.TargetEffect;
import ebonygw.TargetEvent;
import ebonygw.http.BufferedResponse;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpRequest;
import ebonygw.json.JsonFields;
import ebonygw.log.LogLine;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Payload;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Work;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * A client of a model engine with an OpenAI-compatible API.
 *
 * <p>It sets the exact adapter version and the priority in each request, sends orders to load and
 * unload adapter versions, and polls the engine's load report.
 */
public final class EngineClient implements TargetClient {
    private static final int MAX_ORDER_RESPONSE_BYTES = 64 * 1024;
    private static final int MAX_REPORT_BYTES = 1 << 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TargetClientOptions mOptions;
    private final HttpClient mClient;
    private final TargetRequests mRequests;
    private final Consumer<TargetEvent> mEvents;

    /**
     * Creates a client.
     *
     * @param events receives events for the control thread; invoked on the client's IO thread, or
     *     on the thread of {@link #apply} after the client was closed
     * @throws NullPointerException if an argument is null
     * @throws IOException if the IO thread cannot be started
     */
    public EngineClient(TargetClientOptions options, Consumer<TargetEvent> events)
            throws IOException {
        mOptions = Objects.requireNonNull(options, "options");
        mEvents = Objects.requireNonNull(events, "events");
        mClient = new HttpClient("engine-client", options.http());
        mRequests = new TargetRequests(mClient, events);
    }

    @Override
    public void apply(TargetEffect effect) {
        if (!mClient.execute(() -> applyOnIoThread(effect))) {
            mRequests.refuse(effect);
        }
    }

    private void applyOnIoThread(TargetEffect effect) {
        if (effect instanceof TargetEffect.SendRequest send) {
            sendRequest(send);
        } else if (effect instanceof TargetEffect.CancelRequest cancel) {
            mRequests.cancel(cancel.correlationId());
        } else if (effect instanceof TargetEffect.SetResponseReading read) {
            mRequests.setReading(read);
        } else if (effect instanceof TargetEffect.Load load) {
            sendOrder(load.adapter(), load.fencingToken(), true);
        } else if (effect instanceof TargetEffect.Unload unload) {
            sendOrder(unload.adapter(), unload.fencingToken(), false);
        }
    }

    @Override
    public void close() {
        mClient.close();
    }

    @Override
    public void start() {
        poll();
    }

    /**
     * Returns the request body for the engine: the caller's body with the model, the priority and,
     * if streamed, the usage option set. The sign of the priority is inverted, as the engine runs
     * lower numbers first.
     *
     * @throws IOException if the caller's body is not JSON or the request has no adapter version
     */
    static ByteString body(Work work) throws IOException {
        JsonFields fields = JsonFields.read(work.payload().body().toByteArray());
        Map<String, String> replacements = new LinkedHashMap<>();
        AdapterVersion adapter =
                work.adapter()
                        .orElseThrow(() -> new IOException("the request has no adapter version"));
        replacements.put("model", MAPPER.writeValueAsString(adapter.toString()));
        replacements.put("priority", Integer.toString(-work.priority()));
        if (work.streamed()) {
            replacements.put("stream_options", "{\"include_usage\":true}");
        }
        return fields.with(replacements);
    }

    private void sendRequest(TargetEffect.SendRequest send) {
        Payload payload = send.work().payload();
        ByteString body;
        try {
            body = body(send.work());
        } catch (IOException cause) {
            LogLine.of("bad_body").with("request", send.work().id()).with("cause", cause).warn();
            mEvents.accept(
                    new TargetEvent.RequestFailed(
                            send.correlationId(),
                            Refusal.notRun(RefusalCode.BAD_REQUEST, "the body is not JSON")));
            return;
        }
        mRequests.start(
                send,
                new HttpRequest(
                        payload.method(),
                        payload.path(),
                        TargetRequests.headers(send.work()),
                        body),
                new CompletionValidator());
    }

    private void sendOrder(AdapterVersion adapter, long fencingToken, boolean load) {
        ObjectNode order = MAPPER.createObjectNode();
        order.put("lora_name", adapter.toString());
        if (load) {
            order.put("lora_path", mOptions.adapterPath() + adapter);
        }
        order.put("fencing_token", fencingToken);
        ByteString body;
        try {
            body = ByteString.copyFrom(MAPPER.writeValueAsBytes(order));
        } catch (JsonProcessingException cause) {
            throw new IllegalStateException(cause);
        }
        String path = load ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter";
        mClient.send(
                HttpRequest.ofJson("POST", path, body),
                mOptions.orderTimeoutNanos(),
                new BufferedResponse(
                        MAX_ORDER_RESPONSE_BYTES,
                        response ->
                                mEvents.accept(
                                        new TargetEvent.OrderDone(
                                                adapter, load, response.ok(), response.fault()))));
    }

    private void poll() {
        mClient.send(
                HttpRequest.of("GET", "/load"),
                mOptions.reportTimeoutNanos(),
                new BufferedResponse(MAX_REPORT_BYTES, this::onReport));
    }

    private void onReport(BufferedResponse response) {
        mEvents.accept(report(response));
        mClient.schedule(mOptions.reportIntervalNanos(), this::poll);
    }

    private static TargetEvent report(BufferedResponse response) {
        if (!response.ok()) {
            return new TargetEvent.EngineUnreachable();
        }
        try {
            return EngineReports.read(response.body());
        } catch (IOException cause) {
            LogLine.of("bad_load_report").with("cause", cause).warn();
            return new TargetEvent.EngineUnreachable();
        }
    }
}
