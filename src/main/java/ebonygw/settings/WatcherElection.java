package ebonygw.settings;

import ebonygw.protocol.NodeId;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;

/**
 * Tracks by their heartbeats which other watchers of the fleet have contact with the key-value
 * service, and so decides whether this process should watch.
 *
 * <p>Only the number of requests to the service depends on it, not correctness: any number of
 * processes may watch at the same time. Not thread-safe.
 */
final class WatcherElection {
    /** Time without a heartbeat after which a watcher no longer counts. */
    static final long HEARTBEAT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final NodeId mSelf;
    private final int mDesiredWatchers;
    private final Map<NodeId, Heartbeat> mHeartbeats = new TreeMap<>();

    WatcherElection(NodeId self, int desiredWatchers) {
        mSelf = self;
        mDesiredWatchers = desiredWatchers;
    }

    /** Removes watchers whose last heartbeat is too old. */
    void expireHeartbeats(long nowNanos) {
        mHeartbeats
                .values()
                .removeIf(
                        heartbeat ->
                                nowNanos - heartbeat.receivedNanos() > HEARTBEAT_TIMEOUT_NANOS);
    }

    /** Returns whether the desired number of other processes watch. */
    boolean hasEnoughOthers() {
        return mHeartbeats.size() >= mDesiredWatchers;
    }

    /** Returns whether no other watcher has contact with the service. */
    boolean hasNoOthers() {
        return mHeartbeats.isEmpty();
    }

    /** Returns whether enough watchers precede this process, so that it should stop watching. */
    boolean isSurplus() {
        return rank() >= mDesiredWatchers;
    }

    /**
     * Records a heartbeat of another watcher; returns whether it was new, so that it has to be
     * forwarded.
     */
    boolean onHeartbeat(SettingsMessage.WatcherAlive alive, long nowNanos) {
        if (alive.watcher().equals(mSelf)) {
            return false;
        }
        Heartbeat previous = mHeartbeats.get(alive.watcher());
        if (previous != null && previous.sequence() >= alive.sequence()) {
            return false;
        }
        mHeartbeats.put(alive.watcher(), new Heartbeat(alive.sequence(), nowNanos));
        return true;
    }

    /** Returns how many other watchers precede this process in the order of hashed names. */
    int rank() {
        long ownHash = hash(mSelf);
        return (int)
                mHeartbeats.keySet().stream()
                        .filter(other -> Long.compareUnsigned(hash(other), ownHash) < 0)
                        .count();
    }

    private static long hash(NodeId id) {
        return LongHashFunction.xx().hashChars(id.name());
    }

    private record Heartbeat(long sequence, long receivedNanos) {}
}
