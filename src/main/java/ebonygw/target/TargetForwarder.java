package ebonygw.target;

import ebonygw.http.HttpCall;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpRequest;
import ebonygw.http.HttpResponseHandler;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.xnio.XnioWorker;

/**
 * Forwards requests to targets unchanged, over persistent connections.
 *
 * <p>Used on the worker's IO thread only.
 */
public final class TargetForwarder implements AutoCloseable {
    /** Maximum number of requests to one target that wait for a connection. */
    private static final int MAX_WAITING = 64;

    /**
     * Maximum number of targets with persistent connections. Above it, the least recently used
     * target is removed and its connections are closed, which frees those of targets that are gone.
     */
    private static final int MAX_TARGETS = 256;

    /** Time limit for opening a connection: several round trips between regions. */
    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final XnioWorker mWorker;
    private final String mRequestIdField;
    private final Map<String, HttpClient> mClients = new Clients();

    /**
     * Creates a forwarder without connections.
     *
     * @param requestIdField name of the header field with the id of a request, in lower case, which
     *     targets repeat in their responses; empty if they repeat none
     * @throws NullPointerException if an argument is null
     */
    public TargetForwarder(XnioWorker worker, String requestIdField) {
        mWorker = Objects.requireNonNull(worker, "worker");
        mRequestIdField = Objects.requireNonNull(requestIdField, "requestIdField");
    }

    @Override
    public void close() {
        mClients.values().forEach(HttpClient::close);
    }

    /**
     * Sends a request.
     *
     * @param address IP address and port of the target, separated by a colon
     * @param maxConnections maximum number of connections to the target; only the value of the
     *     first request to it applies
     * @param requestId id of the request, which the target repeats
     * @param requests returns the request, given the time left in nanoseconds when a connection is
     *     free for it
     * @param timeoutNanos time limit of the whole exchange, until the response has ended
     * @param maxConnectNanos longest wait for a connection, after which the request is withdrawn
     * @param sink receives the response
     * @return a handle to cancel the request or pause its response
     */
    public HttpCall send(
            String address,
            int maxConnections,
            String requestId,
            LongFunction<HttpRequest> requests,
            long timeoutNanos,
            long maxConnectNanos,
            HttpResponseHandler sink) {
        HttpClient client = mClients.computeIfAbsent(address, a -> client(a, maxConnections));
        HttpCall call = client.prepare(requestId, requests, timeoutNanos, maxConnectNanos, sink);
        client.send(call);
        return call;
    }

    /**
     * Fails the requests to a target that still wait for a connection, as not sent.
     *
     * @param address IP address and port of the target, separated by a colon
     */
    public void withdrawWaiting(String address) {
        HttpClient client = mClients.get(address);
        if (client != null) {
            client.withdrawWaiting();
        }
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
                        MAX_WAITING,
                        CONNECT_TIMEOUT_NANOS,
                        true,
                        mRequestIdField));
    }

    private static final class Clients extends LinkedHashMap<String, HttpClient> {
        private static final long serialVersionUID = 1L;

        Clients() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, HttpClient> eldest) {
            boolean remove = size() > MAX_TARGETS;
            if (remove) {
                eldest.getValue().close();
            }
            return remove;
        }
    }
}
