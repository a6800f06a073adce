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
 * A plain booking service: each request books once more under its header field {@code
 * idempotency-key}, or {@code x-request-id} in its absence. It removes no duplicates, so that a
 * repeated run shows.
 *
 * <p>Thread-safe.
 */
public final class PlainServiceStandIn {
    private final StandInServer mServer;
    private final long mDelayNanos;
    private final Map<String, Integer> mBookings = new ConcurrentHashMap<>();
    private final AtomicInteger mLostAnswers = new AtomicInteger();

    /**
     * Creates a service; it listens after {@link #start}.
     *
     * @param address IP number to listen on
     * @param port port to listen on, 0 for a free one
     * @param delayNanos time between booking and answer, in nanoseconds
     */
    public PlainServiceStandIn(String address, int port, long delayNanos) {
        mServer = new StandInServer(address, port, this::handle);
        mDelayNanos = delayNanos;
    }

    /** Returns the address that the service listens on. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns how many times was booked, by idempotency key. */
    public Map<String, Integer> bookings() {
        return Map.copyOf(mBookings);
    }

    /** Books the next requests but loses the connection before their answers. */
    public void loseNextAnswers(int count) {
        mLostAnswers.set(count);
    }

    /** Returns the requests seen, in order. */
    public List<SeenRequest> seen() {
        return mServer.seen();
    }

    /** Starts to listen. */
    public void start() {
        mServer.start();
    }

    /** Stops at once. */
    public void stop() {
        mServer.stop();
    }

    private void book(HttpServerExchange exchange, byte[] body) {
        mServer.record(exchange, body);
        String requestId = exchange.getRequestHeaders().getFirst("x-request-id");
        String key = exchange.getRequestHeaders().getFirst("idempotency-key");
        String booking = Objects.requireNonNullElse(key, Objects.requireNonNullElse(requestId, ""));
        int count = mBookings.merge(booking, 1, Integer::sum);
        if (mLostAnswers.get() > 0 && mLostAnswers.getAndDecrement() > 0) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        String answer = "{\"bookings\":" + count + ",\"bytes\":" + body.length + "}";
        if (mDelayNanos == 0) {
            StandInServer.sendJson(exchange, 200, answer);
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        exchange.getIoThread()
                                .executeAfter(
                                        () -> StandInServer.sendJson(exchange, 200, answer),
                                        mDelayNanos,
                                        TimeUnit.NANOSECONDS));
    }

    private void handle(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes(this::book);
    }
}
