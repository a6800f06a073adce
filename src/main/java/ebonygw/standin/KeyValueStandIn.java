package ebonygw.standin;

import ebonygw.keyvalue.EtcdJson;
import ebonygw.keyvalue.FaultInjectingKeyValueStore;
import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.keyvalue.KeyValueFaults;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Instant;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Simulates the platform's key-value service: an in-memory store behind the JSON gateway of etcd v3
 * over HTTP.
 *
 * <p>Data is lost on close. Thread-safe.
 */
public final class KeyValueStandIn implements Closeable {
    private static final long TICK_INTERVAL_MICROS = 500;
    // Each open watch or pending request blocks a worker thread.
    private static final int MAX_CONCURRENT_REQUESTS = 512;

    private final FaultInjectingKeyValueStore mService;
    private final AtomicLong mLastRequestId = new AtomicLong();
    private final ScheduledThreadPoolExecutor mTimer;
    private final Undertow mServer;

    /**
     * Creates the service and starts listening.
     *
     * @param address address to listen on, with port 0 for any free one
     * @param seed seed of the generator for injected faults
     */
    public KeyValueStandIn(InetSocketAddress address, long seed) {
        Objects.requireNonNull(address, "address");
        mService =
                new FaultInjectingKeyValueStore(
                        new InMemoryKeyValueStore(), new SplittableRandom(seed));
        mTimer = new ScheduledThreadPoolExecutor(1, KeyValueStandIn::newDaemonThread);
        mTimer.scheduleAtFixedRate(this::tick, 0, TICK_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
        mServer =
                Undertow.builder()
                        .addHttpListener(address.getPort(), address.getHostString())
                        .setIoThreads(2)
                        .setWorkerThreads(MAX_CONCURRENT_REQUESTS)
                        .setHandler(this::handle)
                        .build();
        mServer.start();
    }

    /** Stops listening and ends all watches. */
    @Override
    public void close() {
        setFaults(KeyValueFaults.DOWN);
        mServer.stop();
        mTimer.shutdownNow();
    }

    /** Returns the base URI of the service. */
    public URI endpoint() {
        InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }

    /** Returns how many requests were received; a watch counts as one. */
    public long requestCount() {
        synchronized (mService) {
            return mService.requestCount();
        }
    }

    /** Sets the faults to inject from now on. */
    public void setFaults(KeyValueFaults faults) {
        synchronized (mService) {
            mService.setFaults(faults);
        }
    }

    private static Thread newDaemonThread(Runnable action) {
        Thread thread = new Thread(action, "key-value-stand-in");
        thread.setDaemon(true);
        return thread;
    }

    private static long nowNanos() {
        Instant now = Instant.now();
        return TimeUnit.SECONDS.toNanos(now.getEpochSecond()) + now.getNano();
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        if (exchange.isInIoThread()) {
            exchange.dispatch(this::handle);
            return;
        }
        exchange.startBlocking();
        byte[] body = exchange.getInputStream().readAllBytes();
        KeyValueRequest request;
        try {
            request = EtcdJson.readRequest(exchange.getRequestPath(), body);
        } catch (IOException e) {
            Logger.debug("event=key-value-stand-in-bad-call detail=\"{}\"", e.getMessage());
            exchange.setStatusCode(StatusCodes.BAD_REQUEST).endExchange();
            return;
        }
        if (request == null) {
            exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
        } else if (request instanceof KeyValueRequest.Watch watch) {
            streamWatch(exchange, watch);
        } else {
            respond(exchange, request);
        }
    }

    private void respond(HttpServerExchange exchange, KeyValueRequest request) throws Exception {
        CompletableFuture<KeyValueResponse> response = new CompletableFuture<>();
        long requestId = mLastRequestId.incrementAndGet();
        synchronized (mService) {
            mService.submit("http", requestId, request, nowNanos(), response::complete);
            mService.advance(nowNanos());
        }
        KeyValueResponse result = response.get();
        if (result instanceof KeyValueResponse.Failed failed) {
            // As in etcd, an unknown lease is reported with 404; all other failures with 503.
            boolean unavailable = failed.mayHaveTakenEffect() || !failed.detail().contains("lease");
            exchange.setStatusCode(
                    unavailable ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.NOT_FOUND);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getOutputStream().write(EtcdJson.writeResponse(request, result));
        exchange.endExchange();
    }

    /** Writes changes to the client until the watch fails or the connection closes. */
    private void streamWatch(HttpServerExchange exchange, KeyValueRequest.Watch watch)
            throws Exception {
        BlockingQueue<KeyValueResponse> responses = new LinkedBlockingQueue<>();
        long requestId = mLastRequestId.incrementAndGet();
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    responses.add(new KeyValueResponse.Failed(false, "connection closed"));
                    next.proceed();
                });
        synchronized (mService) {
            mService.submit("http", requestId, watch, nowNanos(), responses::add);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        try (OutputStream out = exchange.getOutputStream()) {
            out.write(
                    "{\"result\":{\"created\":true}}\n"
                            .getBytes(java.nio.charset.StandardCharsets.UTF_8));
            out.flush();
            while (true) {
                KeyValueResponse response = responses.take();
                if (response instanceof KeyValueResponse.Failed) {
                    return;
                }
                out.write(EtcdJson.writeWatchResponse(response));
                out.flush();
            }
        } finally {
            synchronized (mService) {
                mService.submit(
                        "http", requestId, new KeyValueRequest.WatchCancel(), nowNanos(), r -> {});
            }
        }
    }

    /** Delivers the responses that are due and expires leases. */
    private void tick() {
        synchronized (mService) {
            mService.advance(nowNanos());
        }
    }
}
