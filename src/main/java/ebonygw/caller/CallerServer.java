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
 * <p>It turns requests into {@link EntryEvent}s and carries out the {@link EntryEffect}s that
 * concern answers. The number of an exchange is also the sequence of its {@link RequestId}.
 * Thread-safe.
 */
public final class CallerServer {
    private static final long DRAIN_POLL_MILLIS = 5;
    private static final long DRAINED_BODIES = 2;

    private final CallerOptions mOptions;
    private final CallerDecisions mDecisions;
    private final RequestReader mReader;
    private final Undertow mServer;
    private final Map<Long, CallerExchange> mExchanges = new ConcurrentHashMap<>();
    private final AtomicInteger mOpen = new AtomicInteger();
    private final AtomicLong mBuffered = new AtomicLong();
    private final AtomicLong mSequence = new AtomicLong();
    private final CallerExchange.Owner mOwner = new ExchangeOwner();

    /**
     * Creates a server; it listens after {@link #start}.
     *
     * @param options its options
     * @param decisions the process around it
     * @throws NullPointerException if an argument is null
     */
    public CallerServer(CallerOptions options, CallerDecisions decisions) {
        mOptions = Objects.requireNonNull(options, "options");
        mDecisions = Objects.requireNonNull(decisions, "decisions");
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
                                DRAINED_BODIES * options.maxBodyBytes())
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
     * Carries out an effect that concerns an answer; others, and those of exchanges that have
     * ended, are ignored. Never blocks.
     */
    public void apply(EntryEffect effect) {
        CallerExchange exchange = mExchanges.get(exchangeOf(effect));
        if (exchange != null) {
            exchange.offer(effect);
        }
    }

    /** Returns the number of requests that are open now. */
    public int open() {
        return mOpen.get();
    }

    /** Starts to listen. */
    public void start() {
        mServer.start();
    }

    /**
     * Stops listening and closes all connections, after open answers have been written.
     *
     * @param drainNanos longest wait for open answers, in nanoseconds
     * @throws InterruptedException if interrupted while waiting
     */
    public void stop(long drainNanos) throws InterruptedException {
        long end = System.nanoTime() + drainNanos;
        while (!mExchanges.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        mServer.stop();
    }

    private static long exchangeOf(EntryEffect effect) {
        if (effect instanceof EntryEffect.AnswerPart part) {
            return part.exchange();
        }
        if (effect instanceof EntryEffect.AnswerStarted started) {
            return started.exchange();
        }
        if (effect instanceof EntryEffect.AnswerEnded ended) {
            return ended.exchange();
        }
        if (effect instanceof EntryEffect.AnswerBroken broken) {
            return broken.exchange();
        }
        return effect instanceof EntryEffect.Refused refused ? refused.exchange() : -1;
    }

    private void ask(HttpServerExchange exchange, byte[] body) {
        Either<Refusal, CallerRequest> read =
                mReader.read(
                        exchange.getRequestMethod().toString(),
                        exchange.getRequestPath(),
                        exchange.getQueryString(),
                        exchange.getRequestHeaders(),
                        body,
                        mDecisions.settings().get());
        if (read.isLeft()) {
            mOpen.decrementAndGet();
            mBuffered.addAndGet(-body.length);
            Refusals.send(exchange, read.getLeft());
            return;
        }
        open(exchange, read.get(), body.length);
    }

    private void body(HttpServerExchange exchange) {
        BodyReader reader =
                new BodyReader(
                        exchange,
                        mOptions.maxBodyBytes(),
                        body -> bodyRead(exchange, body),
                        fault -> bodyFailed(exchange, fault));
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> reader.start(mOptions.bodyTimeoutNanos()));
    }

    private void bodyFailed(HttpServerExchange exchange, BodyReader.Fault fault) {
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
                mOpen.decrementAndGet();
                IoUtils.safeClose(exchange.getConnection());
            }
        }
    }

    private void bodyRead(HttpServerExchange exchange, byte[] body) {
        if (mBuffered.addAndGet(body.length) > mOptions.maxBufferedBytes()) {
            mBuffered.addAndGet(-body.length);
            refuseOpen(exchange, RefusalCode.OVERLOADED, "too many bytes in flight");
            return;
        }
        ask(exchange, body);
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals("/live")) {
            Refusals.send(exchange, "{\"live\":true}");
        } else if (path.equals("/ready")) {
            boolean ready = mDecisions.ready().getAsBoolean();
            exchange.setStatusCode(ready ? 200 : RefusalCode.NOT_READY.status());
            Refusals.send(exchange, "{\"ready\":" + ready + "}");
        } else if (path.equals("/v1/models")) {
            listModels(exchange);
        } else if (path.startsWith("/v1/") || path.startsWith(RequestReader.ROUTES_PREFIX)) {
            request(exchange);
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
                                        mDecisions.settings().get(),
                                        System.currentTimeMillis()))
                .peek(json -> Refusals.send(exchange, json))
                .peekLeft(refusal -> Refusals.send(exchange, refusal));
    }

    private void open(HttpServerExchange exchange, CallerRequest request, int bodyBytes) {
        long number = mSequence.incrementAndGet();
        String id = new RequestId(mOptions.node(), mOptions.incarnation(), number).toString();
        CallerExchange opened =
                new CallerExchange(
                        number,
                        id,
                        request.streamed(),
                        bodyBytes,
                        exchange,
                        mOwner,
                        mOptions.writeTimeoutNanos(),
                        AnswerStyle.OWN);
        mExchanges.put(number, opened);
        mDecisions.events().accept(new EntryEvent.CallerAsked(number, request));
        opened.start();
    }

    private void refuseOpen(HttpServerExchange exchange, RefusalCode code, String detail) {
        mOpen.decrementAndGet();
        Refusals.send(exchange, Refusal.notRun(code, detail));
    }

    private void request(HttpServerExchange exchange) {
        if (!exchange.getProtocol().equals(Protocols.HTTP_1_1)) {
            Refusals.send(
                    exchange, Refusal.notRun(RefusalCode.BAD_REQUEST, "HTTP/1.1 is expected"));
            return;
        }
        if (!mDecisions.ready().getAsBoolean()) {
            exchange.setPersistent(false);
        }
        if (mOpen.incrementAndGet() > mOptions.maxExchanges()) {
            exchange.setPersistent(false);
            refuseOpen(exchange, RefusalCode.OVERLOADED, "too many requests are open");
            return;
        }
        body(exchange);
    }

    /** Ends exchanges and passes their events on. */
    private final class ExchangeOwner implements CallerExchange.Owner {
        @Override
        public void post(EntryEvent event) {
            mDecisions.events().accept(event);
        }

        @Override
        public void released(CallerExchange exchange) {
            mExchanges.remove(exchange.number());
            mOpen.decrementAndGet();
            mBuffered.addAndGet(-exchange.bodyBytes());
        }
    }
}
