package review3;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, started with the command of the deploy file. */
final class Program implements AutoCloseable {
    private final Path mConf;
    private final Path mLog;
    private final List<String> mCommand;
    private final Path mRoot;
    private Process mProcess;

    Program(Path root, Path folder, String role, Map<String, String> settings)
            throws IOException {
        mRoot = root;
        String name = settings.get("node_name");
        mConf = folder.resolve(name + ".conf");
        mLog = folder.resolve(name + ".log");
        StringBuilder text = new StringBuilder();
        settings.forEach((key, value) -> text.append(key).append('=').append(value).append('\n'));
        Files.writeString(mConf, text);
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run =
                Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no role " + role);
        }
        mCommand = new ArrayList<>(List.of(run.group(1).split(" ")));
        start();
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(mCommand);
        builder.directory(mRoot.toFile());
        builder.environment().put("EBONYGW_CONFIG", mConf.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return mProcess.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    int exitStatus() {
        return mProcess.exitValue();
    }

    String log() throws IOException {
        return Files.readString(mLog);
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
        try {
            mProcess.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a port that is free on a loopback address. */
    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    /** Returns the settings of a machine, with the bounds of atlas-fit. */
    static Map<String, String> settings(
            String name, String machineClass, String ip, int peerPort, Store store)
            throws IOException {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("node_name", name);
        settings.put("role", machineClass.equals("edge") ? "entry" : "loader");
        settings.put("machine_class", machineClass);
        settings.put("serves", machineClass);
        settings.put("ip", ip);
        settings.put("zone", "z1");
        settings.put("region", "r1");
        settings.put("zones.z1", "r1");
        settings.put("internal_ports", peerPort + "," + (peerPort + 15));
        settings.put("bootstrap", "true");
        settings.put("limits.cpu_share", "0.57");
        settings.put("limits.cpu_cores", "1");
        settings.put("limits.memory_mb", "430");
        settings.put("limits.max_fds", "4100");
        settings.put("heartbeat_ms", "1200");
        settings.put(
                "contracts",
                "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform");
        for (String bound :
                List.of(
                        "seed_lag_s=3",
                        "reuse_after_s=2",
                        "contact_ms=4000",
                        "ack_timeout_ms=5000",
                        "catch_up_s=4",
                        "drain_ms=3000",
                        "grace_s=8",
                        "loss_slack_ms=200",
                        "config_apply_ms=3000",
                        "rollback_slack_ms=250",
                        "max_stretch_ms=6000",
                        "strict_revoke=false",
                        "revoke_ms=5000",
                        "retry_budget_ratio=0.2",
                        "budget_window_s=10",
                        "retry_budget_extra=54",
                        "quota_window_s=8",
                        "quota_overage=0.1",
                        "quota_tolerance=110000",
                        "recover_s=12",
                        "pass_ms=400",
                        "retry_after_s=0",
                        "fencing_enforced=true",
                        "lease_ms=3000",
                        "thaw_ms=300",
                        "ceiling_window_s=5",
                        "ceiling_overage=1.1",
                        "version_ms=5000")) {
            int equals = bound.indexOf('=');
            settings.put("bounds." + bound.substring(0, equals), bound.substring(equals + 1));
        }
        settings.put("listen.metrics", ip + ":" + freePort(ip));
        settings.put("platform.address", store.address());
        settings.put("platform.form", "kv");
        settings.put("platform.writes_per_s", "400");
        settings.put("platform.reads_per_s", "2000");
        settings.put("platform.history_s", "20");
        settings.put("platform.value_bytes", "1048576");
        settings.put("platform.ttl_min_ms", "1000");
        return settings;
    }

    /** Returns the status of a readiness check, 0 if there is no answer within a second. */
    static int readiness(String address) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress peer =
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        try (Socket socket = new Socket()) {
            socket.connect(peer, 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".getBytes());
            InputStream input = Http.buffered(socket.getInputStream());
            Http.Message answer = Http.head(input);
            return answer == null ? 0 : answer.status();
        } catch (IOException failed) {
            return 0;
        }
    }

    static boolean awaitReady(String address, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - end < 0) {
            if (readiness(address) == 200) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }
}
