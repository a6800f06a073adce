package ebonygw.dev;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Callers that book under load, each booking once, and note what they were told. */
final class BookingLoad {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long PAUSE_MILLIS = 5;

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final String mPrefix;
    private final Supplier<List<String>> mEntries;
    private final String mKey;
    private final Map<String, String> mTold = new ConcurrentHashMap<>();
    private final AtomicInteger mNumber = new AtomicInteger();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopped;

    BookingLoad(String prefix, Supplier<List<String>> entries, String key) {
        mPrefix = prefix;
        mEntries = entries;
        mKey = key;
    }

    int answered() {
        return mTold.size() - errors().size();
    }

    int sent() {
        return mNumber.get();
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

    /** Returns what was told about each booking that was not answered. */
    Map<String, String> errors() {
        Map<String, String> errors = new LinkedHashMap<>(mTold);
        errors.values().removeIf("answered"::equals);
        return errors;
    }

    /** Returns what was told: {@code answered}, or code and verdict, or the caller's exception. */
    Map<String, String> told() {
        return Map.copyOf(mTold);
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
        try {
            HttpResponse<String> answer =
                    mClient.send(request, HttpResponse.BodyHandlers.ofString());
            mTold.put(booking, answer.statusCode() == 200 ? "answered" : error(answer.body()));
        } catch (IOException cut) {
            mTold.put(booking, "cut " + cut);
        }
    }

    private static String error(String body) throws IOException {
        JsonNode error = JSON.readTree(body).path("error");
        return error.path("code").asText() + " " + error.path("run").asText();
    }

    private void run() {
        try {
            while (!mStopped) {
                book(mNumber.incrementAndGet());
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
