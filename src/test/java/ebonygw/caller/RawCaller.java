package ebonygw.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A test client on a plain socket, which sends and receives the raw bytes of HTTP. */
public final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket mSocket = new Socket();

    public RawCaller(InetSocketAddress server) throws IOException {
        mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
        mSocket.setReceiveBufferSize(16 * 1024);
        mSocket.connect(server);
    }

    public static String post(String path, String headers, String body) {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s"
                .formatted(path, length, headers, body);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    /** Reads one response with its body, delimited by content length or chunks. */
    public Response readResponse() throws IOException {
        String head = readUntil("\r\n\r\n");
        String lower = head.toLowerCase(Locale.ROOT);
        int status = Integer.parseInt(head.split(" ")[1]);
        int length = lower.indexOf("content-length: ");
        if (length >= 0) {
            int end = lower.indexOf("\r\n", length);
            return new Response(
                    status,
                    lower,
                    readExactly(Integer.parseInt(lower.substring(length + 16, end))));
        }
        StringBuilder body = new StringBuilder();
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            body.append(readExactly(size));
            readExactly(2);
        }
        readExactly(2);
        return new Response(status, lower, body.toString());
    }

    /** Reads until the server closes the connection. */
    public String readToEnd() throws IOException {
        return new String(mSocket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    public RawCaller send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return this;
    }

    /** Reads up to and including a text. */
    public String readUntil(String terminator) throws IOException {
        StringBuilder read = new StringBuilder();
        InputStream input = mSocket.getInputStream();
        try {
            while (!endsWith(read, terminator)) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException(
                            "connection closed before \"" + terminator + "\", received: " + read);
                }
                read.append((char) next);
            }
        } catch (SocketTimeoutException cause) {
            throw new IOException(
                    "timeout waiting for \"" + terminator + "\", received: " + read, cause);
        }
        return read.toString();
    }

    private static boolean endsWith(StringBuilder text, String terminator) {
        int start = text.length() - terminator.length();
        return start >= 0 && text.indexOf(terminator, start) >= 0;
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readUntil("\r\n").strip(), 16);
    }

    private String readExactly(int count) throws IOException {
        byte[] bytes = mSocket.getInputStream().readNBytes(count);
        if (bytes.length < count) {
            throw new IOException(
                    "connection closed within a body: got "
                            + bytes.length
                            + " of "
                            + count
                            + " bytes");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** A complete response; the head is in lower case. */
    public record Response(int status, String head, String body) {}
}
