package ebonygw.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A caller whose request has no end; it sends until the server closes the connection. */
final class FloodingCaller {
    /** More than socket buffers hold beside any request that a server accepts. */
    static final long MAX_ACCEPTED_BYTES = 16L << 20;

    private static final int BLOCK_BYTES = 16 * 1024;

    private final CompletableFuture<Long> mSent = new CompletableFuture<>();

    /**
     * Starts to send as fast as the server reads.
     *
     * @param start beginning of the request, with {@code ~} for the end of a line; may be null
     * @param filler what is repeated after it
     */
    FloodingCaller(InetSocketAddress server, String start, String filler) throws IOException {
        Socket socket = new Socket(server.getAddress(), server.getPort());
        byte[] first = bytes(start == null ? "" : start);
        byte[] block = bytes(filler.repeat(BLOCK_BYTES / filler.length()));
        Thread thread = new Thread(() -> mSent.complete(send(socket, first, block)), "flooding");
        thread.setDaemon(true);
        thread.start();
    }

    /** Waits until the server has closed the connection; returns how many bytes were sent. */
    long awaitSent() throws Exception {
        return mSent.get(20, TimeUnit.SECONDS);
    }

    private static byte[] bytes(String text) {
        return text.replace("~", "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    private static long send(Socket socket, byte[] start, byte[] block) {
        long sent = 0;
        try (socket) {
            socket.getOutputStream().write(start);
            while (sent < MAX_ACCEPTED_BYTES) {
                socket.getOutputStream().write(block);
                sent += block.length;
            }
        } catch (IOException closed) {
            // The server has given up.
        }
        return sent;
    }
}
