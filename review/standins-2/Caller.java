import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A caller with one request on a channel of its own, which waits until its deadline. */
final class Caller implements Runnable {
    final String mId;
    private final String mIp;
    private final String mMethod;
    private final String mTarget;
    private final Map<String, String> mFields;
    private final byte[] mBody;
    private final long mDeadlineMillis;
    private final Record mRecord;

    /** Time of the last byte sent, of the first byte received and of the end. */
    volatile long mSent = -1;

    volatile long mFirst = -1;
    volatile long mEnd = -1;

    /** Status, 0 if no answer came. */
    volatile int mStatus;

    volatile HttpPeer.Head mHead;
    volatile boolean mComplete;

    /** How the wait ended: answered, closed, deadline or refused connection. */
    volatile String mHow = "waiting";

    Caller(
            String id,
            String ip,
            String method,
            String target,
            Map<String, String> fields,
            byte[] body,
            long deadlineMillis,
            Record record) {
        mId = id;
        mIp = ip;
        mMethod = method;
        mTarget = target;
        mFields = fields;
        mBody = body;
        mDeadlineMillis = deadlineMillis;
        mRecord = record;
    }

    Caller start() {
        HttpPeer.thread(this);
        return this;
    }

    boolean isDone() {
        return mEnd >= 0;
    }

    @Override
    public void run() {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getByName(mIp), Fleet.CALLERS), 1000);
            StringBuilder head = new StringBuilder(mMethod + " " + mTarget + " HTTP/1.1\r\n");
            head.append("Host: site.example\r\nAttempt-Id: " + mId + "\r\n");
            head.append("Authorization: Bearer key-of-t1\r\n");
            head.append("Deadline-Ms: " + mDeadlineMillis + "\r\n");
            mFields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (mBody.length > 0 || mMethod.equals("POST")) {
                head.append("Content-Length: " + mBody.length + "\r\n");
            }
            head.append("\r\n");
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(mBody);
            mSent = mRecord.now();
            mRecord.add("caller: %s sent, %d ms to answer", mId, mDeadlineMillis);
            long end = System.nanoTime() + mDeadlineMillis * 1_000_000;
            InputStream in = new BufferedInputStream(new Timed(socket, end));
            HttpPeer.Head answer = HttpPeer.readHead(in);
            if (answer == null) {
                mHow = "closed without an answer";
            } else {
                mFirst = mRecord.now();
                mHead = answer;
                mStatus = Integer.parseInt(answer.mFirst.split(" ")[1]);
                HttpPeer.readBody(answer, in);
                mComplete = true;
                mHow = "answered " + mStatus;
            }
        } catch (SocketTimeoutException late) {
            mHow = mSent < 0 ? "no connection" : "its deadline passed";
        } catch (IOException lost) {
            mHow =
                    (mSent < 0
                                    ? "not sent: "
                                    : mStatus == 0 ? "closed without an answer: " : "broken off: ")
                            + lost.getMessage();
        }
        mEnd = mRecord.now();
        mRecord.add("caller: %s %s", mId, mHow);
    }

    /** Reads from a socket until a time. */
    private static final class Timed extends InputStream {
        private final Socket mSocket;
        private final long mEndNanos;

        Timed(Socket socket, long endNanos) {
            mSocket = socket;
            mEndNanos = endNanos;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            long left = (mEndNanos - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new SocketTimeoutException("deadline");
            }
            mSocket.setSoTimeout((int) left);
            return mSocket.getInputStream().read(bytes, offset, length);
        }
    }
}
