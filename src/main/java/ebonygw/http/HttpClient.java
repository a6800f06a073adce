package ebonygw.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * A client of one HTTP server with a bounded pool of connections.
 *
 * <p>All its state belongs to one IO thread. Methods may be called from any thread and never block.
 */
public final class HttpClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;

    /** How long a connection is kept whose server does not say how long it keeps it. */
    private static final long MOST_IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** How much earlier than its server a connection is given up, so that no request crosses it. */
    private static final long KEEP_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final HttpClientOptions mOptions;
    private final URI mUri;
    private final String mHost;
    private final XnioWorker mWorker;
    private final XnioIoThread mThread;
    private final ByteBufferPool mBuffers =
            new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    private final boolean mOwned;
    private final ArrayDeque<Idle> mIdle = new ArrayDeque<>();
    private final ArrayDeque<HttpCall> mWaiting = new ArrayDeque<>();
    private int mOpen;
    private int mConnecting;
    private boolean mClosed;

    /**
     * Creates a client with an IO thread of its own.
     *
     * @param name name of the IO thread
     * @param options the options
     * @throws NullPointerException if an argument is null
     * @throws IOException if the IO thread cannot be started
     */
    public HttpClient(String name, HttpClientOptions options) throws IOException {
        this(worker(Objects.requireNonNull(name, "name")), options, true);
    }

    /**
     * Creates a client on an IO thread that it shares with others.
     *
     * @param worker has the IO thread; not shut down with the client
     * @param options the options
     * @throws NullPointerException if an argument is null
     */
    public HttpClient(XnioWorker worker, HttpClientOptions options) {
        this(worker, options, false);
    }

    private HttpClient(XnioWorker worker, HttpClientOptions options, boolean owned) {
        mOptions = Objects.requireNonNull(options, "options");
        InetSocketAddress server = options.server();
        mHost = server.getHostString() + ":" + server.getPort();
        mUri = URI.create("http://" + mHost);
        mWorker = Objects.requireNonNull(worker, "worker");
        mThread = mWorker.getIoThread();
        mOwned = owned;
    }

    /**
     * Creates a worker with one IO thread.
     *
     * @param name name of the thread
     * @throws IOException if it cannot be started
     */
    public static XnioWorker worker(String name) throws IOException {
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

    /** Closes all connections; open calls fail. */
    @Override
    public void close() {
        execute(this::closeNow);
    }

    /** Runs a task on the client's IO thread after a delay; not at all once it is closed. */
    public void after(long delayNanos, Runnable task) {
        execute(() -> timer(delayNanos, task));
    }

    /**
     * Prepares a call, which starts once it is sent.
     *
     * @param request the request
     * @param timeoutNanos time limit of the whole call, in nanoseconds
     * @param sink takes the answer; hears exactly one end or failure
     * @return the call, to cancel or pause it
     * @throws NullPointerException if an argument is null
     */
    public HttpCall prepare(HttpRequest request, long timeoutNanos, HttpAnswerSink sink) {
        return new HttpCall(this, request, timeoutNanos, sink);
    }

    /** Starts a prepared call; each call may be sent once. */
    public void send(HttpCall call) {
        if (Thread.currentThread() == mThread) {
            submit(call);
        } else if (!execute(() -> submit(call))) {
            call.failed(new HttpFailure(HttpFailure.Kind.CANCELLED, false, "client closed"));
        }
    }

    /** Prepares a call and starts it. */
    public void send(HttpRequest request, long timeoutNanos, HttpAnswerSink sink) {
        send(prepare(request, timeoutNanos, sink));
    }

    /**
     * Closes a connection at once, also in the middle of an answer.
     *
     * <p>Closing the connection itself would first wait for the rest of the answer. The connection
     * is reset, so that bytes of the request which the network still holds are dropped rather than
     * delivered later.
     */
    static void abort(ClientConnection connection) {
        if (connection == null || !connection.isOpen()) {
            IoUtils.safeClose(connection);
            return;
        }
        try {
            StreamConnection stream = connection.performUpgrade();
            stream.setOption(Options.CLOSE_ABORT, true);
            IoUtils.safeClose(stream);
        } catch (IOException cause) {
            Logger.debug("event=abort_failed cause=\"{}\"", cause);
            IoUtils.safeClose(connection);
        }
    }

    ByteBufferPool buffers() {
        return mBuffers;
    }

    /** Runs a task on the IO thread; returns false if the client is closed. */
    public boolean execute(Runnable task) {
        try {
            mThread.execute(task);
            return true;
        } catch (RejectedExecutionException closed) {
            Logger.debug("event=client_closed server={}", mHost);
            return false;
        }
    }

    void forget(HttpCall call) {
        mWaiting.remove(call);
    }

    String host() {
        return mHost;
    }

    HttpClientOptions options() {
        return mOptions;
    }

    /**
     * Takes a connection back.
     *
     * @param keepNanos how long the server keeps it open while it is idle, 0 if it does not say
     */
    void release(ClientConnection connection, long keepNanos) {
        if (connection.isOpen() && !mClosed) {
            long kept = keepNanos == 0 ? MOST_IDLE_NANOS : keepNanos - KEEP_MARGIN_NANOS;
            mIdle.push(new Idle(connection, System.nanoTime() + kept));
        } else {
            IoUtils.safeClose(connection);
        }
        pump();
    }

    /** Starts a timer; used on the IO thread only. */
    XnioIoThread.Key timer(long delayNanos, Runnable task) {
        return mClosed
                ? () -> true
                : mThread.executeAfter(task, Math.max(1, delayNanos), TimeUnit.NANOSECONDS);
    }

    private void closeNow() {
        mClosed = true;
        while (!mWaiting.isEmpty()) {
            mWaiting.poll()
                    .failed(new HttpFailure(HttpFailure.Kind.CANCELLED, false, "client closed"));
        }
        List.copyOf(mIdle).forEach(idle -> abort(idle.connection()));
        if (mOwned) {
            mWorker.shutdown();
        }
    }

    private void connect() {
        mOpen++;
        mConnecting++;
        ConnectAttempt attempt = new ConnectAttempt();
        attempt.mTimer = timer(mOptions.connectTimeoutNanos(), attempt::timedOut);
        UndertowClient.getInstance()
                .connect(
                        attempt,
                        mUri,
                        mThread,
                        mBuffers,
                        OptionMap.create(Options.TCP_NODELAY, true));
    }

    private void pump() {
        while (!mClosed && !mWaiting.isEmpty()) {
            Idle idle = mIdle.poll();
            if (idle != null) {
                if (System.nanoTime() - idle.untilNanos() >= 0) {
                    IoUtils.safeClose(idle.connection());
                } else if (idle.connection().isOpen()) {
                    mWaiting.poll().sendOn(idle.connection());
                }
                continue;
            }
            if (mOpen >= mOptions.maxConnections() || mConnecting >= mWaiting.size()) {
                return;
            }
            connect();
        }
    }

    private void submit(HttpCall call) {
        if (mClosed || mWaiting.size() > mOptions.maxWaiting()) {
            call.failed(
                    new HttpFailure(
                            HttpFailure.Kind.OVERLOADED, false, "no connection to " + mHost));
            return;
        }
        if (call.begin()) {
            mWaiting.add(call);
            pump();
        }
    }

    /** A connection without a call, and until when it may be used. */
    private record Idle(ClientConnection connection, long untilNanos) {}

    /** One attempt to open a connection; all methods run on the IO thread. */
    private final class ConnectAttempt implements ClientCallback<ClientConnection> {
        private boolean mEnded;
        private XnioIoThread.Key mTimer;

        @Override
        public void completed(ClientConnection connection) {
            if (!end()) {
                IoUtils.safeClose(connection);
                return;
            }
            connection.addCloseListener(
                    closed -> {
                        mOpen--;
                        mIdle.removeIf(idle -> idle.connection() == closed);
                        execute(HttpClient.this::pump);
                    });
            release(connection, 0);
        }

        @Override
        public void failed(IOException cause) {
            if (end()) {
                mOpen--;
                Logger.debug("event=connect_failed server={} cause=\"{}\"", mHost, cause);
                HttpCall call = mWaiting.poll();
                if (call != null) {
                    call.failed(
                            new HttpFailure(
                                    HttpFailure.Kind.CONNECT, false, "cannot reach " + mHost));
                }
                pump();
            }
        }

        private boolean end() {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            mConnecting--;
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
