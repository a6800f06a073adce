package ebonygw.caller;

import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.request.CallerRequest;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.RequestId;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.Protocols;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * The HTTP server for callers.
 *
 * <p>It turns requests into {@link EntryEvent}s and applies the {@link EntryEffect}s that concern
 * responses. The id of an exchange is also the sequence of its {@link RequestId}. Thread-safe.
 */
public final class CallerServer {
    private static final long DRAIN_POLL_MILLIS = 5;

    /**
     * Undertow's body limit as a multiple of {@code maxBodyBytes}: lets the server drain the rest
     * of a body that {@link BodyReader} has refused as too large.
     */
    private static final long MAX_DRAINED_BODIES = 2;

    private final CallerOptions mOptions;
    private final CallerServerCallbacks mCallbacks;
    private final RequestReader mReader;
    private final Undertow mServer;
    private final Map<Long, CallerExchange> mExchanges = new ConcurrentHashMap<>();
    private final AtomicInteger mOpenCount = new AtomicInteger();
    private final AtomicLong mBufferedBytes = new AtomicLong();
    private final AtomicLong mSequence = new AtomicLong();
    private final CallerExchange.Owner mOwner = new ExchangeOwner();

    /**
     * Creates a server, which does not listen before {@link #start}.
     *
     * @param callbacks the process that contains the server
     * @throws NullPointerException if an argument is null
     */
    public CallerServer(CallerOptions options, CallerServerCallbacks callbacks) {
        mOptions = Objects.requireNonNull(options, "options");
        mCallbacks = Objects.requireNonNull(callbacks, "callbacks");
        mReader = new RequestReader(options.defaultMaxTokens());
        Undertow.Builder builder =
                Undertow.builder()
                        .setIoThreads(options.ioThreads())
                        .setWorkerThreads(1)
                        .setWorkerOption(Options.WORKER_NAME, "callers")
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, options.maxHeaderBytes())
                        .setServerOption(
                                UndertowOptions.MAX_ENTITY_SIZE,
                                MAX_DRAINED_BODIES * options.maxBodyBytes())
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                (int) TimeUnit.NANOSECONDS.toMillis(options.bodyTimeoutNanos()))
                        .setHandler(new HttpContinueReadHandler(this::handle));
        if (options.tls().isPresent()) {
            builder.addHttpsListener(options.port(), options.address(), options.tls().get());
        } else {
            builder.addHttpListener(options.port(), options.address());
        }
        mServer = builder.build();
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
    }

    /**
     * Applies an effect that concerns a response; ignores other effects, and those of exchanges
     * that have ended. Never blocks.
     */
    public void apply(EntryEffect effect) {
        CallerExchange exchange = mExchanges.get(exchangeId(effect));
        if (exchange != null) {
            exchange.offer(effect);
        }
    }

    /** Returns the number of open requests. */
    public int openRequests() {
        return mOpenCount.get();
    }

    /** Starts listening. */
    public void start() {
        mServer.start();
    }

    /**
     * Waits for open responses to be written, then stops listening and closes all connections.
     *
     * @param drainNanos maximum time to wait for open responses, in nanoseconds
     * @throws InterruptedException if interrupted while waiting
     */
    public void stop(long drainNanos) throws InterruptedException {
        long end = System.nanoTime() + drainNanos;
        while (!mExchanges.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        mServer.stop();
    }

    /** Returns the exchange that an effect concerns, -1 if it does not concern a response. */
    private static long exchangeId(EntryEffect effect) {
        if (effect instanceof EntryEffect.ResponsePart part) {
            return part.exchangeId();
        }
        if (effect instanceof EntryEffect.ResponseStarted started) {
            return started.exchangeId();
        }
        if (effect instanceof EntryEffect.ResponseEnded ended) {
            return ended.exchangeId();
        }
        if (effect instanceof EntryEffect.ResponseAborted broken) {
            return broken.exchangeId();
        }
        return effect instanceof EntryEffect.Refused refused ? refused.exchangeId() : -1;
    }

    private void acceptRequest(HttpServerExchange exchange) {
        if (!exchange.getProtocol().equals(Protocols.HTTP_1_1)) {
            Refusals.send(
                    exchange, Refusal.notRun(RefusalCode.BAD_REQUEST, "HTTP/1.1 is expected"));
            return;
        }
        if (!mCallbacks.ready().getAsBoolean()) {
            exchange.setPersistent(false);
        }
        if (mOpenCount.incrementAndGet() > mOptions.maxExchanges()) {
            exchange.setPersistent(false);
            refuseOpen(exchange, RefusalCode.OVERLOADED, "too many requests are open");
            return;
        }
        readBody(exchange);
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals("/live")) {
            Refusals.send(exchange, "{\"live\":true}");
        } else if (path.equals("/ready")) {
            boolean ready = mCallbacks.ready().getAsBoolean();
            exchange.setStatusCode(ready ? 200 : RefusalCode.NOT_READY.status());
            Refusals.send(exchange, "{\"ready\":" + ready + "}");
        } else if (path.equals("/v1/models")) {
            listModels(exchange);
        } else if (path.startsWith("/v1/") || path.startsWith(RequestReader.ROUTES_PREFIX)) {
            acceptRequest(exchange);
        } else {
            Refusals.send(exchange, Refusal.notRun(RefusalCode.NOT_FOUND, "no such path"));
        }
    }

    private void listModels(HttpServerExchange exchange) {
        RequestReader.keyHash(exchange.getRequestHeaders())
                .flatMap(
                        hash ->
                                ModelList.json(
                                        hash,
                                        mCallbacks.settings().get(),
                                        System.currentTimeMillis()))
                .peek(json -> Refusals.send(exchange, json))
                .peekLeft(refusal -> Refusals.send(exchange, refusal));
    }

    private void onBody(HttpServerExchange exchange, byte[] body) {
        if (mBufferedBytes.addAndGet(body.length) > mOptions.maxBufferedBytes()) {
            mBufferedBytes.addAndGet(-body.length);
            refuseOpen(exchange, RefusalCode.OVERLOADED, "too many bytes in flight");
            return;
        }
        parseRequest(exchange, body);
    }

    private void onBodyFault(HttpServerExchange exchange, BodyReader.Fault fault) {
        exchange.setPersistent(false);
        switch (fault) {
            case TOO_LARGE ->
                    refuseOpen(
                            exchange,
                            RefusalCode.TOO_LARGE,
                            "the body is longer than " + mOptions.maxBodyBytes() + " bytes");
            case SLOW ->
                    refuseOpen(exchange, RefusalCode.DEADLINE, "the body did not arrive in time");
            default -> {
                mOpenCount.decrementAndGet();
                IoUtils.safeClose(exchange.getConnection());
            }
        }
    }

    private void openExchange(HttpServerExchange exchange, CallerRequest request, int bodyBytes) {
        long exchangeId = mSequence.incrementAndGet();
        String id = new RequestId(mOptions.node(), mOptions.incarnation(), exchangeId).toString();
        CallerExchange opened =
                new CallerExchange(
                        exchangeId,
                        id,
                        request.streamed(),
                        bodyBytes,
                        exchange,
                        mOwner,
                        mOptions.writeTimeoutNanos(),
                        ResponseStyle.OWN);
        mExchanges.put(exchangeId, opened);
        mCallbacks.events().accept(new EntryEvent.RequestReceived(exchangeId, request));
        opened.start();
    }

    private void parseRequest(HttpServerExchange exchange, byte[] body) {
        Either<Refusal, CallerRequest> request =
                mReader.read(
                        exchange.getRequestMethod().toString(),
                        exchange.getRequestPath(),
                        exchange.getQueryString(),
                        exchange.getRequestHeaders(),
                        body,
                        mCallbacks.settings().get());
        if (request.isLeft()) {
            mOpenCount.decrementAndGet();
            mBufferedBytes.addAndGet(-body.length);
            Refusals.send(exchange, request.getLeft());
            return;
        }
        openExchange(exchange, request.get(), body.length);
    }

    private void readBody(HttpServerExchange exchange) {
        BodyReader reader =
                new BodyReader(
                        exchange,
                        mOptions.maxBodyBytes(),
                        body -> onBody(exchange, body),
                        fault -> onBodyFault(exchange, fault));
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> reader.start(mOptions.bodyTimeoutNanos()));
    }

    /** Refuses a request that counts as open but has no exchange yet. */
    private void refuseOpen(HttpServerExchange exchange, RefusalCode code, String detail) {
        mOpenCount.decrementAndGet();
        Refusals.send(exchange, Refusal.notRun(code, detail));
    }

    /** Removes ended exchanges and forwards the events of open ones. */
    private final class ExchangeOwner implements CallerExchange.Owner {
        @Override
        public void post(EntryEvent event) {
            mCallbacks.events().accept(event);
        }

        @Override
        public void released(CallerExchange exchange) {
            mExchanges.remove(exchange.exchangeId());
            mOpenCount.decrementAndGet();
            mBufferedBytes.addAndGet(-exchange.bodyBytes());
        }
    }
}
