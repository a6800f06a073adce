package ebonygw.hostlist;

import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpRequest;
import ebonygw.http.WholeAnswer;
import ebonygw.log.LogLine;
import ebonygw.membership.HostList;
import java.io.IOException;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Polls the platform's host list.
 *
 * <p>A list that cannot be read is no list: nothing is handed on then. Thread-safe.
 */
public final class HostListClient implements AutoCloseable {
    private static final int MAX_LIST_BYTES = 16 << 20;
    private static final long TIMEOUT_NANOS = 5_000_000_000L;

    private final HttpClient mClient;
    private final String mPath;
    private final long mIntervalNanos;
    private final Consumer<HostList> mHosts;
    private volatile boolean mClosed;

    /**
     * Creates a client; it polls after {@link #start}.
     *
     * @param options address of the list's server
     * @param path path of the list
     * @param intervalNanos time between two reads, in nanoseconds
     * @param hosts takes each list read, on the client's IO thread
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if the interval is not positive
     * @throws IOException if its IO thread cannot be started
     */
    public HostListClient(
            HttpClientOptions options, String path, long intervalNanos, Consumer<HostList> hosts)
            throws IOException {
        mPath = Objects.requireNonNull(path, "path");
        mHosts = Objects.requireNonNull(hosts, "hosts");
        if (intervalNanos < 1) {
            throw new IllegalArgumentException("the interval must be positive");
        }
        mIntervalNanos = intervalNanos;
        mClient = new HttpClient("host-list-client", options);
    }

    @Override
    public void close() {
        mClosed = true;
        mClient.close();
    }

    /** Starts to poll. */
    public void start() {
        mClient.send(
                HttpRequest.of("GET", mPath),
                TIMEOUT_NANOS,
                new WholeAnswer(MAX_LIST_BYTES, this::listed));
    }

    private void listed(WholeAnswer answer) {
        if (mClosed) {
            return;
        }
        if (answer.ok()) {
            read(answer);
        } else {
            LogLine.of("host_list_unavailable").with("cause", answer.fault()).warn();
        }
        mClient.after(mIntervalNanos, this::start);
    }

    private void read(WholeAnswer answer) {
        HostList list;
        try {
            list = HostListJson.read(answer.body());
        } catch (IOException cause) {
            LogLine.of("host_list_malformed").with("cause", cause).warn();
            return;
        }
        mHosts.accept(list);
    }
}
