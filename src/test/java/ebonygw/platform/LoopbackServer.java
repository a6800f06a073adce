package ebonygw.platform;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.BlockingHandler;
import java.net.InetSocketAddress;

/** An HTTP server at a free loopback port; its handler may block. */
final class LoopbackServer implements AutoCloseable {
    private final Undertow mServer;

    /**
     * Starts a server.
     *
     * @param threads maximum number of requests that are handled concurrently
     */
    LoopbackServer(int threads, HttpHandler handler) {
        mServer =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1")
                        .setIoThreads(1)
                        .setWorkerThreads(threads)
                        .setHandler(new BlockingHandler(handler))
                        .build();
        mServer.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        mServer.stop();
    }
}
