package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    private Http() {}

    /** A request or response; field names are in lower case. */
    static final class Message {
        String mFirstLine = "";
        final Map<String, String> mFields = new LinkedHashMap<>();
        byte[] mBody = {};

        String field(String name) {
            return mFields.getOrDefault(name, "");
        }

        String method() {
            return mFirstLine.split(" ")[0];
        }

        String target() {
            return mFirstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(mFirstLine.split(" ")[1]);
        }
    }

    /** Returns a line without its end, null at the end of the stream. */
    static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            line.append((char) next);
            next = input.read();
        }
        if (next < 0) {
            throw new EOFException("within a line");
        }
        int length = line.length();
        return length > 0 && line.charAt(length - 1) == '\r'
                ? line.substring(0, length - 1)
                : line.toString();
    }

    /** Reads the first line and the fields, null at the end of the stream. */
    static Message head(InputStream input) throws IOException {
        String first = line(input);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.mFirstLine = first;
        for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            message.mFields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return message;
    }

    /** Reads the body of a message; throws if it is not complete. */
    static void body(Message message, InputStream input) throws IOException {
        if (message.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(input);
                if (size == null) {
                    throw new EOFException("within a chunked body");
                }
                int length = Integer.parseInt(size.strip(), 16);
                byte[] chunk = input.readNBytes(length);
                if (chunk.length < length) {
                    throw new EOFException("within a chunk");
                }
                body.writeBytes(chunk);
                line(input);
                if (length == 0) {
                    message.mBody = body.toByteArray();
                    return;
                }
            }
        }
        int length = Integer.parseInt(message.mFields.getOrDefault("content-length", "0"));
        message.mBody = input.readNBytes(length);
        if (message.mBody.length < length) {
            throw new EOFException("within a body");
        }
    }

    static InputStream buffered(InputStream input) {
        return new BufferedInputStream(input, 16 * 1024);
    }
}
