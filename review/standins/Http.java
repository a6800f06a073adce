import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from blocking streams. */
final class Http {
    private Http() {}

    /** The head of a message: its first line and its fields, names in lower case. */
    record Head(String line, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        /** Returns one of the words of the first line. */
        String word(int index) {
            return line.split(" ", 3)[index];
        }

        int status() {
            return Integer.parseInt(word(1));
        }
    }

    /** Reads a head; returns null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field = readLine(in); !"".equals(field); field = readLine(in)) {
            if (field == null) {
                throw new EOFException("head cut off");
            }
            int colon = field.indexOf(':');
            fields.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        return new Head(line, fields);
    }

    /** Reads the body of a request; it has none without a length or chunks. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.writeBytes(chunk);
            }
            return body.toByteArray();
        }
        String length = head.field("content-length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    /** Reads a chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("chunks cut off");
        }
        byte[] chunk = readExactly(in, Integer.parseInt(size.trim(), 16));
        readLine(in);
        return chunk;
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body cut off after " + bytes.length + " of " + length);
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
