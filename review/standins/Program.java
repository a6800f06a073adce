import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A program of the project, started with the command of its role in deploy/system.toml. */
final class Program implements AutoCloseable {
    private final Map<String, String> mSettings = new LinkedHashMap<>();
    private final String mRole;
    private final String mIp;
    private final Path mDirectory;
    private final Path mLog;
    private Process mProcess;

    /**
     * Prepares a program.
     *
     * @param role entry or loader
     * @param name name of its machine
     * @param ip loopback address of its machine
     * @param store address of the store
     * @param internalPort first internal port, the same on all machines
     */
    Program(Path directory, String role, String name, String ip, InetSocketAddress store,
            int internalPort) throws IOException {
        mRole = role;
        mIp = ip;
        mDirectory = directory;
        mLog = directory.resolve(name + ".log");
        mSettings.put("node_name", name);
        mSettings.put("role", role);
        mSettings.put("ip", ip);
        mSettings.put("zone", "z1");
        mSettings.put("region", "r1");
        mSettings.put("zones.z1", "r1");
        mSettings.put("internal_ports", internalPort + "," + (internalPort + 15));
        mSettings.put("listen.metrics", ip + ":" + freePort(ip));
        if (role.equals("entry")) {
            mSettings.put("listen.frontend", ip + ":" + freePort(ip));
            mSettings.put("listen.readiness", ip + ":" + freePort(ip));
        }
        mSettings.put("bounds.contact_ms", "4000");
        mSettings.put("bounds.drain_ms", "3000");
        mSettings.put("bounds.grace_s", "8");
        mSettings.put("bounds.config_apply_ms", "3000");
        mSettings.put("bounds.retry_budget_ratio", "0.2");
        mSettings.put("bounds.budget_window_s", "10");
        mSettings.put("bounds.retry_budget_extra", "54");
        mSettings.put("bounds.quota_window_s", "8");
        mSettings.put("bounds.quota_overage", "0.1");
        mSettings.put("bounds.quota_tolerance", "110000");
        mSettings.put("bounds.lease_ms", "3000");
        mSettings.put("platform.address", store.getAddress().getHostAddress() + ":" + store.getPort());
        mSettings.put("platform.form", "kv");
    }

    /** Sets a further setting. */
    Program with(String name, String value) {
        mSettings.put(name, value);
        return this;
    }

    /** Returns a port that is free at an address. */
    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    InetSocketAddress frontend() {
        return address("listen.frontend");
    }

    long pid() {
        return mProcess.pid();
    }

    Process process() {
        return mProcess;
    }

    Path log() {
        return mLog;
    }

    /** Starts the program; the working directory is the root of the repository. */
    Program start() throws IOException {
        Path settings = mDirectory.resolve(mSettings.get("node_name") + ".conf");
        List<String> lines = new ArrayList<>();
        mSettings.forEach((name, value) -> lines.add(name + "=" + value));
        Files.write(settings, lines);
        ProcessBuilder builder = new ProcessBuilder(command(mRole));
        builder.environment().put("EBONYGW_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
        Process started = mProcess;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        return this;
    }

    /** Waits until the readiness check succeeds; returns whether it did. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end && mProcess.isAlive()) {
            if (isReady()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return false;
    }

    /** Returns whether the readiness check succeeds within a second. */
    boolean isReady() {
        byte[] check =
                ("GET /readyz HTTP/1.1\r\nHost: " + mIp + "\r\n\r\n").getBytes();
        try (Client client = new Client(address("listen.readiness"))) {
            return client.send(check).read(1_000).status() == 200;
        } catch (IOException refused) {
            return false;
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        mProcess.destroy();
    }

    @Override
    public void close() {
        if (mProcess != null && mProcess.isAlive()) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private InetSocketAddress address(String setting) {
        String value = mSettings.get(setting);
        int colon = value.indexOf(':');
        return new InetSocketAddress(
                value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
    }

    private static List<String> command(String role) throws IOException {
        String file = Files.readString(Path.of("deploy/system.toml"));
        Matcher run =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(file);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line for " + role);
        }
        return List.of(run.group(1).split(" "));
    }
}
