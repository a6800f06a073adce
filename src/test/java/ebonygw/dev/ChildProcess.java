package ebonygw.dev;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** An entry or target process in a JVM of its own, with its log captured. */
final class ChildProcess implements AutoCloseable {
    private static final long WAIT_SECONDS = 30;
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private final Process mProcess;
    private final Map<String, String> mAddresses = new ConcurrentHashMap<>();
    private final List<String> mLog = new ArrayList<>();

    ChildProcess(String role, List<String> flags) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of("ebonygw.cli.Main", role));
        command.addAll(flags);
        mProcess = new ProcessBuilder(command).redirectErrorStream(true).start();
        Thread reader = new Thread(this::read, "log-of-" + role);
        reader.setDaemon(true);
        reader.start();
    }

    /** Waits until the process logs an address under the field and returns it. */
    String address(String field) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!mAddresses.containsKey(field) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(10);
        }
        assertThat(mAddresses).as("log of the process: %s", log()).containsKey(field);
        return mAddresses.get(field);
    }

    void awaitReady() throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!isReady()) {
            assertThat(System.nanoTime()).as("ready in time: %s", log()).isLessThan(deadlineNanos);
            Thread.sleep(20);
        }
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
    }

    int exitStatus() throws InterruptedException {
        assertThat(mProcess.waitFor(WAIT_SECONDS, TimeUnit.SECONDS)).as(log()).isTrue();
        return mProcess.exitValue();
    }

    boolean isReady() throws InterruptedException {
        URI uri = URI.create("http://" + address("operator_address") + "/ready");
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(2)).build();
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    synchronized String log() {
        return String.join("\n", mLog);
    }

    void terminate() {
        mProcess.toHandle().destroy();
    }

    private void read() {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(mProcess.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                recordLine(line);
            }
        } catch (IOException e) {
            recordLine(e.toString());
        }
    }

    /** Stores a log line and the listen addresses that it names. */
    private synchronized void recordLine(String line) {
        mLog.add(line);
        boolean listeningForCallers = line.contains("event=listening_for_callers");
        if (!listeningForCallers && !line.contains("event=started")) {
            return;
        }
        for (String pair : line.split(" ")) {
            int equals = pair.indexOf('=');
            if (pair.substring(0, equals).endsWith("address")) {
                mAddresses.put(
                        pair.substring(0, equals), pair.substring(equals + 1).replace("/", ""));
            }
        }
    }
}
