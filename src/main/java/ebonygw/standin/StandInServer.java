package ebonygw.standin;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import org.xnio.Options;
import org.xnio.XnioIoThread;

/** An HTTP server with a single IO thread, on which all handlers run. */
final class StandInServer {
    private final Undertow mServer;
    private final Queue<RecordedRequest> mRecordedRequests = new ConcurrentLinkedQueue<>();

    StandInServer(String address, int port, HttpHandler handler) {
        mServer =
                Undertow.builder()
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .setWorkerOption(Options.WORKER_NAME, "stand-in")
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .addHttpListener(port, address)
                        .setHandler(handler)
                        .build();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
    }

    /** Runs a task on the IO thread; drops it if the server has stopped. */
    void execute(Runnable task) {
        try {
            ioThread().execute(task);
        } catch (RejectedExecutionException cause) {
            Logger.debug("event=stand_in_stopped");
        }
    }

    void record(HttpServerExchange exchange, byte[] body) {
        mRecordedRequests.add(
                RecordedRequest.of(
                        exchange, new String(body, java.nio.charset.StandardCharsets.UTF_8)));
    }

    List<RecordedRequest> recordedRequests() {
        return List.copyOf(mRecordedRequests);
    }

    /** Runs a task on the IO thread after a delay; drops it if the server has stopped. */
    void schedule(long delayNanos, Runnable task) {
        try {
            ioThread().executeAfter(task, Math.max(1, delayNanos), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException cause) {
            Logger.debug("event=stand_in_stopped");
        }
    }

    static void sendJson(HttpServerExchange exchange, int status, String json) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(json);
    }

    void start() {
        mServer.start();
    }

    void stop() {
        mServer.stop();
    }

    private XnioIoThread ioThread() {
        return mServer.getWorker().getIoThread();
    }
}
