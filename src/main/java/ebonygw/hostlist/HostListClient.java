package ebonygw.hostlist;

import ebonygw.http.BufferedResponse;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpRequest;
import ebonygw.log.LogLine;
import ebonygw.membership.HostList;
import java.io.IOException;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Polls the platform's host list.
 *
 * <p>A failed request or a malformed list is logged and not passed to the consumer, so that an
 * outage of the list is not mistaken for an empty list. Thread-safe.
 */
public final class HostListClient implements AutoCloseable {
    private static final int MAX_LIST_BYTES = 16 << 20;
    private static final long REQUEST_TIMEOUT_NANOS = 5_000_000_000L;

    private final HttpClient mClient;
    private final String mPath;
    private final long mIntervalNanos;
    private final Consumer<HostList> mConsumer;
    private volatile boolean mClosed;

    /**
     * Creates a client that does not poll until {@link #start} is called.
     *
     * @param options options of the HTTP client, with the address of the list's server
     * @param path URL path of the list
     * @param intervalNanos time from the end of one request to the next, more than 0
     * @param hosts receives each list that was read, on the client's I/O thread
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code intervalNanos} is not positive
     * @throws IOException if the I/O thread cannot be started
     */
    public HostListClient(
            HttpClientOptions options, String path, long intervalNanos, Consumer<HostList> hosts)
            throws IOException {
        mPath = Objects.requireNonNull(path, "path");
        mConsumer = Objects.requireNonNull(hosts, "hosts");
        if (intervalNanos < 1) {
            throw new IllegalArgumentException("intervalNanos is not positive: " + intervalNanos);
        }
        mIntervalNanos = intervalNanos;
        mClient = new HttpClient("host-list-client", options);
    }

    @Override
    public void close() {
        mClosed = true;
        mClient.close();
    }

    /** Sends the first request; each completed request schedules the next one. */
    public void start() {
        mClient.send(
                HttpRequest.of("GET", mPath),
                REQUEST_TIMEOUT_NANOS,
                new BufferedResponse(MAX_LIST_BYTES, this::onResponse));
    }

    private void onResponse(BufferedResponse response) {
        if (mClosed) {
            return;
        }
        if (response.ok()) {
            parse(response);
        } else {
            LogLine.of("host_list_unavailable").with("cause", response.fault()).warn();
        }
        mClient.schedule(mIntervalNanos, this::start);
    }

    private void parse(BufferedResponse response) {
        HostList list;
        try {
            list = HostListJson.read(response.body());
        } catch (IOException cause) {
            LogLine.of("host_list_malformed").with("cause", cause).warn();
            return;
        }
        mConsumer.accept(list);
    }
}
