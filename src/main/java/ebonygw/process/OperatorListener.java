package ebonygw.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import ebonygw.log.LogLine;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.xnio.XnioWorker;

/**
 * HTTP server for operators; it must listen on an address that callers cannot reach: {@code
 * /metrics}, {@code /dump}, {@code /ready} and {@code /live}.
 *
 * <p>Thread-safe.
 */
public final class OperatorListener implements AutoCloseable {
    private static final int WORKER_THREADS = 2;
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final Undertow mServer;

    /**
     * Creates a listener with its own threads; it listens after {@link #start}.
     *
     * @param address address to listen on, port 0 for any free port
     * @param metrics returns the metrics of the process as text
     * @param dump returns the state of the process, without secrets
     * @param ready whether the process accepts requests
     * @param additionalHandlers additional handlers, by path prefix
     */
    public OperatorListener(
            InetSocketAddress address,
            Callable<String> metrics,
            Callable<Map<String, Object>> dump,
            BooleanSupplier ready,
            Map<String, HttpHandler> additionalHandlers) {
        this(
                address,
                metrics,
                dump,
                ready,
                additionalHandlers,
                builder -> builder.setIoThreads(1).setWorkerThreads(WORKER_THREADS));
    }

    /**
     * Creates a listener on shared threads; it listens after {@link #start}.
     *
     * @param worker provides the threads, at least one of them for blocking tasks
     * @param address address to listen on, port 0 for any free port
     * @param metrics returns the metrics of the process as text
     * @param dump returns the state of the process, without secrets
     * @param ready whether the process accepts requests
     */
    public OperatorListener(
            XnioWorker worker,
            InetSocketAddress address,
            Callable<String> metrics,
            Callable<Map<String, Object>> dump,
            BooleanSupplier ready) {
        this(address, metrics, dump, ready, Map.of(), builder -> builder.setWorker(worker));
    }

    private OperatorListener(
            InetSocketAddress address,
            Callable<String> metrics,
            Callable<Map<String, Object>> dump,
            BooleanSupplier ready,
            Map<String, HttpHandler> additionalHandlers,
            UnaryOperator<Undertow.Builder> configureThreads) {
        Objects.requireNonNull(metrics, "metrics");
        PathHandler paths =
                new PathHandler()
                        .addExactPath("/metrics", send("text/plain", metrics))
                        .addExactPath("/dump", send("application/json", () -> json(dump.call())))
                        .addExactPath("/live", send("application/json", () -> "{\"live\":true}"))
                        .addExactPath("/ready", exchange -> sendReady(exchange, ready));
        additionalHandlers.forEach(paths::addPrefixPath);
        mServer =
                configureThreads
                        .apply(Undertow.builder())
                        .addHttpListener(address.getPort(), address.getHostString())
                        .setHandler(paths)
                        .build();
    }

    /** Returns the address that the listener is bound to; call it after {@link #start} only. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    /**
     * Starts listening.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    public void start() {
        Listeners.start(mServer, "operators");
    }

    private static String json(Object value) throws IOException {
        return JSON.writeValueAsString(value);
    }

    private static HttpHandler send(String type, Callable<String> body) {
        HttpHandler handler =
                exchange -> {
                    try {
                        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
                        exchange.getResponseSender().send(body.call(), StandardCharsets.UTF_8);
                    } catch (IOException | RuntimeException failure) {
                        LogLine.of("operator_request_failed")
                                .with("path", exchange.getRequestPath())
                                .error(failure);
                        exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
                        exchange.getResponseSender().send("{\"error\":\"see the log\"}");
                    }
                };
        return new BlockingHandler(handler);
    }

    private static void sendReady(HttpServerExchange exchange, BooleanSupplier ready) {
        boolean isReady = ready.getAsBoolean();
        exchange.setStatusCode(isReady ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send("{\"ready\":" + isReady + "}");
    }
}
