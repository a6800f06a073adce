package ebonygw.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A loopback proxy that delays, resets, cuts one way or silences the connections through it.
 *
 * <p>Thread-safe.
 */
final class SoakLink implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 128;

    /** What happens to the bytes on their way. */
    enum Fault {
        NONE,
        /** Each piece is held up. */
        DELAY,
        /** What the server sends is lost. */
        CUT_ANSWERS,
        /** What both sides send is lost, and no connection is closed. */
        SILENCE
    }

    private final ServerSocket mListener;
    private final InetSocketAddress mServer;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile Fault mFault = Fault.NONE;
    private volatile long mDelayMillis;

    SoakLink(String host, int port, InetSocketAddress server) throws IOException {
        mListener = new ServerSocket(port, BACKLOG, InetAddress.getByName(host));
        mServer = server;
        start(this::accept, "soak-link");
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mListener.getLocalSocketAddress();
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        reset();
    }

    void fault(Fault fault, long delayMillis) {
        mDelayMillis = delayMillis;
        mFault = fault;
    }

    /** Resets all connections. */
    void reset() {
        for (Socket socket : mSockets) {
            abort(socket);
        }
    }

    private void abort(Socket socket) {
        mSockets.remove(socket);
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It is closed already, which is what was wanted.
        }
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket client = mListener.accept();
                Socket server = new Socket();
                mSockets.add(client);
                mSockets.add(server);
                start(() -> connect(client, server), "soak-link-connection");
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void connect(Socket client, Socket server) {
        try {
            server.connect(mServer);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            start(() -> pump(server, client, true), "soak-link-answers");
            pump(client, server, false);
        } catch (IOException refused) {
            abort(client);
            abort(server);
        }
    }

    private void pump(Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                Fault fault = mFault;
                if (fault == Fault.DELAY) {
                    Thread.sleep(mDelayMillis);
                }
                boolean lost = fault == Fault.SILENCE || fault == Fault.CUT_ANSWERS && answers;
                if (!lost) {
                    output.write(buffer, 0, read);
                    output.flush();
                }
            }
            if (mFault != Fault.SILENCE) {
                to.shutdownOutput();
            }
        } catch (IOException | InterruptedException ended) {
            if (mFault != Fault.SILENCE) {
                abort(from);
                abort(to);
            }
        }
    }

    private static void start(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }
}
