package ebonygw.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import ebonygw.TargetEffect;
import ebonygw.TargetEvent;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpRequest;
import ebonygw.http.WholeAnswer;
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
 * A client of a model engine with an OpenAI-compatible interface.
 *
 * <p>It names the exact adapter version and the priority in each request, orders loads and unloads,
 * and polls the engine's load.
 */
public final class EngineClient implements TargetClient {
    private static final int MAX_ORDER_ANSWER_BYTES = 64 * 1024;
    private static final int MAX_REPORT_BYTES = 1 << 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TargetClientOptions mOptions;
    private final HttpClient mClient;
    private final TargetCalls mCalls;
    private final Consumer<TargetEvent> mEvents;

    /**
     * Creates a client.
     *
     * @param options its options
     * @param events takes events for the control thread, on the client's IO thread
     * @throws NullPointerException if an argument is null
     * @throws IOException if its IO thread cannot be started
     */
    public EngineClient(TargetClientOptions options, Consumer<TargetEvent> events)
            throws IOException {
        mOptions = Objects.requireNonNull(options, "options");
        mEvents = Objects.requireNonNull(events, "events");
        mClient = new HttpClient("engine-client", options.calls());
        mCalls = new TargetCalls(mClient, events);
    }

    @Override
    public void apply(TargetEffect effect) {
        if (!mClient.execute(() -> applyNow(effect))) {
            mCalls.refuse(effect);
        }
    }

    private void applyNow(TargetEffect effect) {
        if (effect instanceof TargetEffect.Call call) {
            call(call);
        } else if (effect instanceof TargetEffect.CancelCall cancel) {
            mCalls.cancel(cancel.call());
        } else if (effect instanceof TargetEffect.ReadAnswer read) {
            mCalls.read(read);
        } else if (effect instanceof TargetEffect.Load load) {
            order(load.adapter(), load.fencingToken(), true);
        } else if (effect instanceof TargetEffect.Unload unload) {
            order(unload.adapter(), unload.fencingToken(), false);
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

    /** Returns the body that the engine gets for a request. */
    static ByteString body(Work work) throws IOException {
        JsonFields fields = JsonFields.read(work.payload().body().toByteArray());
        Map<String, String> replacements = new LinkedHashMap<>();
        AdapterVersion adapter =
                work.adapter().orElseThrow(() -> new IOException("no adapter version"));
        replacements.put("model", MAPPER.writeValueAsString(adapter.toString()));
        replacements.put("priority", Integer.toString(-work.priority()));
        if (work.streamed()) {
            replacements.put("stream_options", "{\"include_usage\":true}");
        }
        return fields.with(replacements);
    }

    private void call(TargetEffect.Call call) {
        Payload payload = call.work().payload();
        ByteString body;
        try {
            body = body(call.work());
        } catch (IOException cause) {
            LogLine.of("bad_body").with("request", call.work().id()).with("cause", cause).warn();
            mEvents.accept(
                    new TargetEvent.AnswerFailed(
                            call.call(),
                            Refusal.notRun(RefusalCode.BAD_REQUEST, "the body is not JSON")));
            return;
        }
        mCalls.start(
                call,
                new HttpRequest(
                        payload.method(), payload.path(), TargetCalls.headers(call.work()), body),
                new CompletionJudge());
    }

    private void order(AdapterVersion adapter, long fencingToken, boolean load) {
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
                new WholeAnswer(
                        MAX_ORDER_ANSWER_BYTES,
                        answer ->
                                mEvents.accept(
                                        new TargetEvent.OrderDone(
                                                adapter, load, answer.ok(), answer.fault()))));
    }

    private void poll() {
        mClient.send(
                HttpRequest.of("GET", "/load"),
                mOptions.reportTimeoutNanos(),
                new WholeAnswer(MAX_REPORT_BYTES, this::reported));
    }

    private void reported(WholeAnswer answer) {
        mEvents.accept(report(answer));
        mClient.after(mOptions.reportIntervalNanos(), this::poll);
    }

    private static TargetEvent report(WholeAnswer answer) {
        if (!answer.ok()) {
            return new TargetEvent.EngineUnreachable();
        }
        try {
            return EngineReports.read(answer.body());
        } catch (IOException cause) {
            LogLine.of("bad_load_report").with("cause", cause).warn();
            return new TargetEvent.EngineUnreachable();
        }
    }
}
