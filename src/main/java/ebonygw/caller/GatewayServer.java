package ebonygw.caller;

import com.google.protobuf.ByteString;
import ebonygw.EntryEffect;
import ebonygw.EntryEvent;
import ebonygw.gateway.AttemptTerms;
import ebonygw.gateway.GatewayEffect;
import ebonygw.gateway.GatewayEvent;
import ebonygw.gateway.GatewayHeaders;
import ebonygw.gateway.GatewayRequest;
import ebonygw.http.HttpAnswerSink;
import ebonygw.http.HttpCall;
import ebonygw.http.HttpHeaders;
import ebonygw.http.HttpRequest;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.target.TargetForwarder;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.AttachmentKey;
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
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * The HTTP server of an entry that forwards requests to targets directly.
 *
 * <p>Callers' connections and those to targets share one IO thread, on which the bytes of answers
 * go from one to the other; what has to be decided goes to the control thread as {@link
 * GatewayEvent}s and comes back as {@link GatewayEffect}s.
 */
public final class GatewayServer {
    private static final AttachmentKey<HttpServerExchange> OPEN =
            AttachmentKey.create(HttpServerExchange.class);

    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;

    private final GatewayServerOptions mOptions;
    private final GatewayHeaders mHeaders;
    private final TargetForwarder mTargets;
    private final Predicate<GatewayEvent> mEvents;
    private final BooleanSupplier mReady;
    private final BooleanSupplier mStopping;
    private final XnioWorker mWorker;
    private final Undertow mServer;
    private final Set<ServerConnection> mConnections = new HashSet<>();
    private final Map<Long, GatewayExchange> mExchanges = new ConcurrentHashMap<>();
    private final AtomicLong mSequence = new AtomicLong();
    private final CallerExchange.Owner mOwner = new ExchangeOwner();

    /**
     * Creates a server; it listens after {@link #start}.
     *
     * @param options its options
     * @param worker has the IO thread
     * @param headers translates header fields
     * @param events takes events for the control thread; returns whether it did, which only
     *     requests may be denied
     * @param ready whether callers are welcome
     * @param stopping whether connections are to be closed after their answers
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
        mTargets = new TargetForwarder(worker);
        mServer =
                Undertow.builder()
                        .setWorker(worker)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .setServerOption(
                                UndertowOptions.MAX_ENTITY_SIZE, 2L * options.maxBodyBytes())
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                        .addHttpListener(options.callers().getPort(), host(options.callers()))
                        .addHttpListener(options.readiness().getPort(), host(options.readiness()))
                        .setHandler(new HttpContinueReadHandler(this::handle))
                        .build();
    }

    /** Carries out an effect that concerns a request; never blocks. */
    public void apply(GatewayEffect effect) {
        if (effect instanceof GatewayEffect.Attempt attempt) {
            onThread(attempt.exchange(), it -> it.send(attempt.request(), attempt.terms()));
        } else if (effect instanceof GatewayEffect.Cancel cancel) {
            onThread(cancel.exchange(), GatewayExchange::cancel);
        } else if (effect instanceof GatewayEffect.Relay relay) {
            onThread(relay.exchange(), GatewayExchange::relay);
        } else if (effect instanceof GatewayEffect.Refused refused) {
            GatewayExchange exchange = mExchanges.get(refused.exchange());
            if (exchange != null) {
                exchange.refuse(refused.refusal());
            }
        }
    }

