package ebonygw.caller;

import com.google.protobuf.ByteString;
import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.gateway.AttemptTerms;
import ebonygw.gateway.GatewayEffect;
import ebonygw.gateway.GatewayEvent;
import ebonygw.gateway.GatewayHeaders;
import ebonygw.gateway.GatewayRequest;
import ebonygw.http.HttpCall;
import ebonygw.http.HttpHeaders;
import ebonygw.http.HttpListener;
import ebonygw.http.HttpRequest;
import ebonygw.http.HttpResponseHandler;
import ebonygw.log.LogLine;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.target.TargetForwarder;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;

/**
 * The HTTP server of an entry that forwards requests to targets directly.
 *
 * <p>The connections of callers and those to targets share one IO thread, which copies responses
 * from one to the other. Decisions are made on the control thread: it receives {@link
 * GatewayEvent}s and returns {@link GatewayEffect}s.
 */
public final class GatewayServer {
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;

    /** Interval at which a stopping process checks whether callers have got their responses. */
    private static final long DELIVERY_CHECK_MILLIS = 10;

    /** Wait for a connection that is logged, more than opening one takes between regions. */
    private static final long LOGGED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final GatewayServerOptions mOptions;
    private final GatewayHeaders mHeaders;
    private final TargetForwarder mTargets;
    private final Predicate<GatewayEvent> mEvents;
    private final BooleanSupplier mReady;
    private final BooleanSupplier mStopping;
    private final XnioWorker mWorker;
    private final HttpListener mCallers;
    private final HttpListener mReadiness;
    private final Set<ServerConnection> mConnections = new HashSet<>();

    /** Exchanges that have not ended, by their connection. */
    private final Map<ServerConnection, HttpServerExchange> mOpen = new ConcurrentHashMap<>();

    private final Map<Long, GatewayExchange> mExchanges = new ConcurrentHashMap<>();
    private final AtomicLong mSequence = new AtomicLong();
    private final CallerExchange.Owner mOwner = new ExchangeOwner();

    /**
     * Creates a server, which does not listen before {@link #start}.
     *
     * @param worker the worker whose IO thread is used
     * @param headers parses and writes the header fields of the protocol
     * @param events accepts events for the control thread; returns false only for a new request,
     *     which is then refused
     * @param ready whether the process accepts requests, as reported to readiness checks
     * @param stopping whether connections are closed after their current response
     * @throws NullPointerException if an argument is null
     */
    public GatewayServer(
            GatewayServerOptions options,
            XnioWorker worker,
            GatewayHeaders headers,
            Predicate<GatewayEvent> events,
            BooleanSupplier ready,
            BooleanSupplier stopping) {
        mOptions = Objects.requireNonNull(options, "options");
        mWorker = Objects.requireNonNull(worker, "worker");
        mHeaders = Objects.requireNonNull(headers, "headers");
        mEvents = Objects.requireNonNull(events, "events");
        mReady = Objects.requireNonNull(ready, "ready");
        mStopping = Objects.requireNonNull(stopping, "stopping");
        mTargets = new TargetForwarder(worker, headers.requestIdField());
        OptionMap serverOptions =
                OptionMap.builder()
                        .set(UndertowOptions.DECODE_URL, false)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .set(UndertowOptions.MAX_ENTITY_SIZE, 2L * options.maxBodyBytes())
                        .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                        .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                        .getMap();
        HttpHandler requests = new HttpContinueReadHandler(this::handle);
        mCallers = new HttpListener(worker, options.callers(), serverOptions, requests);
        mReadiness =
                new HttpListener(
                        worker, options.readiness(), serverOptions, this::handleReadinessCheck);
    }

