package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.caller.RawCaller;
import ebonygw.platform.ScriptedReplica.ScriptedResponse;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Responses of an entry process that gets a termination signal. */
class PlannedStopTest {
    private static final int BODY_BYTES = 10 << 20;
    private static final int READ_BYTES = 16 << 10;

    /** Pause between two reads: the body takes longer than the shortest stop, 2.8 s. */
    private static final long READ_PAUSE_MILLIS = 10;

    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    // Guards against a process that exits while a caller still reads a response.
    @Test
    @Timeout(60)
    void aCallerThatReadsSlowlyGetsItsWholeResponse(@TempDir Path directory) throws Exception {
        try (StoreStandIn store = new StoreStandIn();
                ScriptedReplica replica = new ScriptedReplica()) {
            String configuration = EntryOnPlatform.configuration();
            store.put("op/config", configuration.replace(":3000,\"max", ":20000,\"max"));
            store.put("servers/i-1", EntryOnPlatform.registration(replica.address()));
            replica.script(ScriptedResponse.status(200, "", "x".repeat(BODY_BYTES)));
            Map<String, String> settings = settings(store.address());
            try (SoakProcess entry = new SoakProcess("entry", directory, settings);
                    Socket socket = send(settings.get("listen.frontend"))) {
                InputStream input = socket.getInputStream();
                StringBuilder response = new StringBuilder();
                read(input, response);
                entry.terminate();
                while (response.indexOf(LAST_CHUNK, response.length() - LAST_CHUNK.length()) < 0) {
                    Thread.sleep(READ_PAUSE_MILLIS);
                    read(input, response);
                }

                assertThat(response.length()).isGreaterThan(BODY_BYTES);
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static void read(InputStream input, StringBuilder response) throws IOException {
        byte[] bytes = new byte[READ_BYTES];
        int count = input.read(bytes);
        if (count < 0) {
            throw new IOException("closed after " + response.length() + " bytes");
        }
        response.append(new String(bytes, 0, count, StandardCharsets.US_ASCII));
    }

    /** Sends a request as soon as the entry serves; returns its connection. */
    private static Socket send(String address) throws Exception {
        String[] parts = address.split(":");
        InetSocketAddress entry = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
        String headers = "Authorization: Bearer k1\r\nDeadline-Ms: 30000\r\n";
        while (true) {
            try (RawCaller caller = new RawCaller(entry)) {
                // Nothing of this route is found once the configuration is in force.
                String request = RawCaller.post("/none/1", "Attempt-Id: r0\r\n" + headers, "body");
                if (caller.send(request).readResponse().status() == 404) {
                    break;
                }
            } catch (IOException notStarted) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
        Socket socket = new Socket();
        socket.setReceiveBufferSize(READ_BYTES);
        socket.connect(entry);
        String request =
                RawCaller.post(
                        EntryOnPlatform.NON_IDEMPOTENT_PATH,
                        "Attempt-Id: r1\r\n" + headers,
                        "body");
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static Map<String, String> settings(InetSocketAddress store) throws IOException {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("node_name", "entry1");
        settings.put("ip", "127.0.0.1");
        settings.put("zone", "z1");
        settings.put("region", "r1");
        settings.put("zones.z1", "r1");
        settings.put("listen.frontend", "127.0.0.1:" + freePort());
        settings.put("listen.readiness", "127.0.0.1:" + freePort());
        settings.put("listen.metrics", "127.0.0.1:" + freePort());
        int peerPort = freePort();
        settings.put("internal_ports", peerPort + "," + peerPort);
        settings.put("platform.address", "127.0.0.1:" + store.getPort());
        settings.put("bounds.grace_s", "8");
        settings.put("bounds.retry_budget_ratio", "0.2");
        settings.put("bounds.retry_budget_extra", "56");
        return settings;
    }
}
