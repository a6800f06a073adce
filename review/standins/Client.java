import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One channel of a client. */
final class Client implements AutoCloseable {
    private final Socket mSocket = new Socket();
    private final InputStream mIn;

    /** An answer; the body is what arrived of it. */
    record Answer(Http.Head head, byte[] body, boolean complete) {
        int status() {
            return head == null ? 0 : head.status();
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    Client(InetSocketAddress address) throws IOException {
        this(address, 0);
    }

    /** Opens a channel; a receive buffer of 0 bytes stands for the system's choice. */
    Client(InetSocketAddress address, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            mSocket.setReceiveBufferSize(receiveBuffer);
        }
        mSocket.setTcpNoDelay(true);
        mSocket.connect(address, 2_000);
        mIn = new BufferedInputStream(mSocket.getInputStream(), 4 * 1024);
    }

    Socket socket() {
        return mSocket;
    }

    InputStream in() {
        return mIn;
    }

    /** Returns the bytes of a request with a length. */
    static byte[] request(String method, String path, String id, String fields, byte[] body) {
        String head =
                "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer k1\r\n%s%s\r\n"
                        .formatted(
                                method,
                                path,
                                id,
                                fields,
                                body.length == 0 ? "" : "Content-Length: " + body.length + "\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    Client send(byte[] bytes) throws IOException {
        mSocket.getOutputStream().write(bytes);
        return this;
    }

    /** Reads an answer; one that breaks off is returned as incomplete. */
    Answer read(int timeoutMillis) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Http.Head head = null;
        try {
            mSocket.setSoTimeout(timeoutMillis);
            head = Http.readHead(mIn);
            if (head == null) {
                return new Answer(null, new byte[0], false);
            }
            if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
                for (byte[] chunk = Http.readChunk(mIn);
                        chunk.length > 0;
                        chunk = Http.readChunk(mIn)) {
                    body.writeBytes(chunk);
                }
            } else {
                body.writeBytes(Http.readBody(mIn, head));
            }
            return new Answer(head, body.toByteArray(), true);
        } catch (IOException broken) {
            return new Answer(head, body.toByteArray(), false);
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
