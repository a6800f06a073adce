package ebonygw.target;

import ebonygw.http.HttpAnswerSink;
import ebonygw.http.HttpCall;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioWorker;

/**
 * Sends requests to targets as they are, over kept connections.
 *
 * <p>Used on the worker's IO thread only.
 */
public final class TargetForwarder implements AutoCloseable {
    /** Calls of one target that may wait for a connection. */
    private static final int MOST_WAITING = 64;

    /** Targets with kept connections; addresses of targets that are gone yield. */
    private static final int MOST_TARGETS = 256;

    /** Time limit of opening a connection: several round trips between regions. */
    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final XnioWorker mWorker;
    private final Map<String, HttpClient> mClients = new Clients();

    /**
     * Creates a forwarder without connections.
     *
     * @throws NullPointerException if {@code worker} is null
     */
    public TargetForwarder(XnioWorker worker) {
        mWorker = Objects.requireNonNull(worker, "worker");
    }

    @Override
    public void close() {
        mClients.values().forEach(HttpClient::close);
    }

    /**
     * Sends a request.
     *
     * @param address IP number and port of the target
     * @param maxConnections most connections to it, counted at the first request
     * @param request the request
     * @param timeoutNanos time limit of the whole call
     * @param sink takes the answer
     * @return the call, to cancel or pause it
     */
    public HttpCall send(
            String address,
            int maxConnections,
            HttpRequest request,
            long timeoutNanos,
            HttpAnswerSink sink) {
        HttpClient client = mClients.computeIfAbsent(address, a -> client(a, maxConnections));
        HttpCall call = client.prepare(request, timeoutNanos, sink);
        client.send(call);
        return call;
    }

    private HttpClient client(String address, int maxConnections) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress server =
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        return new HttpClient(
                mWorker,
                new HttpClientOptions(
                        server,
                        Math.max(1, maxConnections),
                        MOST_WAITING,
                        CONNECT_TIMEOUT_NANOS,
                        true));
    }

    private static final class Clients extends LinkedHashMap<String, HttpClient> {
        private static final long serialVersionUID = 1L;

        Clients() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, HttpClient> eldest) {
            boolean remove = size() > MOST_TARGETS;
            if (remove) {
                eldest.getValue().close();
            }
            return remove;
        }
    }
}
