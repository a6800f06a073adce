package ebonygw.bench.path;

import com.google.protobuf.ByteString;
import ebonygw.dev.DevFleet;
import ebonygw.dev.DevPlatform;
import ebonygw.dev.DevSettings;
import ebonygw.http.HttpRequest;
import ebonygw.process.SettingsException;
import ebonygw.settings.Edit;
import ebonygw.settings.Field;
import ebonygw.settings.FieldValue;
import ebonygw.settings.NodeKey;
import ebonygw.settings.SettingsChange;
import ebonygw.standin.EngineStandIn;
import ebonygw.standin.EngineStandInOptions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;

/**
 * A fleet of real entry and target processes that run in this JVM, with a simulated engine that
 * responds without delay.
 */
final class DevPathFleet implements PathFleet {
    private static final String CUSTOMER = "atlas";
    private static final String KEY = "bench-key-of-atlas";
    private static final String ADAPTER = DevSettings.ADAPTER_PREFIX + "1";
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final String PATH = "/v1/completions";
    private static final String CONTENT_TYPE = "content-type";
    private static final String JSON = "application/json";
    private static final int SLOTS = 8;
    private static final int MAX_BATCH = 4096;
    private static final int RESPONSE_TOKENS = 4;
    // The customer's rate and burst, high enough that no request exceeds the quota.
    private static final long TOKENS_PER_SECOND_LIMIT = 10_000_000_000L;
    private static final int MAX_LOAD_ATTEMPTS = 50;

    private final EngineStandIn mEngine;
    private final DevFleet mFleet;

    private DevPathFleet(EngineStandIn engine, DevFleet fleet) {
        mEngine = engine;
        mFleet = fleet;
    }

    /**
     * Starts a fleet and loads its adapter.
     *
     * @throws IOException if a client cannot be created
     * @throws SettingsException never, because the flags are fixed
     * @throws InterruptedException if interrupted while waiting
     * @throws IllegalStateException if the fleet does not become ready or no request succeeds
     */
    static DevPathFleet start() throws IOException, SettingsException, InterruptedException {
        EngineStandInOptions options =
                EngineStandInOptions.local()
                        .withSpeed(0, RESPONSE_TOKENS)
                        .withCapacity(SLOTS, MAX_BATCH)
                        .withRecording(false);
        DevPlatform platform = new DevPlatform(1, 1, options);
        DevFleet fleet = new DevFleet(platform, ANY_PORT, ANY_PORT, Optional.empty());
        DevPathFleet pathFleet = new DevPathFleet(platform.engines().get(0), fleet);
        try {
            fleet.initialize(CUSTOMER, sha256Hex());
            pathFleet.raiseRateLimit();
            pathFleet.loadAdapter();
        } catch (IllegalStateException cause) {
            pathFleet.close();
            throw cause;
        }
        return pathFleet;
    }

    @Override
    public HttpRequest callerRequest() {
        return request(ADAPTER, Map.of(CONTENT_TYPE, JSON, "authorization", "Bearer " + KEY));
    }

    @Override
    public void close() {
        mFleet.close();
    }

    @Override
    public InetSocketAddress engine() {
        return mEngine.address();
    }

    @Override
    public HttpRequest engineRequest() {
        String version = mEngine.resident().iterator().next();
        return request(version, Map.of(CONTENT_TYPE, JSON));
    }

    @Override
    public InetSocketAddress entry() {
        return mFleet.entry().callerAddress();
    }

    private static HttpRequest request(String model, Map<String, String> headers) {
        String body =
                "{\"model\":\""
                        + model
                        + "\",\"prompt\":\"Summarise the route of truck 7 in two lines.\","
                        + "\"max_tokens\":"
                        + RESPONSE_TOKENS
                        + "}";
        return new HttpRequest("POST", PATH, headers, ByteString.copyFromUtf8(body));
    }

    private static String sha256Hex() {
        try {
            byte[] key = KEY.getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key));
        } catch (NoSuchAlgorithmException cause) {
            throw new IllegalStateException(cause);
        }
    }

    /** Sends requests until one succeeds; the first ones may fail while the adapter loads. */
    private void loadAdapter() throws IOException, InterruptedException {
        try (ClosedLoopGenerator generator = new ClosedLoopGenerator(entry(), callerRequest(), 1)) {
            for (int attempt = 0; attempt < MAX_LOAD_ATTEMPTS; attempt++) {
                if (generator.run(1, 1).failures() == 0) {
                    return;
                }
            }
        }
        throw new IllegalStateException(
                "no request succeeded in " + MAX_LOAD_ATTEMPTS + " attempts to load the adapter");
    }

    private void raiseRateLimit() throws InterruptedException {
        NodeKey customer = NodeKey.parse("customer/" + CUSTOMER);
        FieldValue rate = new FieldValue.Whole(TOKENS_PER_SECOND_LIMIT);
        List<Edit> edits =
                List.of(
                        new Edit.Assign(customer, Field.RATE, rate),
                        new Edit.Assign(customer, Field.BURST, rate));
        SettingsChange change = new SettingsChange("rate", "bench", "no limit", -1, 0, edits);
        try {
            mFleet.entry().submit(change).get();
        } catch (ExecutionException cause) {
            throw new IllegalStateException(cause);
        }
    }
}