    /** Returns the address on which it listens for callers. */
    public InetSocketAddress callerAddress() {
        return (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
    }

    /** Returns the address on which it answers the balancer. */
    public InetSocketAddress readinessAddress() {
        return (InetSocketAddress) mServer.getListenerInfo().get(1).getAddress();
    }

    /**
     * Closes connections without a request, and the others after their answers; new connections are
     * still taken.
     */
    public void drain() {
        mWorker.getIoThread()
                .execute(
                        () -> {
                            for (ServerConnection connection : List.copyOf(mConnections)) {
                                HttpServerExchange open = connection.getAttachment(OPEN);
                                if (open == null) {
                                    IoUtils.safeClose(connection);
                                } else {
                                    open.setPersistent(false);
                                }
                            }
                        });
    }

    /** Starts to listen. */
    public void start() {
        mServer.start();
    }

    /** Closes all connections. */
    public void stop() {
        mServer.stop();
        mTargets.close();
    }

    private static String host(InetSocketAddress address) {
        return address.getAddress().getHostAddress();
    }

    private void ask(HttpServerExchange exchange, byte[] body) {
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
        open(exchange, request.get(), body.length);
    }

    private void bodyFailed(HttpServerExchange exchange, BodyReader.Fault fault) {
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
            default -> IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void handle(HttpServerExchange exchange) {
        InetSocketAddress local = exchange.getConnection().getLocalAddress(InetSocketAddress.class);
        if (local.getPort() == readinessAddress().getPort()) {
            boolean known = exchange.getRequestPath().equals(mOptions.readinessPath());
            int failure = known ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.NOT_FOUND;
            exchange.setStatusCode(known && mReady.getAsBoolean() ? StatusCodes.OK : failure);
            exchange.endExchange();
            return;
        }
        ServerConnection connection = exchange.getConnection();
        if (mConnections.add(connection)) {
            connection.addCloseListener(mConnections::remove);
        }
        connection.putAttachment(OPEN, exchange);
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    connection.removeAttachment(OPEN);
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
                        body -> ask(exchange, body),
                        fault -> bodyFailed(exchange, fault));
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> reader.start(mOptions.bodyTimeoutNanos()));
    }

    private void onThread(long number, Consumer<GatewayExchange> task) {
        mWorker.getIoThread()
                .execute(
                        () -> {
                            GatewayExchange exchange = mExchanges.get(number);
                            if (exchange != null) {
                                task.accept(exchange);
                            }
                        });
    }

    private void open(HttpServerExchange exchange, GatewayRequest request, int bodyBytes) {
        long number = mSequence.incrementAndGet();
        CallerExchange caller =
                new CallerExchange(
                        number,
                        request.id(),
                        false,
                        bodyBytes,
                        exchange,
                        mOwner,
                        mOptions.writeTimeoutNanos(),
                        AnswerStyle.FORWARDED);
        mExchanges.put(number, new GatewayExchange(caller, mHeaders, this::send, mEvents::test));
        if (!mEvents.test(new GatewayEvent.CallerAsked(number, request))) {
            caller.offer(
                    new EntryEffect.Refused(
                            number,
                            Refusal.notRun(
                                    RefusalCode.OVERLOADED, "the control thread is overloaded")));
        }
        caller.start();
    }

    private HttpCall send(GatewayRequest request, AttemptTerms terms, HttpAnswerSink sink) {
        Map<String, String> headers = new HashMap<>(mHeaders.write(request, terms));
        headers.put("host", request.host());
        HttpRequest forwarded =
                new HttpRequest(request.method(), request.path(), headers, request.body());
        return mTargets.send(
                terms.address(), terms.maxConnections(), forwarded, terms.leftNanos(), sink);
    }

    /** Ends exchanges and passes their events on. */
    private final class ExchangeOwner implements CallerExchange.Owner {
        @Override
        public void post(EntryEvent event) {
            if (event instanceof EntryEvent.CallerGone gone) {
                mEvents.test(new GatewayEvent.CallerGone(gone.exchange()));
            } else if (event instanceof EntryEvent.CallerTook took) {
                GatewayExchange exchange = mExchanges.get(took.exchange());
                if (exchange != null) {
                    exchange.took(took.parts());
                }
            }
        }

        @Override
        public void released(CallerExchange exchange) {
            GatewayExchange open = mExchanges.remove(exchange.number());
            if (open != null) {
                open.cancel();
            }
        }
    }
}
