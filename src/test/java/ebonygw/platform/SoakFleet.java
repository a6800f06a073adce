package ebonygw.platform;

import ebonygw.caller.RawCaller;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Entries and loaders as processes, with stand-ins of the store and of replicas behind proxies.
 *
 * <p>Not thread-safe, but for {@link #calm}.
 */
final class SoakFleet implements AutoCloseable {
    static final int ENTRIES = 2;
    static final int ENGINES = 2;
    static final int DESKS = 2;

    private static final String ZONE = "z1";
    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long START_SECONDS = 30;

    final List<SoakProcess> mEntries = new ArrayList<>();
    final List<SoakProcess> mLoaders = new ArrayList<>();
    final List<SoakReplica> mReplicas = new ArrayList<>();
    final List<SoakLink> mReplicaLinks = new ArrayList<>();
    final List<SoakLink> mStoreLinks = new ArrayList<>();
    final StoreStandIn mStore = new StoreStandIn();
    private final SoakLedger mLedger;
    private final Path mDirectory;
    private final String mNetwork;
    private final int mPort;
    private final List<String> mRegistered = new ArrayList<>();
    private long mVersion;
    private volatile long mDisturbedNanos = System.nanoTime();

    /**
     * Starts the fleet.
     *
     * @param ledger takes what replicas see
     * @param directory for settings and logs
     * @param port first of the ports that the processes listen on, at addresses of their own
     */
    SoakFleet(SoakLedger ledger, Path directory, int port) throws IOException {
        mLedger = ledger;
        mDirectory = Files.createDirectories(directory);
        mNetwork = "127." + (1 + ProcessHandle.current().pid() % 250) + '.';
        mPort = port;
        configure();
        for (int i = 0; i < ENGINES + DESKS; i++) {
            boolean engine = i < ENGINES;
            SoakReplica replica = new SoakReplica("replica" + i, engine, ledger);
            mReplicas.add(replica);
            mReplicaLinks.add(new SoakLink(mNetwork + "2." + (i + 1), mPort, replica.address()));
            mRegistered.add("");
            register(i);
            if (engine) {
                mLoaders.add(new SoakProcess("loader", mDirectory, settings("loader", 2, i)));
            }
        }
        for (int i = 0; i < ENTRIES; i++) {
            mEntries.add(new SoakProcess("entry", mDirectory, settings("entry", 1, i)));
        }
    }

    /** Returns the address at which an entry takes requests. */
    InetSocketAddress callers(int entry) {
        return new InetSocketAddress(mNetwork + "1." + (entry + 1), mPort + 1);
    }

    /** Returns whether nothing but planned stops has disturbed the fleet from shortly before. */
    boolean calm(long sinceNanos) {
        return sinceNanos - mDisturbedNanos > CALM_NANOS;
    }

    @Override
    public void close() throws IOException {
        mEntries.forEach(SoakProcess::close);
        mLoaders.forEach(SoakProcess::close);
        for (SoakLink link : mReplicaLinks) {
            link.close();
        }
        for (SoakLink link : mStoreLinks) {
            link.close();
        }
        mReplicas.forEach(SoakReplica::close);
        mStore.close();
    }

    /** Writes a newer configuration, with a route of its own in place of the former one. */
    void configure() {
        mVersion++;
        StringBuilder routes = new StringBuilder();
        routes.append(route(SoakCaller.BOOK, "non_idempotent", 1, "desk")).append(',');
        routes.append(route(SoakCaller.LOOK, "idempotent", 2, "desk")).append(',');
        routes.append(route(SoakCaller.ASK, "streaming", 1, "model")).append(',');
        routes.append(route("v" + mVersion, "idempotent", 1, "desk"));
        mStore.put(
                "op/config",
                """
                {"version":%d,"routes":[%s],
                 "backends":[{"name":"desk","health_path":"/healthz","max_connections":60},
                  {"name":"model","health_path":"/healthz","max_connections":60,
                   "engine":{"slots":16,"kv_capacity":100000,"adapter_slots":3,"weights_mb":1000,
                    "models":[{"name":"m0","weights_mb":800,"adapter_mb":10}]}}],
                 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
                  "header_timeout_ms":3000,"idle_timeout_ms":15000},
                 "tenants":[{"name":"t1","api_keys":["k1"]}]}
                """
                        .formatted(mVersion, routes));
    }

    /** Notes that something but a planned stop disturbs the fleet now. */
    void disturbed() {
        mDisturbedNanos = System.nanoTime();
    }

    /** Starts a replica again, as another instance at the same address. */
    void restart(int replica) {
        mReplicas.get(replica).restart();
        mReplicaLinks.get(replica).reset();
        register(replica);
    }

    /** Announces a newer version of an adapter. */
    void bump(int adapter) {
        long version = mVersion + 1;
        mReplicas.forEach(replica -> replica.want("a" + adapter, version));
        mStore.put(
                "op/version/m0.a" + adapter,
                "{\"model\":\"m0\",\"adapter\":\"a%d\",\"version\":%d}"
                        .formatted(adapter, version));
    }

    /** Waits until all entries take requests under the newest configuration. */
    void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        for (int entry = 0; entry < ENTRIES; entry++) {
            while (probe(entry, mVersion) != 200) {
                if (System.nanoTime() > end) {
                    mLedger.broken("entry " + entry + " does not serve version " + mVersion);
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }

    /** Checks that all entries have forgotten the route of the configuration before. */
    void checkNewest() {
        for (int entry = 0; entry < ENTRIES; entry++) {
            int status = probe(entry, mVersion - 1);
            if (mVersion > 1 && status != 404) {
                mLedger.broken("entry " + entry + " answers a dropped route with " + status);
            }
        }
    }

    private int probe(int entry, long version) {
        String id = "probe-" + entry + '-' + System.nanoTime();
        mLedger.sent(id, "v" + version);
        try (RawCaller caller = new RawCaller(callers(entry))) {
            String headers =
                    "Attempt-Id: " + id + "\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 1000\r\n";
            return caller.send(RawCaller.post("/v" + version + "/x", headers, "probe"))
                    .answer()
                    .status();
        } catch (IOException unreachable) {
            return 0;
        }
    }

    private void register(int replica) {
        SoakReplica stands = mReplicas.get(replica);
        if (!mRegistered.get(replica).isEmpty()) {
            mStore.remove(mRegistered.get(replica));
        }
        String key = "servers/" + stands.instance();
        mRegistered.set(replica, key);
        String service = replica < ENGINES ? "model" : "desk";
        mStore.put(key, stands.registration(service, mReplicaLinks.get(replica).address(), ZONE));
    }

    private static String route(String name, String type, int attempts, String service) {
        return """
        {"name":"%s","hostname":"h","prefix":"/%s/","type":"%s","timeout_ms":3000,
         "target_latency_ms":500,"max_attempts":%d,"backend":"%s","public":false}\
        """
                .formatted(name, name, type, attempts, service);
    }

    private Map<String, String> settings(String program, int subnet, int index) throws IOException {
        String ip = mNetwork + subnet + '.' + (index + 1);
        SoakLink store =
                new SoakLink(mNetwork + "3." + (subnet * 10 + index), mPort, mStore.address());
        mStoreLinks.add(store);
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("node_name", program + index);
        settings.put("ip", ip);
        settings.put("zone", ZONE);
        settings.put("region", "r1");
        settings.put("zones." + ZONE, "r1");
        settings.put("listen.frontend", ip + ':' + (mPort + 1));
        settings.put("listen.readiness", ip + ':' + (mPort + 2));
        settings.put("listen.metrics", ip + ':' + (mPort + 3));
        settings.put("internal_ports", (mPort + 4) + "," + (mPort + 9));
        settings.put(
                "platform.address",
                store.address().getAddress().getHostAddress() + ':' + store.address().getPort());
        settings.put("bounds.grace_s", "6");
        settings.put("bounds.lease_ms", "3000");
        settings.put("bounds.retry_budget_ratio", "0.2");
        settings.put("bounds.retry_budget_extra", "50");
        if (program.equals("loader")) {
            settings.put("backend", "model");
            settings.put("app", ip + ':' + mPort);
        }
        return settings;
    }
}
