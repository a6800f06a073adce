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
 * Serves the administration API over HTTP to operators, who authenticate with bearer tokens.
 *
 * <p>Must listen on an address that callers cannot reach. Thread-safe.
 */
public final class AdminServer implements Closeable {
    private static final long MAX_BODY_BYTES = 4L * 1024 * 1024;
    private static final long RESPONSE_TIMEOUT_SECONDS = 30;
    private static final int WORKER_THREADS = 8;
    private static final String BEARER_PREFIX = "Bearer ";

    private final AdminCredentials mCredentials;
    private final AdminApi mApi;
    private final Undertow mServer;

    /**
     * Starts the server.
     *
     * @param options listen address and file of the operators' credentials
     * @param state supplies the settings state of the process, called by any thread
     * @param submitter submits changes to the control thread
     * @param inUse whether an adapter version has running requests, called by any thread
     * @throws IOException if the credentials file is unreadable or malformed
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
                        .setWorkerThreads(WORKER_THREADS)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setHandler(new BlockingHandler(this::handle))
                        .build();
        mServer.start();
    }

    /** Stops the server. */
    @Override
    public void close() {
        mServer.stop();
    }

    /** Returns the URI that the server listens on, with the actual port. */
    public URI endpoint() {
        InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }

    /** Returns the bearer token of a request, null if there is none. */
    private static String bearerToken(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        return header == null || !header.startsWith(BEARER_PREFIX)
                ? null
                : header.substring(BEARER_PREFIX.length()).strip();
    }

    private AdminResponse execute(String operator, HttpServerExchange exchange)
            throws InterruptedException {
        try {
            byte[] body = exchange.getInputStream().readAllBytes();
            Map<String, String> query = new TreeMap<>();
            exchange.getQueryParameters()
                    .forEach((name, values) -> query.put(name, values.getFirst()));
            String method = exchange.getRequestMethod().toString();
            String path = exchange.getRequestPath();
            return mApi.handle(operator, method, path, query, body)
                    .get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
        Optional<String> operator = mCredentials.operator(bearerToken(exchange));
        AdminResponse response =
                operator.isPresent()
                        ? execute(operator.get(), exchange)
                        : AdminJson.error(
                                StatusCodes.UNAUTHORIZED, "unauthorized", "no valid token");
        Logger.info(
                "event=admin-request operator={} method={} path={} status={}",
                operator.orElse("-"),
                exchange.getRequestMethod(),
                exchange.getRequestPath(),
                response.status());
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getOutputStream().write((response.body() + "\n").getBytes(StandardCharsets.UTF_8));
        exchange.endExchange();
    }
}
