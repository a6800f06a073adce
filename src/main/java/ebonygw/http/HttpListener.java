package ebonygw.http;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Accepts connections of an HTTP server on a shared worker and counts the bytes received on each,
 * see {@link ReceivedBytes}.
 */
public final class HttpListener implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;

    /** Connections that the operating system holds until they are accepted, Undertow's default. */
    private static final int BACKLOG = 1_000;

    private static final OptionMap SOCKET_OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .set(Options.BACKLOG, BACKLOG)
                    .getMap();

    private final XnioWorker mWorker;
    private final InetSocketAddress mAddress;
    private final HttpOpenListener mOpenListener;
    private AcceptingChannel<StreamConnection> mChannel;

    /**
     * Creates a listener, which does not listen before {@link #start}.
     *
     * @param worker the worker whose IO thread is used
     * @param address address to listen on, port 0 for any free port
     * @param serverOptions Undertow's options of the server
     * @param handler handles requests
     * @throws NullPointerException if an argument is null
     */
    public HttpListener(
            XnioWorker worker,
            InetSocketAddress address,
            OptionMap serverOptions,
            HttpHandler handler) {
        mWorker = Objects.requireNonNull(worker, "worker");
        mAddress = Objects.requireNonNull(address, "address");
        ByteBufferPool buffers =
                new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
        OptionMap options =
                OptionMap.builder()
                        .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                        .addAll(Objects.requireNonNull(serverOptions, "serverOptions"))
                        .getMap();
        mOpenListener = new HttpOpenListener(buffers, options);
        mOpenListener.setRootHandler(Objects.requireNonNull(handler, "handler"));
    }

    /** Returns the address that the listener is bound to, once started. */
    public InetSocketAddress address() {
        return mChannel.getLocalAddress(InetSocketAddress.class);
    }

    /** Stops listening; open connections stay until the worker is shut down. */
    @Override
    public void close() {
        IoUtils.safeClose(mChannel);
    }

    /**
     * Starts listening.
     *
     * @throws UncheckedIOException if the address cannot be bound
     */
    public void start() {
        try {
            mChannel =
                    mWorker.createStreamConnectionServer(
                            mAddress,
                            ChannelListeners.openListenerAdapter(this::accept),
                            SOCKET_OPTIONS);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
        mChannel.resumeAccepts();
    }

    private void accept(StreamConnection connection) {
        ReceivedBytes.install(connection);
        mOpenListener.handleEvent(connection);
    }
}
