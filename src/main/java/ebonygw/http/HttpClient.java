package ebonygw.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.tinylog.Logger;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * An asynchronous client of one HTTP server with a bounded pool of connections.
 *
 * <p>All state is confined to one IO thread. Public methods may be called from any thread and never
 * block.
 */
public final class HttpClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;

    /** Maximum idle time of a connection if the server does not announce one. */
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /**
     * How long before the server's announced keep-alive timeout a connection is discarded, so that
     * no request is sent while the server closes it.
     */
    private static final long KEEP_ALIVE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private static final OptionMap CONNECTION_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final HttpClientOptions mOptions;
    private final String mHost;
    private final XnioWorker mWorker;
    private final XnioIoThread mThread;
    private final ByteBufferPool mBuffers =
            new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    private final boolean mOwnsWorker;
    private final ArrayDeque<IdleConnection> mIdleConnections = new ArrayDeque<>();
    private final ArrayDeque<HttpCall> mWaiting = new ArrayDeque<>();
    private int mOpenCount;
    private int mConnectingCount;
    private boolean mClosed;

    /**
     * Creates a client with its own IO thread.
     *
     * @param name name of the IO thread
     * @throws NullPointerException if an argument is null
     * @throws IOException if the IO thread cannot be started
     */
    public HttpClient(String name, HttpClientOptions options) throws IOException {
        this(createWorker(Objects.requireNonNull(name, "name")), options, true);
    }

    /**
     * Creates a client on a shared IO thread.
     *
     * @param worker the worker whose IO thread is used; not shut down with the client
     * @throws NullPointerException if an argument is null
     */
    public HttpClient(XnioWorker worker, HttpClientOptions options) {
        this(worker, options, false);
    }

    private HttpClient(XnioWorker worker, HttpClientOptions options, boolean ownsWorker) {
        mOptions = Objects.requireNonNull(options, "options");
        InetSocketAddress server = options.server();
        mHost = server.getHostString() + ":" + server.getPort();
        mWorker = Objects.requireNonNull(worker, "worker");
        mThread = mWorker.getIoThread();
        mOwnsWorker = ownsWorker;
    }

    /**
     * Creates a worker with one IO thread.
     *
     * @param name name of the thread
     * @throws IOException if the thread cannot be started
     */
    public static XnioWorker createWorker(String name) throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_IO_THREADS, 1)
                                .set(Options.WORKER_TASK_CORE_THREADS, 0)
                                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                .set(Options.THREAD_DAEMON, true)
                                .set(Options.WORKER_NAME, name)
                                .getMap());
    }

    /**
     * Closes the client: requests that wait for a connection fail, idle connections are closed, and
     * the client's own IO thread, if it has one, is shut down, which fails requests in progress.
     */
    @Override
    public void close() {
        execute(this::closeNow);
    }

    /**
     * Runs a task on the client's IO thread after a delay; does nothing if the client is closed.
     */
    public void schedule(long delayNanos, Runnable task) {
        execute(() -> timer(delayNanos, task));
    }

    /**
     * Prepares a request without sending it.
     *
     * @param timeoutNanos time limit from sending the request to the end of the response, in
     *     nanoseconds
     * @param handler receives the response, with exactly one end or failure
     * @return the call, for {@link #send(HttpCall)}, to cancel it, or to pause reading
     * @throws NullPointerException if an argument is null
     */
    public HttpCall prepare(HttpRequest request, long timeoutNanos, HttpResponseHandler handler) {
        Objects.requireNonNull(request, "request");
        String requestId = request.headers().getOrDefault(mOptions.requestIdField(), "");
        return prepare(requestId, remainingNanos -> request, timeoutNanos, timeoutNanos, handler);
    }

    /**
     * Prepares a request that depends on the time left when a connection is free for it.
     *
     * @param requestId id that the request has in the header field which the server repeats, empty
     *     if it has none; ignored if the server repeats no field
     * @param requests returns the request, given the time left in nanoseconds; called on the IO
     *     thread
     * @param timeoutNanos time limit from sending the request to the end of the response, in
     *     nanoseconds
     * @param maxConnectNanos longest time for which the request waits for a connection; then it
     *     fails as withdrawn
     * @param handler receives the response, with exactly one end or failure
     * @return the call, as of {@link #prepare(HttpRequest, long, HttpResponseHandler)}
     * @throws NullPointerException if an argument is null
     */
    public HttpCall prepare(
            String requestId,
            LongFunction<HttpRequest> requests,
            long timeoutNanos,
            long maxConnectNanos,
            HttpResponseHandler handler) {
        Objects.requireNonNull(requestId, "requestId");
        String repeatedId = mOptions.requestIdField().isEmpty() ? "" : requestId;
        return new HttpCall(this, repeatedId, requests, timeoutNanos, maxConnectNanos, handler);
    }

    /** Sends a prepared request; each call may be sent once. */
    public void send(HttpCall call) {
        if (Thread.currentThread() == mThread) {
            submit(call);
        } else if (!execute(() -> submit(call))) {
            call.fail(new HttpFailure(HttpFailure.Kind.CANCELLED, false, "client closed"));
        }
    }

    /** Prepares and sends a request. */
    public void send(HttpRequest request, long timeoutNanos, HttpResponseHandler handler) {
        send(prepare(request, timeoutNanos, handler));
    }

    /**
     * Closes the idle connections that have completed no response since a time. A path that has
     * failed leaves all connections over it open and silent, so that one overdue response makes all
     * connections doubtful that have not responded since its request was sent.
     *
     * @param sinceNanos a time by {@link System#nanoTime}
     */
    public void closeSilentSince(long sinceNanos) {
        if (Thread.currentThread() != mThread) {
            execute(() -> closeSilentSince(sinceNanos));
            return;
        }
        for (IdleConnection idle : List.copyOf(mIdleConnections)) {
            if (idle.connection().respondedNanos() - sinceNanos < 0) {
                idle.connection().abort();
            }
        }
    }

    /** Fails all requests that still wait for a connection, as not sent. */
    public void withdrawWaiting() {
        execute(
                () -> {
                    for (HttpCall call : List.copyOf(mWaiting)) {
                        mWaiting.remove(call);
                        call.fail(
                                new HttpFailure(
                                        HttpFailure.Kind.WITHDRAWN, false, "withdrawn unsent"));
                    }
                });
    }

    /** Runs a task on the IO thread; returns false if the IO thread has been shut down. */
    public boolean execute(Runnable task) {
        try {
            mThread.execute(task);
            return true;
        } catch (RejectedExecutionException closed) {
            Logger.debug("event=client_closed server={}", mHost);
            return false;
        }
    }

    void removeWaiting(HttpCall call) {
        mWaiting.remove(call);
    }

    String host() {
        return mHost;
    }

    HttpClientOptions options() {
        return mOptions;
    }

    /**
     * Returns a connection to the pool, or closes it if it has been closed or the client has.
     *
     * @param keepAliveNanos the server's idle timeout, 0 if unknown
     */
    void release(HttpConnection connection, long keepAliveNanos) {
        if (connection.isOpen() && !mClosed) {
            long nowNanos = System.nanoTime();
            connection.release(nowNanos);
            long usableNanos =
                    keepAliveNanos == 0 ? MAX_IDLE_NANOS : keepAliveNanos - KEEP_ALIVE_MARGIN_NANOS;
            mIdleConnections.push(new IdleConnection(connection, nowNanos + usableNanos));
        } else {
            connection.close();
        }
        processWaiting();
    }

    /** Starts a timer; called on the IO thread only. */
    XnioIoThread.Key timer(long delayNanos, Runnable task) {
        return mClosed
                ? () -> true
                : mThread.executeAfter(task, Math.max(1, delayNanos), TimeUnit.NANOSECONDS);
    }

    private void closeNow() {
        mClosed = true;
        while (!mWaiting.isEmpty()) {
            mWaiting.poll()
                    .fail(new HttpFailure(HttpFailure.Kind.CANCELLED, false, "client closed"));
        }
        List.copyOf(mIdleConnections).forEach(idle -> idle.connection().abort());
        if (mOwnsWorker) {
            mWorker.shutdown();
        }
    }

    private void connect() {
        mOpenCount++;
        mConnectingCount++;
        ConnectAttempt attempt = new ConnectAttempt();
        attempt.mTimer = timer(mOptions.connectTimeoutNanos(), attempt::timedOut);
        mThread.openStreamConnection(mOptions.server(), attempt::completed, CONNECTION_OPTIONS)
                .addNotifier(attempt, null);
    }

    private void onClosed(HttpConnection connection) {
        mOpenCount--;
        mIdleConnections.removeIf(idle -> idle.connection() == connection);
        execute(this::processWaiting);
    }

    /** Sends waiting requests on idle connections, and opens connections within the limit. */
    private void processWaiting() {
        boolean sent = !mClosed;
        while (sent) {
            sent = sendNext() && !mClosed;
        }
        while (!mClosed && mConnectingCount < mWaiting.size() && hasRoom()) {
            connect();
        }
    }

    /**
     * Sends the first waiting request that an idle connection may carry, if there is one. If the
     * oldest may use none of them, a connection is opened for it before others take them.
     */
    private boolean sendNext() {
        if (mConnectingCount == 0 && !mIdleConnections.isEmpty() && !mWaiting.isEmpty()) {
            HttpCall oldest = mWaiting.peek();
            if (sendOnIdle(oldest)) {
                return true;
            }
            if (hasRoom()) {
                connect();
                return true;
            }
        }
        for (HttpCall call : mWaiting) {
            if (mIdleConnections.isEmpty()) {
                return false;
            }
            if (sendOnIdle(call)) {
                return true;
            }
        }
        return false;
    }

    private boolean sendOnIdle(HttpCall call) {
        Optional<HttpConnection> connection = takeIdle(call);
        if (connection.isEmpty()) {
            return false;
        }
        mWaiting.remove(call);
        call.sendOn(connection.get());
        return true;
    }

    /** Removes the idle connection to be used for a request, empty if there is none. */
    private Optional<HttpConnection> takeIdle(HttpCall call) {
        while (true) {
            Optional<IdleConnection> next =
                    mIdleConnections.stream()
                            .filter(idle -> call.mayUse(idle.connection()))
                            .findFirst();
            if (next.isEmpty()) {
                return Optional.empty();
            }
            HttpConnection connection = next.get().connection();
            mIdleConnections.remove(next.get());
            if (System.nanoTime() - next.get().expiresAtNanos() >= 0) {
                connection.close();
            } else if (connection.isQuiet()) {
                return Optional.of(connection);
            }
        }
    }

    /**
     * Returns whether another connection may be opened. At the limit the idle connection that was
     * not used for longest is closed, as the oldest waiting request may not use it.
     */
    private boolean hasRoom() {
        if (mOpenCount >= mOptions.maxConnections() && !mIdleConnections.isEmpty()) {
            mIdleConnections.pollLast().connection().close();
        }
        return mOpenCount < mOptions.maxConnections();
    }

    private void submit(HttpCall call) {
        if (mClosed || mWaiting.size() > mOptions.maxWaiting()) {
            call.fail(
                    new HttpFailure(
                            HttpFailure.Kind.OVERLOADED, false, "no connection to " + mHost));
            return;
        }
        if (call.begin()) {
            mWaiting.add(call);
            processWaiting();
        }
    }

    /** An idle connection, and until when it may be used, by {@link System#nanoTime}. */
    private record IdleConnection(HttpConnection connection, long expiresAtNanos) {}

    /** One attempt to open a connection; all methods run on the IO thread. */
    private final class ConnectAttempt extends IoFuture.HandlingNotifier<StreamConnection, Void> {
        private boolean mEnded;
        private XnioIoThread.Key mTimer;

        @Override
        public void handleFailed(IOException cause, Void attachment) {
            failed(cause);
        }

        void completed(StreamConnection stream) {
            if (!end()) {
                IoUtils.safeClose(stream);
                return;
            }
            release(
                    new HttpConnection(
                            stream,
                            mBuffers,
                            ResponseMemory.ofProcess(),
                            mOptions.requestIdField(),
                            System.nanoTime(),
                            HttpClient.this::onClosed),
                    0);
        }

        private void failed(IOException cause) {
            if (end()) {
                mOpenCount--;
                Logger.debug("event=connect_failed server={} cause=\"{}\"", mHost, cause);
                HttpCall call = mWaiting.poll();
                if (call != null) {
                    call.fail(
                            new HttpFailure(
                                    HttpFailure.Kind.CONNECT, false, "cannot reach " + mHost));
                }
                processWaiting();
            }
        }

        private boolean end() {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            mConnectingCount--;
            if (mTimer != null) {
                mTimer.remove();
            }
            return true;
        }

        private void timedOut() {
            failed(new IOException("timeout"));
        }
    }
}
