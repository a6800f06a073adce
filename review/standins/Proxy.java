import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Forwards channels; the open ones can be made silent, so that nothing passes and none is reset. */
final class Proxy implements AutoCloseable {
    private final ServerSocket mListener;
    private final InetSocketAddress mTarget;
    private final AtomicInteger mOpened = new AtomicInteger();
    private volatile int mSilentUpTo;

    Proxy(InetSocketAddress target) throws IOException {
        mTarget = target;
        mListener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start("proxy", this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mListener.getLocalSocketAddress();
    }

    /** Returns how many channels have been opened. */
    int opened() {
        return mOpened.get();
    }

    /** Makes all channels that are open now silent for good; new ones work. */
    void silence() {
        mSilentUpTo = mOpened.get();
    }

    @Override
    public void close() throws IOException {
        mListener.close();
    }

    private void accept() throws IOException {
        while (true) {
            Socket caller = mListener.accept();
            Socket target = new Socket();
            target.connect(mTarget, 1_000);
            caller.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            int number = mOpened.incrementAndGet();
            Threads.start("proxy", () -> copy(caller, target, number));
            Threads.start("proxy", () -> copy(target, caller, number));
        }
    }

    private void copy(Socket from, Socket to, int number) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            if (number > mSilentUpTo) {
                out.write(buffer, 0, count);
            }
        }
        if (number > mSilentUpTo) {
            to.close();
        }
    }
}
