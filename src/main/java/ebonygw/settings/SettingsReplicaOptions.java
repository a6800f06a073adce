package ebonygw.settings;

import ebonygw.keyvalue.CallIds;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Options of a {@link SettingsReplica}.
 *
 * @param self name of the process
 * @param place where it runs, null if staged changes are never in force in it
 * @param callIds source of identifiers of key-value calls
 * @param random seeded generator, for the times of attempts
 * @param watchers how many processes of the fleet read the key-value service
 * @param snapshotEvery revisions from one snapshot to the next
 * @param logKept revisions kept in the log behind the newest snapshot
 */
public record SettingsReplicaOptions(
        NodeId self,
        Locality place,
        CallIds callIds,
        RandomGenerator random,
        int watchers,
        int snapshotEvery,
        int logKept) {
    /** Number of the settings among the owners of key-value calls. */
    public static final int CALL_OWNER = 1;

    private static final int DEFAULT_WATCHERS = 3;
    private static final int DEFAULT_SNAPSHOT_EVERY = 256;
    private static final int DEFAULT_LOG_KEPT = 256;

    /**
     * Creates the options.
     *
     * @throws IllegalArgumentException if a number is below 1
     */
    public SettingsReplicaOptions {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(callIds, "callIds");
        Objects.requireNonNull(random, "random");
        if (watchers < 1 || snapshotEvery < 1 || logKept < 1) {
            throw new IllegalArgumentException("a number of the settings replica is below 1");
        }
    }

    /** Returns the usual options of a process in which staged changes are never in force. */
    public static SettingsReplicaOptions of(NodeId self, RandomGenerator random) {
        return of(self, null, random);
    }

    /** Returns the usual options of a process. */
    public static SettingsReplicaOptions of(NodeId self, Locality place, RandomGenerator random) {
        return new SettingsReplicaOptions(
                self,
                place,
                new CallIds(CALL_OWNER),
                random,
                DEFAULT_WATCHERS,
                DEFAULT_SNAPSHOT_EVERY,
                DEFAULT_LOG_KEPT);
    }
}