    /** Applies an effect that concerns a request; never blocks. */
    public void apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.Attempt attempt) {
            onIoThread(attempt.exchange(), it -> it.send(attempt.request(), attempt.terms()));
        } else if (effect instanceof GatewayEffect.WithdrawWaiting withdraw) {
            mWorker.getIoThread().execute(() -> mTargets.withdrawWaiting(withdraw.address()));
        } else if (effect instanceof GatewayEffect.Cancel cancel) {
            onIoThread(cancel.exchange(), GatewayExchange::cancel);
        } else if (effect instanceof GatewayEffect.RelayHeldResponse relay) {
            onIoThread(relay.exchange(), GatewayExchange::relayHeldResponse);
        } else if (effect instanceof GatewayEffect.Refused refused) {
            GatewayExchange exchange = mExchanges.get(refused.exchange());
            if (exchange != null) {
                exchange.refuse(refused.refusal());
            }
        }
    }

    /** Returns the address that callers connect to. */
    public InetSocketAddress callerAddress() {
        return mCallers.address();
    }

    /** Returns the address of the readiness check. */
    public InetSocketAddress readinessAddress() {
        return mReadiness.address();
    }

    /**
     * Closes idle connections at once and the others after their current response; new connections
     * are still accepted.
     */
    public void drain() {
        mWorker.getIoThread()
                .execute(
                        () -> {
                            for (ServerConnection connection : List.copyOf(mConnections)) {
                                HttpServerExchange open = mOpen.get(connection);
                                if (open == null) {
                                    IoUtils.safeClose(connection);
                                } else {
                                    open.setPersistent(false);
                                }
                            }
                        });
    }

    /** Starts listening. */
    public void start() {
        mCallers.start();
        mReadiness.start();
    }

    /** Returns the number of requests whose responses their callers have not got whole. */
    public int undelivered() {
        return mOpen.size();
    }

    /**
     * Runs a task on the IO thread once all callers have got their whole responses.
     *
     * @param timeoutNanos time after which it runs in any case
     */
    public void whenDelivered(long timeoutNanos, Runnable task) {
        long deadlineNanos = System.nanoTime() + timeoutNanos;
        mWorker.getIoThread().execute(() -> awaitDelivery(deadlineNanos, task));
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        mCallers.close();
        mReadiness.close();
        mTargets.close();
    }

    private void awaitDelivery(long deadlineNanos, Runnable task) {
        if (mOpen.isEmpty() || System.nanoTime() - deadlineNanos >= 0) {
            task.run();
        } else {
            mWorker.getIoThread()
                    .executeAfter(
                            () -> awaitDelivery(deadlineNanos, task),
                            DELIVERY_CHECK_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void handle(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (mConnections.add(connection)) {
            connection.addCloseListener(
                    closed -> {
                        mConnections.remove(closed);
                        mOpen.remove(closed);
                    });
        }
        mOpen.put(connection, exchange);
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    mOpen.remove(connection, done);
                    next.proceed();
                });
        if (mExchanges.size() >= mOptions.maxExchanges()) {
            exchange.setPersistent(false);
            Refusals.send(
                    exchange, Refusal.notRun(RefusalCode.OVERLOADED, "too many requests are open"));
            return;
        }
        BodyReader reader =
                new BodyReader(
                        exchange,
                        mOptions.maxBodyBytes(),
                        body -> parseRequest(exchange, body),
                        fault -> onBodyFault(exchange, fault));
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> reader.start(mOptions.bodyTimeoutNanos()));
    }

    private void handleReadinessCheck(HttpServerExchange exchange) {
        boolean readinessCheck = exchange.getRequestPath().equals(mOptions.readinessPath());
        int failure = readinessCheck ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.NOT_FOUND;
        exchange.setStatusCode(readinessCheck && mReady.getAsBoolean() ? StatusCodes.OK : failure);
        exchange.endExchange();
    }

    private void onBodyFault(HttpServerExchange exchange, BodyReader.Fault fault) {
        exchange.setPersistent(false);
        switch (fault) {
            case TOO_LARGE ->
                    Refusals.send(
                            exchange,
                            Refusal.notRun(RefusalCode.TOO_LARGE, "the body is too long"));
            case SLOW ->
                    Refusals.send(
                            exchange,
                            Refusal.notRun(
                                    RefusalCode.DEADLINE, "the body did not arrive in time"));
            case FRAMING -> {
                LogLine.of("caller_given_up")
                        .with("peer", exchange.getSourceAddress())
                        .with("cause", "the framing of the body is too long")
                        .warn();
                IoUtils.safeClose(exchange.getConnection());
            }
            default -> IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Runs a task on the IO thread, unless the exchange has ended by then. */
    private void onIoThread(long exchangeId, Consumer<GatewayExchange> task) {
        mWorker.getIoThread()
                .execute(
                        () -> {
                            GatewayExchange exchange = mExchanges.get(exchangeId);
                            if (exchange != null) {
                                task.accept(exchange);
                            }
                        });
    }

    private void openExchange(HttpServerExchange exchange, GatewayRequest request, int bodyBytes) {
        long exchangeId = mSequence.incrementAndGet();
        CallerExchange caller =
                new CallerExchange(
                        exchangeId,
                        request.id(),
                        false,
                        bodyBytes,
                        exchange,
                        mOwner,
                        mOptions.writeTimeoutNanos(),
                        ResponseStyle.FORWARDED);
        mExchanges.put(
                exchangeId, new GatewayExchange(caller, mHeaders, this::send, mEvents::test));
        if (!mEvents.test(new GatewayEvent.RequestReceived(exchangeId, request))) {
            caller.offer(
                    new EntryEffect.Refused(
                            exchangeId,
                            Refusal.notRun(
                                    RefusalCode.OVERLOADED, "the control thread is overloaded")));
        }
        caller.start();
    }

    private void parseRequest(HttpServerExchange exchange, byte[] body) {
        Map<String, String> headers = HttpHeaders.endToEnd(exchange.getRequestHeaders());
        String path = exchange.getRequestURI();
        if (!exchange.getQueryString().isEmpty()) {
            path += "?" + exchange.getQueryString();
        }
        Either<Refusal, GatewayRequest> request =
                mHeaders.read(
                        exchange.getRequestMethod().toString(),
                        exchange.getHostName().toLowerCase(Locale.ROOT),
                        path,
                        headers,
                        ByteString.copyFrom(body));
        if (request.isLeft()) {
            Refusals.send(exchange, request.getLeft());
            return;
        }
        if (mStopping.getAsBoolean()) {
            exchange.setPersistent(false);
        }
        openExchange(exchange, request.get(), body.length);
    }

    /** Returns the request of an attempt for which a connection is free now. */
    private HttpRequest forwarded(GatewayRequest request, AttemptTerms terms, long remainingNanos) {
        long waitedNanos = terms.remainingNanos() - remainingNanos;
        if (waitedNanos >= LOGGED_WAIT_NANOS) {
            LogLine.of("attempt_delayed")
                    .with("request", request.id())
                    .with("attempt", terms.number())
                    .with("target", terms.instance())
                    .with("wait_ms", TimeUnit.NANOSECONDS.toMillis(waitedNanos))
                    .info();
        }
        return forwarded(request, terms.withRemaining(remainingNanos));
    }

    private HttpRequest forwarded(GatewayRequest request, AttemptTerms terms) {
        Map<String, String> headers = new HashMap<>(mHeaders.write(request, terms));
        headers.put("host", request.host());
        return new HttpRequest(request.method(), request.path(), headers, request.body());
    }

    private HttpCall send(GatewayRequest request, AttemptTerms terms, HttpResponseHandler handler) {
        return mTargets.send(
                terms.address(),
                terms.maxConnections(),
                request.id(),
                remainingNanos -> forwarded(request, terms, remainingNanos),
                terms.remainingNanos(),
                terms.maxConnectNanos(),
                handler);
    }

    /** Cancels released exchanges and handles the events of open ones. */
    private final class ExchangeOwner implements CallerExchange.Owner {
        @Override
        public void post(EntryEvent event) {
            if (event instanceof EntryEvent.CallerDisconnected disconnected) {
                mEvents.test(new GatewayEvent.CallerDisconnected(disconnected.exchangeId()));
            } else if (event instanceof EntryEvent.ResponsePartsConsumed consumed) {
                GatewayExchange exchange = mExchanges.get(consumed.exchangeId());
                if (exchange != null) {
                    exchange.onPartsConsumed(consumed.parts());
                }
            }
        }

        @Override
        public void released(CallerExchange exchange) {
            GatewayExchange open = mExchanges.remove(exchange.exchangeId());
            if (open != null) {
                open.cancel();
            }
        }
    }
}
