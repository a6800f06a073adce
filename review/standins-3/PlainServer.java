package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a replica of a plain service: runs each request for a while and signs its answer. */
final class PlainServer implements AutoCloseable {
    /** Handles one request; returns whether the channel stays open. */
    interface Handler {
        boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    private final ServerSocket mServer;
    private final Handler mHandler;
    final AtomicInteger mChannels = new AtomicInteger();

    PlainServer(String ip, Handler handler) throws IOException {
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 500);
        mHandler = handler;
        thread(this::accept);
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    static byte[] answer(String id, int status, String fields, byte[] body) {
        String head =
                "HTTP/1.1 "
                        + status
                        + " X\r\nAttempt-Id: "
                        + id
                        + "\r\nServer-Signature: sig."
                        + id
                        + "\r\n"
                        + fields
                        + "Content-Length: "
                        + body.length
                        + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                mChannels.incrementAndGet();
                thread(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The case has closed the listener.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = Http.buffered(socket.getInputStream());
            while (true) {
                Http.Message request = Http.head(input);
                if (request == null) {
                    return;
                }
                Http.body(request, input);
                if (!mHandler.handle(request, socket, socket.getOutputStream())) {
                    return;
                }
            }
        } catch (Exception ended) {
            // The peer has closed the channel.
        }
    }
}
