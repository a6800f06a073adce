import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a replica. It checks the instance that is expected, and leaves the answer to the
 * case; connections stay open after an answer.
 */
final class Replica implements AutoCloseable {
    private final ServerSocket mListener;
    private final String mInstance;
    private final Behaviour mBehaviour;
    private final AtomicInteger mConnections = new AtomicInteger();

    /** What a replica does with a request that is meant for it. */
    interface Behaviour {
        /** Answers a request; returns false if the connection is to be closed. */
        boolean answer(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    /** A request, and which connection it has come on. */
    record Request(Http.Head head, byte[] body, int connection, Socket socket) {
        String id() {
            return head.field("attempt-id");
        }
    }

    Replica(String instance, Behaviour behaviour) throws IOException {
        this(instance, new InetSocketAddress("127.0.0.1", 0), behaviour);
    }

    Replica(String instance, InetSocketAddress address, Behaviour behaviour) throws IOException {
        mInstance = instance;
        mBehaviour = behaviour;
        mListener = new ServerSocket();
        mListener.setReuseAddress(true);
        mListener.bind(address, 64);
        Threads.start("replica", this::accept);
    }

    String address() {
        InetSocketAddress address = (InetSocketAddress) mListener.getLocalSocketAddress();
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    String instance() {
        return mInstance;
    }

    /** Returns what the replica writes to the store. */
    String registration(String service, int slots, String models) {
        return """
        {"backend":"%s","address":"%s","zone":"z1","version":"v1","slots":%d,"state":"ready",
         "cold_remaining_ms":0,"born":1700000000000,"stage":"mixed","models":%s,"sequence":1}"""
                .formatted(service, address(), slots, models);
    }

    @Override
    public void close() throws IOException {
        mListener.close();
    }

    /** Returns the bytes of an answer with a length, as a sound replica sends it. */
    static byte[] answer(int status, String id, String fields, byte[] body) {
        String head =
                "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s-%d\r\n%sContent-Length: %d\r\n\r\n"
                        .formatted(status, id, id, body.length, fields, body.length);
        byte[] start = head.getBytes(StandardCharsets.US_ASCII);
        byte[] answer = new byte[start.length + body.length];
        System.arraycopy(start, 0, answer, 0, start.length);
        System.arraycopy(body, 0, answer, start.length, body.length);
        return answer;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = mListener.accept();
            socket.setTcpNoDelay(true);
            int connection = mConnections.incrementAndGet();
            Threads.start("replica", () -> serve(socket, connection));
        }
    }

    private void serve(Socket socket, int connection) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(in, head);
                String path = head.word(1);
                String expected = head.field("expect-instance");
                if (path.equals("/healthz")) {
                    String fields =
                            "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n";
                    out.write(fields.formatted(mInstance).getBytes(StandardCharsets.US_ASCII));
                } else if (!expected.isEmpty() && !expected.equals(mInstance)) {
                    String fields =
                            "HTTP/1.1 421 X\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n";
                    out.write(fields.formatted(mInstance).getBytes(StandardCharsets.US_ASCII));
                } else if (!mBehaviour.answer(new Request(head, body, connection, socket), out)) {
                    return;
                }
            }
        }
    }
}
