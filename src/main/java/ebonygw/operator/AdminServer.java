package ebonygw.operator;

import ebonygw.request.AdapterVersion;
import ebonygw.settings.SettingsState;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * The administration API over HTTP, for operators only and with credentials of its own.
 *
 * <p>Listens on an address that callers cannot reach. Thread-safe.
 */
public final class AdminServer implements Closeable {
    private static final long MAX_BODY_BYTES = 4L * 1024 * 1024;
    private static final long ANSWER_SECONDS = 30;
    private static final int WORKERS = 8;
    private static final String SCHEME = "Bearer ";

    private final AdminCredentials mCredentials;
    private final AdminApi mApi;
    private final Undertow mServer;

    /**
     * Starts the server.
     *
     * @param options where it listens and who may use it
     * @param state the process's settings, read by any thread
     * @param submitter the way to the control thread
     * @param inUse tells which adapter versions run requests, called by any thread
     * @throws IOException if the credentials cannot be read
     */
    public AdminServer(
            AdminServerOptions options,
            Supplier<SettingsState> state,
            ChangeSubmitter submitter,
            Predicate<AdapterVersion> inUse)
            throws IOException {
        mCredentials = AdminCredentials.read(options.credentials());
        mApi = new AdminApi(state, submitter, inUse, System::currentTimeMillis, new SecureRandom());
        mServer =
                Undertow.builder()
                        .addHttpListener(
                                options.address().getPort(), options.address().getHostString())
                        .setIoThreads(1)
                        .setWorkerThreads(WORKERS)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setHandler(new BlockingHandler(this::handle))
                        .build();
        mServer.start();
    }

    /** Stops listening. */
    @Override
    public void close() {
        mServer.stop();
    }

    /** Returns where it listens. */
    public URI endpoint() {
        InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }

    private static String token(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        return header == null || !header.startsWith(SCHEME)
                ? null
                : header.substring(SCHEME.length()).strip();
    }

    private AdminReply answer(String operator, HttpServerExchange exchange)
            throws InterruptedException {
        try {
            byte[] body = exchange.getInputStream().readAllBytes();
            Map<String, String> query = new TreeMap<>();
            exchange.getQueryParameters().forEach((name, v) -> query.put(name, v.getFirst()));
            String method = exchange.getRequestMethod().toString();
            String path = exchange.getRequestPath();
            return mApi.handle(operator, method, path, query, body)
                    .get(ANSWER_SECONDS, TimeUnit.SECONDS);
        } catch (IOException e) {
            return AdminJson.error(StatusCodes.BAD_REQUEST, "badRequest", "unreadable body");
        } catch (ExecutionException e) {
            Logger.error(e, "event=admin-failed operator={}", operator);
            return AdminJson.error(
                    StatusCodes.INTERNAL_SERVER_ERROR, "failed", "see the process's log");
        } catch (TimeoutException e) {
            return AdminJson.error(
                    StatusCodes.SERVICE_UNAVAILABLE,
                    "unavailable",
                    "no outcome in time; the change may have taken effect");
        }
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        Optional<String> operator = mCredentials.operator(token(exchange));
        AdminReply reply =
                operator.isPresent()
                        ? answer(operator.get(), exchange)
                        : AdminJson.error(
                                StatusCodes.UNAUTHORIZED, "unauthorized", "no valid token");
        Logger.info(
                "event=admin-request operator={} method={} path={} status={}",
                operator.orElse("-"),
                exchange.getRequestMethod(),
                exchange.getRequestPath(),
                reply.status());
        exchange.setStatusCode(reply.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getOutputStream().write((reply.body() + "\n").getBytes(StandardCharsets.UTF_8));
        exchange.endExchange();
    }
}
