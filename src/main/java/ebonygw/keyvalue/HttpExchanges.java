package ebonygw.keyvalue;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Small HTTP exchanges with JSON bodies over the Undertow client, on one thread of its own.
 *
 * <p>Connections are kept for reuse, one exchange at a time on each. Thread-safe.
 */
public final class HttpExchanges implements Closeable {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final XnioWorker mWorker;
    private final XnioIoThread mThread;
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final Map<URI, Deque<ClientConnection>> mIdle = new HashMap<>();
    private boolean mClosed;

    /**
     * Starts the thread.
     *
     * @throws IOException if it cannot be started
     */
    public HttpExchanges() throws IOException {
        mWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, true)
                                        .set(Options.WORKER_NAME, "http-exchanges")
                                        .getMap());
        mThread = mWorker.getIoThread();
    }

    /** Ends all connections; open exchanges fail. */
    @Override
    public void close() {
        mThread.execute(
                () -> {
                    mClosed = true;
                    mIdle.values().forEach(idle -> idle.forEach(IoUtils::safeClose));
                    mIdle.clear();
                    mWorker.shutdown();
                });
    }

    /** Runs an action on the thread of the exchanges. */
    public void execute(Runnable action) {
        mThread.execute(action);
    }

    /** Runs an action on the thread of the exchanges after some time. */
    public void executeAfter(Runnable action, long delayNanos) {
        mThread.executeAfter(action, Math.max(1, delayNanos), TimeUnit.NANOSECONDS);
    }

    /**
     * Starts an exchange.
     *
     * @param request what to send
     * @param listener learns the outcome on the thread of the exchanges
     * @return closes the exchange early; its listener then learns of a failure
     */
    public Closeable send(Request request, Listener listener) {
        Objects.requireNonNull(request, "request");
        Exchange exchange = new Exchange(request, Objects.requireNonNull(listener, "listener"));
        mThread.execute(exchange::start);
        return () -> mThread.execute(() -> exchange.fail("closed"));
    }

    /**
     * One exchange to carry out.
     *
     * @param endpoint scheme, host and port
     * @param method HTTP method
     * @param path path and query
     * @param headers further header fields
     * @param body the body, empty for none
     * @param timeoutNanos time until the whole answer, 0 for a stream without end
     * @param maxAnswerBytes most bytes of an answer, or of one line of a stream
     */
    public record Request(
            URI endpoint,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutNanos,
            int maxAnswerBytes) {
        /** Creates the request. */
        public Request {
            headers = Map.copyOf(headers);
            body = body.clone();
        }
    }

    /** Learns the outcome of an exchange; exactly one of both ends, lines before it. */
    public interface Listener {
        /** The whole answer is there; its body is empty for a stream whose lines were reported. */
        void answered(int status, byte[] body);

        /** The exchange failed; {@code sent} says whether the server may have seen it. */
        void failed(boolean sent, String detail);

        /** A line of a stream came, without its line feed; only where no timeout is set. */
        default void line(byte[] line) {}
    }

    private final class Exchange {
        private final Request mRequest;
        private final Listener mListener;
        private final ByteArrayOutputStream mReceived = new ByteArrayOutputStream();
        private ClientConnection mConnection;
        private int mStatus;
        private boolean mSent;
        private boolean mDone;

        Exchange(Request request, Listener listener) {
            mRequest = request;
            mListener = listener;
        }

        void start() {
            if (mClosed) {
                fail("closed");
                return;
            }
            if (mRequest.timeoutNanos() > 0) {
                executeAfter(() -> fail("timeout"), mRequest.timeoutNanos());
            }
            ClientConnection idle = takeIdle();
            if (idle != null) {
                use(idle);
                return;
            }
            UndertowClient.getInstance()
                    .connect(
                            callback(this::use),
                            mRequest.endpoint(),
                            mThread,
                            mBuffers,
                            OptionMap.EMPTY);
        }

        private <T> ClientCallback<T> callback(java.util.function.Consumer<T> next) {
            return new ClientCallback<>() {
                @Override
                public void completed(T result) {
                    next.accept(result);
                }

                @Override
                public void failed(IOException e) {
                    fail(e.toString());
                }
            };
        }

        private void fail(String detail) {
            if (mDone) {
                return;
            }
            mDone = true;
            IoUtils.safeClose(mConnection);
            mListener.failed(mSent, detail);
        }

        private void finish() {
            if (mDone) {
                return;
            }
            mDone = true;
            if (mConnection.isOpen() && !mClosed) {
                mIdle.computeIfAbsent(mRequest.endpoint(), uri -> new ArrayDeque<>())
                        .push(mConnection);
            }
            mListener.answered(mStatus, mReceived.toByteArray());
        }

        private void onData(StreamSourceChannel channel) {
            ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
            try {
                while (true) {
                    buffer.clear();
                    int count = channel.read(buffer);
                    if (count < 0) {
                        finish();
                        return;
                    }
                    if (count == 0) {
                        channel.resumeReads();
                        return;
                    }
                    take(buffer.array(), count);
                }
            } catch (IOException e) {
                fail(e.toString());
            }
        }

        private void onResponse(ClientExchange exchange) {
            mStatus = exchange.getResponse().getResponseCode();
            StreamSourceChannel channel = exchange.getResponseChannel();
            channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::onData);
            onData(channel);
        }

        private void sendBody(ClientExchange exchange) {
            StreamSinkChannel sink = exchange.getRequestChannel();
            ByteBuffer body = ByteBuffer.wrap(mRequest.body());
            sink.getWriteSetter()
                    .set((ChannelListener<StreamSinkChannel>) channel -> write(channel, body));
            write(sink, body);
        }

        private ClientConnection takeIdle() {
            Deque<ClientConnection> idle = mIdle.get(mRequest.endpoint());
            while (idle != null && !idle.isEmpty()) {
                ClientConnection connection = idle.pop();
                if (connection.isOpen()) {
                    return connection;
                }
            }
            return null;
        }

        private void take(byte[] data, int count) throws IOException {
            boolean stream = mRequest.timeoutNanos() == 0;
            for (int i = 0; i < count; i++) {
                if (stream && data[i] == '\n') {
                    byte[] line = mReceived.toByteArray();
                    mReceived.reset();
                    if (!mDone && line.length > 0) {
                        mListener.line(line);
                    }
                } else {
                    mReceived.write(data[i]);
                }
            }
            if (mReceived.size() > mRequest.maxAnswerBytes()) {
                throw new IOException("answer too long");
            }
        }

        private void use(ClientConnection connection) {
            mConnection = connection;
            if (mDone) {
                IoUtils.safeClose(connection);
                return;
            }
            ClientRequest request =
                    new ClientRequest()
                            .setMethod(new HttpString(mRequest.method()))
                            .setPath(mRequest.path());
            request.getRequestHeaders()
                    .put(Headers.HOST, mRequest.endpoint().getAuthority())
                    .put(Headers.CONTENT_TYPE, "application/json")
                    .put(Headers.CONTENT_LENGTH, mRequest.body().length);
            mRequest.headers()
                    .forEach((k, v) -> request.getRequestHeaders().put(new HttpString(k), v));
            mSent = true;
            connection.sendRequest(
                    request,
                    callback(
                            exchange -> {
                                exchange.setResponseListener(callback(this::onResponse));
                                sendBody(exchange);
                            }));
        }

        private void write(StreamSinkChannel sink, ByteBuffer body) {
            try {
                while (body.hasRemaining()) {
                    if (sink.write(body) == 0) {
                        sink.resumeWrites();
                        return;
                    }
                }
                sink.shutdownWrites();
                if (!sink.flush()) {
                    sink.getWriteSetter()
                            .set(
                                    ChannelListeners.flushingChannelListener(
                                            null, (channel, e) -> fail(e.toString())));
                    sink.resumeWrites();
                }
            } catch (IOException e) {
                fail(e.toString());
            }
        }
    }
}
