package ebonygw.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;

/**
 * Simulates a plain service that takes bookings. Each request adds a booking under the value of its
 * header field {@code idempotency-key}, or {@code x-request-id} in its absence. The service does
 * not remove duplicates, so that tests can detect a request that ran more than once.
 *
 * <p>Thread-safe.
 */
public final class PlainServiceStandIn {
    private final StandInServer mServer;
    private final long mDelayNanos;
    private final Map<String, Integer> mBookings = new ConcurrentHashMap<>();
    private final AtomicInteger mResponsesToDrop = new AtomicInteger();

    /**
     * Creates a service; it listens after {@link #start}.
     *
     * @param address IP address to listen on
     * @param port port to listen on, 0 for any free one
     * @param delayNanos time between booking and response, in nanoseconds
     */
    public PlainServiceStandIn(String address, int port, long delayNanos) {
        mServer = new StandInServer(address, port, this::handle);
        mDelayNanos = delayNanos;
    }

    /** Returns the address that the service listens on; valid after {@link #start}. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns the number of bookings by idempotency key, or by request id in its absence. */
    public Map<String, Integer> bookingsByKey() {
        return Map.copyOf(mBookings);
    }

    /** Books the next {@code count} requests but closes their connections without a response. */
    public void dropNextResponses(int count) {
        mResponsesToDrop.set(count);
    }

    /** Returns the received requests in order. */
    public List<RecordedRequest> recordedRequests() {
        return mServer.recordedRequests();
    }

    /** Starts listening. */
    public void start() {
        mServer.start();
    }

    /** Stops immediately, without waiting for requests. */
    public void stop() {
        mServer.stop();
    }

    private void book(HttpServerExchange exchange, byte[] body) {
        mServer.record(exchange, body);
        String requestId = exchange.getRequestHeaders().getFirst("x-request-id");
        String key = exchange.getRequestHeaders().getFirst("idempotency-key");
        String bookingKey =
                Objects.requireNonNullElse(key, Objects.requireNonNullElse(requestId, ""));
        int count = mBookings.merge(bookingKey, 1, Integer::sum);
        if (mResponsesToDrop.get() > 0 && mResponsesToDrop.getAndDecrement() > 0) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        String response = "{\"bookings\":" + count + ",\"bytes\":" + body.length + "}";
        if (mDelayNanos == 0) {
            StandInServer.sendJson(exchange, 200, response);
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        exchange.getIoThread()
                                .executeAfter(
                                        () -> StandInServer.sendJson(exchange, 200, response),
                                        mDelayNanos,
                                        TimeUnit.NANOSECONDS));
    }

    private void handle(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes(this::book);
    }
}
