package ebonygw.standin;

import ebonygw.keyvalue.EtcdJson;
import ebonygw.keyvalue.FaultyKeyValue;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueFaults;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.keyvalue.MemoryKeyValue;
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
 * A stand-in of the platform's key-value service: the JSON form of etcd v3 over HTTP, in memory.
 *
 * <p>Keeps nothing when it ends. Thread-safe.
 */
public final class KeyValueStandIn implements Closeable {
    private static final long TICK_MICROS = 500;
    private static final int MAX_WATCHES = 512;

    private final FaultyKeyValue mService;
    private final AtomicLong mCallIds = new AtomicLong();
    private final ScheduledThreadPoolExecutor mTimer;
    private final Undertow mServer;

    /**
     * Starts the stand-in.
     *
     * @param address where to listen, port 0 for any free one
     * @param seed seed of its faults
     */
    public KeyValueStandIn(InetSocketAddress address, long seed) {
        Objects.requireNonNull(address, "address");
        mService = new FaultyKeyValue(new MemoryKeyValue(), new SplittableRandom(seed));
        mTimer = new ScheduledThreadPoolExecutor(1, KeyValueStandIn::daemon);
        mTimer.scheduleAtFixedRate(this::tick, 0, TICK_MICROS, TimeUnit.MICROSECONDS);
        mServer =
                Undertow.builder()
                        .addHttpListener(address.getPort(), address.getHostString())
                        .setIoThreads(2)
                        .setWorkerThreads(MAX_WATCHES)
                        .setHandler(this::handle)
                        .build();
        mServer.start();
    }

    /** Returns how many calls it took, a watch counting as one. */
    public long calls() {
        synchronized (mService) {
            return mService.calls();
        }
    }

    /** Stops listening and ends all watches. */
    @Override
    public void close() {
        faults(KeyValueFaults.DOWN);
        mServer.stop();
        mTimer.shutdownNow();
    }

    /** Returns where it listens, as base of the service's paths. */
    public URI endpoint() {
        InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }

    /** Sets how it misbehaves from now on. */
    public void faults(KeyValueFaults faults) {
        synchronized (mService) {
            mService.faults(faults);
        }
    }

    private static Thread daemon(Runnable action) {
        Thread thread = new Thread(action, "key-value-stand-in");
        thread.setDaemon(true);
        return thread;
    }

    private static long nowNanos() {
        Instant now = Instant.now();
        return TimeUnit.SECONDS.toNanos(now.getEpochSecond()) + now.getNano();
    }

    private void answer(HttpServerExchange exchange, KeyValueCall call) throws Exception {
        CompletableFuture<KeyValueReply> answer = new CompletableFuture<>();
        long callId = mCallIds.incrementAndGet();
        synchronized (mService) {
            mService.call("http", callId, call, nowNanos(), answer::complete);
            mService.advance(nowNanos());
        }
        KeyValueReply reply = answer.get();
        if (reply instanceof KeyValueReply.Failed failed) {
            boolean fault = failed.mayHaveTakenEffect() || !failed.detail().contains("lease");
            exchange.setStatusCode(fault ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.NOT_FOUND);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getOutputStream().write(EtcdJson.writeReply(call, reply));
        exchange.endExchange();
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        if (exchange.isInIoThread()) {
            exchange.dispatch(this::handle);
            return;
        }
        exchange.startBlocking();
        byte[] body = exchange.getInputStream().readAllBytes();
        KeyValueCall call;
        try {
            call = EtcdJson.readCall(exchange.getRequestPath(), body);
        } catch (IOException e) {
            Logger.debug("event=key-value-stand-in-bad-call detail=\"{}\"", e.getMessage());
            exchange.setStatusCode(StatusCodes.BAD_REQUEST).endExchange();
            return;
        }
        if (call == null) {
            exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
        } else if (call instanceof KeyValueCall.Watch watch) {
            stream(exchange, watch);
        } else {
            answer(exchange, call);
        }
    }

    private void stream(HttpServerExchange exchange, KeyValueCall.Watch watch) throws Exception {
        BlockingQueue<KeyValueReply> replies = new LinkedBlockingQueue<>();
        long callId = mCallIds.incrementAndGet();
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    replies.add(new KeyValueReply.Failed(false, "connection closed"));
                    next.proceed();
                });
        synchronized (mService) {
            mService.call("http", callId, watch, nowNanos(), replies::add);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        try (OutputStream out = exchange.getOutputStream()) {
            out.write(
                    "{\"result\":{\"created\":true}}\n"
                            .getBytes(java.nio.charset.StandardCharsets.UTF_8));
            out.flush();
            while (true) {
                KeyValueReply reply = replies.take();
                if (reply instanceof KeyValueReply.Failed) {
                    return;
                }
                out.write(EtcdJson.writeWatchReply(reply));
                out.flush();
            }
        } finally {
            synchronized (mService) {
                mService.call("http", callId, new KeyValueCall.WatchCancel(), nowNanos(), r -> {});
            }
        }
    }

    private void tick() {
        synchronized (mService) {
            mService.advance(nowNanos());
        }
    }
}
