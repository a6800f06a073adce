package ebonygw.settings;

import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Options of a {@link SettingsReplica}.
 *
 * @param self name of the process
 * @param locality region and data centre of the process, null if staged changes are never in force
 *     in it
 * @param requestIds generator of identifiers of key-value requests
 * @param random random generator for the delays of attempts, the choice of peers and snapshot
 *     identifiers
 * @param watchers number of processes of the fleet that read the key-value service, at least 1
 * @param snapshotInterval number of revisions from one snapshot to the next, at least 1
 * @param logRetention number of revisions up to the newest snapshot that stay in the log, at least
 *     1
 */
public record SettingsReplicaOptions(
        NodeId self,
        Locality locality,
        KeyValueRequestIds requestIds,
        RandomGenerator random,
        int watchers,
        int snapshotInterval,
        int logRetention) {
    /** Owner number of the settings in the identifiers of key-value requests. */
    public static final int REQUEST_ID_OWNER = 1;

    private static final int DEFAULT_WATCHERS = 3;
    private static final int DEFAULT_SNAPSHOT_INTERVAL = 256;
    private static final int DEFAULT_LOG_RETENTION = 256;

    /**
     * Creates the options.
     *
     * @throws IllegalArgumentException if {@code watchers}, {@code snapshotInterval} or {@code
     *     logRetention} is below 1
     */
    public SettingsReplicaOptions {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(requestIds, "requestIds");
        Objects.requireNonNull(random, "random");
        if (watchers < 1 || snapshotInterval < 1 || logRetention < 1) {
            throw new IllegalArgumentException(
                    "watchers, snapshotInterval and logRetention must be at least 1: "
                            + watchers
                            + ", "
                            + snapshotInterval
                            + ", "
                            + logRetention);
        }
    }

    /** Returns the default options of a process in which staged changes are never in force. */
    public static SettingsReplicaOptions of(NodeId self, RandomGenerator random) {
        return of(self, null, random);
    }

    /** Returns the default options of a process. */
    public static SettingsReplicaOptions of(
            NodeId self, Locality locality, RandomGenerator random) {
        return new SettingsReplicaOptions(
                self,
                locality,
                new KeyValueRequestIds(REQUEST_ID_OWNER),
                random,
                DEFAULT_WATCHERS,
                DEFAULT_SNAPSHOT_INTERVAL,
                DEFAULT_LOG_RETENTION);
    }
}
