package ebonygw.dev;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Generates load of bookings from several caller threads and records the outcome of each.
 *
 * <p>Each booking is sent once, under an idempotency key of its own.
 */
final class BookingLoad {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long PAUSE_MILLIS = 5;

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final String mPrefix;
    private final Supplier<List<String>> mEntries;
    private final String mKey;
    private final Map<String, String> mOutcomes = new ConcurrentHashMap<>();
    private final AtomicInteger mSentCount = new AtomicInteger();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopped;

    BookingLoad(String prefix, Supplier<List<String>> entries, String key) {
        mPrefix = prefix;
        mEntries = entries;
        mKey = key;
    }

    int completed() {
        return mOutcomes.size() - errors().size();
    }

    int sent() {
        return mSentCount.get();
    }

    void start(int threads) {
        for (int i = 0; i < threads; i++) {
            Thread thread = new Thread(this::run, "caller-" + i);
            thread.start();
            mThreads.add(thread);
        }
    }

    void stop() throws InterruptedException {
        mStopped = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
    }

    /** Returns the outcomes of the bookings that did not succeed. */
    Map<String, String> errors() {
        Map<String, String> errors = new LinkedHashMap<>(mOutcomes);
        errors.values().removeIf("answered"::equals);
        return errors;
    }

    /**
     * Returns the outcome by booking: {@code answered}, or code and verdict of the error response,
     * or {@code broken_answer may_have_run} if a successful response broke off after its start, or
     * the exception if there was no response.
     */
    Map<String, String> outcomes() {
        return Map.copyOf(mOutcomes);
    }

    private void book(int number) throws InterruptedException {
        List<String> entries = mEntries.get();
        String entry = entries.get(number % entries.size());
        String booking = mPrefix + number;
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + entry + "/routes/bookings/pickups"))
                        .header("Authorization", "Bearer " + mKey)
                        .header("Idempotency-Key", booking)
                        .POST(HttpRequest.BodyPublishers.ofString("kerb " + number))
                        .build();
        AtomicBoolean succeeding = new AtomicBoolean();
        try {
            HttpResponse<String> response =
                    mClient.send(
                            request,
                            head -> {
                                succeeding.set(head.statusCode() == 200);
                                return HttpResponse.BodySubscribers.ofString(
                                        StandardCharsets.UTF_8);
                            });
            mOutcomes.put(
                    booking, response.statusCode() == 200 ? "answered" : error(response.body()));
        } catch (IOException e) {
            mOutcomes.put(
                    booking, succeeding.get() ? "broken_answer may_have_run" : "no response: " + e);
        }
    }

    private static String error(String body) throws IOException {
        JsonNode error = JSON.readTree(body).path("error");
        return error.path("code").asText() + " " + error.path("run").asText();
    }

    private void run() {
        try {
            while (!mStopped) {
                book(mSentCount.incrementAndGet());
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
