package ebonygw.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A replica that answers each request with the next scripted bytes. */
final class RawReplica implements AutoCloseable {
    private static final String CONTENT_LENGTH = "content-length";

    /** What to answer; {@code REQUEST} in the text becomes the request's identifier. */
    record Answer(String text, boolean reset) {
        static Answer of(String text) {
            return new Answer(text, false);
        }

        /** A whole answer of a status. */
        static Answer status(int status, String headers, String body) {
            return of(
                    "HTTP/1.1 %d X\r\nAttempt-Id: REQUEST\r\nContent-Length: %d\r\n%s\r\n%s"
                            .formatted(status, body.length(), headers, body));
        }
    }

    private final ServerSocket mServer;
    private final Queue<Answer> mAnswers = new ConcurrentLinkedQueue<>();
    private final Queue<Map<String, String>> mRequests = new ConcurrentLinkedQueue<>();

    RawReplica() throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    /** Returns the header fields of all requests, names in lower case. */
    Queue<Map<String, String>> requests() {
        return mRequests;
    }

    void script(Answer... answers) {
        mAnswers.addAll(List.of(answers));
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The listener ends with the test.
        }
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next >= 0 && next != '\n'; next = input.read()) {
            line.append((char) next);
        }
        return line.toString().strip();
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = socket.getInputStream();
            while (true) {
                String first = line(input);
                if (first.isEmpty()) {
                    return;
                }
                Map<String, String> fields = new TreeMap<>();
                for (String line = line(input); !line.isEmpty(); line = line(input)) {
                    int colon = line.indexOf(':');
                    fields.put(
                            line.substring(0, colon).toLowerCase(Locale.ROOT),
                            line.substring(colon + 1).strip());
                }
                input.readNBytes(Integer.parseInt(fields.getOrDefault(CONTENT_LENGTH, "0")));
                mRequests.add(fields);
                Answer answer = mAnswers.poll();
                if (answer == null) {
                    return;
                }
                String text =
                        answer.text().replace("REQUEST", fields.getOrDefault("attempt-id", ""));
                socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                if (answer.reset()) {
                    Thread.sleep(50);
                    socket.setSoLinger(true, 0);
                    return;
                }
                if (text.contains("Connection: close")) {
                    return;
                }
            }
        } catch (IOException | InterruptedException ended) {
            // The entry closed the connection.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "raw-replica");
        thread.setDaemon(true);
        thread.start();
    }
}
