import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts entries and loaders with the commands of the deploy file, on loopback addresses. */
final class Fleet implements Closeable {
    static final int CALLERS = 18221;
    static final int READINESS = 18224;

    private final Path mFolder = Files.createTempDirectory("review-2-");
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private final Record mRecord;
    private final String mStoreAddress;

    /** The first three numbers of this run's addresses, which no other run uses at the time. */
    static final String NETWORK = network(ProcessHandle.current().pid());

    Fleet(String storeAddress, Record record) throws IOException {
        mStoreAddress = storeAddress;
        mRecord = record;
    }

    private static String network(long pid) {
        return "127." + (20 + pid % 200) + "." + (20 + pid / 200 % 200) + ".";
    }

    /** Starts an entry at an address. */
    Process entry(String ip) throws IOException {
        return start("entry", ip, Map.of());
    }

    /** Starts the loader beside an engine. */
    Process loader(String service, String app) throws IOException {
        String ip = app.substring(0, app.indexOf(':'));
        return start("loader", ip, Map.of("backend", service, "app", app));
    }

    private Process start(String role, String ip, Map<String, String> more) throws IOException {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("node_name", role + "-" + ip);
        settings.put("role", role);
        settings.put("ip", ip);
        settings.put("zone", "z1");
        settings.put("region", "r1");
        settings.put("zones.z1", "r1");
        if (role.equals("entry")) {
            settings.put("listen.frontend", ip + ":" + CALLERS);
            settings.put("listen.readiness", ip + ":" + READINESS);
        }
        settings.put("internal_ports", "17600,17615");
        settings.put("bootstrap", "true");
        settings.put("limits.memory_mb", role.equals("entry") ? "430" : "362");
        settings.put("discovery", "platform");
        settings.put("heartbeat_ms", "1200");
        settings.put(
                "contracts",
                "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform");
        settings.put("bounds.contact_ms", "4000");
        settings.put("bounds.drain_ms", "3000");
        settings.put("bounds.grace_s", "8");
        settings.put("bounds.loss_slack_ms", "200");
        settings.put("bounds.config_apply_ms", "3000");
        settings.put("bounds.retry_budget_ratio", "0.2");
        settings.put("bounds.budget_window_s", "10");
        settings.put("bounds.retry_budget_extra", "54");
        settings.put("bounds.quota_window_s", "8");
        settings.put("bounds.quota_overage", "0.1");
        settings.put("bounds.quota_tolerance", "110000");
        settings.put("bounds.lease_ms", "3000");
        settings.put("bounds.version_ms", "5000");
        settings.put("platform.address", mStoreAddress);
        settings.putAll(more);
        StringBuilder text = new StringBuilder();
        settings.forEach((name, value) -> text.append(name + "=" + value + "\n"));
        Path file = mFolder.resolve(role + "-" + ip + ".conf");
        Files.writeString(file, text);
        ProcessBuilder builder = new ProcessBuilder(command(role));
        Map<String, String> kept = new LinkedHashMap<>();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (System.getenv(name) != null) {
                kept.put(name, System.getenv(name));
            }
        }
        builder.environment().clear();
        builder.environment().putAll(kept);
        builder.environment().put("EBONYGW_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        String logs = System.getenv("REVIEW_LOGS");
        builder.redirectOutput(
                logs == null
                        ? ProcessBuilder.Redirect.DISCARD
                        : ProcessBuilder.Redirect.appendTo(
                                new File(logs, role + "-" + ip + ".log")));
        Process process = builder.start();
        PROCESSES.add(process);
        mRecord.add("%s starts at %s", role, ip);
        return process;
    }

    /** Returns the command of a role in the deploy file, split at spaces. */
    private static List<String> command(String role) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no role " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    /** Waits until an entry says that it is ready, as the platform asks it. */
    static boolean awaitReady(String ip, long millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < end) {
            if (readiness(ip) == 200) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        return false;
    }

    /** Returns the status of the readiness check, 0 if there is no answer within a second. */
    static int readiness(String ip) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), READINESS), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
            String line = HttpPeer.readLine(socket.getInputStream());
            return line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
        } catch (IOException silent) {
            return 0;
        }
    }

    /** Ends all processes that were started. */
    static void killAll() {
        PROCESSES.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Process process : PROCESSES) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.list(mFolder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(mFolder);
    }
}
