package ebonygw.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller that sees every byte of its connection. */
public final class RawCaller implements AutoCloseable {
    private static final int GUARD_MILLIS = 20_000;

    private final Socket mSocket = new Socket();

    public RawCaller(InetSocketAddress server) throws IOException {
        mSocket.setSoTimeout(GUARD_MILLIS);
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

    /** Reads one answer with its body, by content length or chunks. */
    public Answer answer() throws IOException {
        String head = until("\r\n\r\n");
        String lower = head.toLowerCase(Locale.ROOT);
        int status = Integer.parseInt(head.split(" ")[1]);
        int length = lower.indexOf("content-length: ");
        if (length >= 0) {
            int end = lower.indexOf("\r\n", length);
            return new Answer(
                    status, lower, exactly(Integer.parseInt(lower.substring(length + 16, end))));
        }
        StringBuilder body = new StringBuilder();
        for (int size = chunkSize(); size > 0; size = chunkSize()) {
            body.append(exactly(size));
            exactly(2);
        }
        exactly(2);
        return new Answer(status, lower, body.toString());
    }

    /** Reads until the connection ends. */
    public String rest() throws IOException {
        return new String(mSocket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    public RawCaller send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return this;
    }

    public String until(String mark) throws IOException {
        StringBuilder read = new StringBuilder();
        InputStream input = mSocket.getInputStream();
        try {
            while (!endsWith(read, mark)) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException("connection ended after " + read);
                }
                read.append((char) next);
            }
        } catch (SocketTimeoutException cause) {
            throw new IOException("nothing came after " + read, cause);
        }
        return read.toString();
    }

    private static boolean endsWith(StringBuilder text, String mark) {
        int start = text.length() - mark.length();
        return start >= 0 && text.indexOf(mark, start) >= 0;
    }

    private int chunkSize() throws IOException {
        return Integer.parseInt(until("\r\n").strip(), 16);
    }

    private String exactly(int count) throws IOException {
        byte[] bytes = mSocket.getInputStream().readNBytes(count);
        if (bytes.length < count) {
            throw new IOException("connection ended inside a body");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** One whole answer. */
    public record Answer(int status, String head, String body) {}
}
