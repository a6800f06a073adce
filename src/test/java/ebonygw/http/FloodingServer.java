package ebonygw.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A server whose responses continue until the client closes the connection. */
public final class FloodingServer implements AutoCloseable {
    /** More than socket buffers hold beside any response that a client accepts. */
    public static final long MAX_ACCEPTED_BYTES = 32L << 20;

    private static final int BLOCK_BYTES = 16 * 1024;
    private static final int BACKLOG = 500;

    private final ServerSocket mServer;
    private final byte[] mStart;
    private final byte[] mBlock;
    private final long mPauseMillis;
    private final BlockingQueue<Long> mSent = new LinkedBlockingQueue<>();

    /**
     * Starts a server that sends as fast as the client reads.
     *
     * @param start beginning of each response, with {@code ~} for the end of a line
     * @param filler what is repeated after it
     */
    public FloodingServer(String start, String filler) throws IOException {
        this(start, filler.repeat(Math.max(1, BLOCK_BYTES / filler.length())), 0);
    }

    /** Starts a server that sends a block, pauses, and sends the next one. */
    public FloodingServer(String start, String block, long pauseMillis) throws IOException {
        mStart = bytes(start);
        mBlock = bytes(block);
        mPauseMillis = pauseMillis;
        mServer = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    /** Returns the length of each response that the client has given up. */
    public BlockingQueue<Long> sent() {
        return mSent;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                daemon(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test closed the listener.
        }
    }

    private static byte[] bytes(String text) {
        return text.replace("~", "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "flooding-server");
        thread.setDaemon(true);
        thread.start();
    }

    private static void readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("closed within a request");
            }
            head.append((char) next);
        }
    }

    private void serve(Socket socket) {
        long sent = 0;
        try (socket) {
            readHead(socket.getInputStream());
            socket.getOutputStream().write(mStart);
            while (sent < MAX_ACCEPTED_BYTES) {
                socket.getOutputStream().write(mBlock);
                sent += mBlock.length;
                Thread.sleep(mPauseMillis);
            }
        } catch (IOException | InterruptedException closed) {
            // The client has given up.
        }
        mSent.add(sent);
    }
}
