package ebonygw.settings;

import ebonygw.protocol.NodeId;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;

/**
 * Knows which watchers in the fleet have contact with the key-value service.
 *
 * <p>Nothing but the number of calls depends on it: any number of processes may watch at once. Not
 * thread-safe.
 */
final class WatcherElection {
    /** After how long without a sign a watcher no longer counts. */
    static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final NodeId mSelf;
    private final int mWanted;
    private final Map<NodeId, Sign> mSigns = new TreeMap<>();

    WatcherElection(NodeId self, int wanted) {
        mSelf = self;
        mWanted = wanted;
    }

    /** Returns whether enough others watch. */
    boolean enough() {
        return mSigns.size() >= mWanted;
    }

    /** Drops watchers that gave no sign of late. */
    void forgetSilent(long nowNanos) {
        mSigns.values().removeIf(sign -> nowNanos - sign.heardNanos() > FRESH_NANOS);
    }

    /** Takes a sign of another watcher; returns whether it was new. */
    boolean heard(SettingsMessage.WatcherAlive alive, long nowNanos) {
        if (alive.watcher().equals(mSelf)) {
            return false;
        }
        Sign known = mSigns.get(alive.watcher());
        if (known != null && known.sequence() >= alive.sequence()) {
            return false;
        }
        mSigns.put(alive.watcher(), new Sign(alive.sequence(), nowNanos));
        return true;
    }

    /** Returns whether no other watcher has contact. */
    boolean none() {
        return mSigns.isEmpty();
    }

    /** Returns how many of the others go before this process. */
    int rank() {
        long own = hash(mSelf);
        return (int)
                mSigns.keySet().stream()
                        .filter(other -> Long.compareUnsigned(hash(other), own) < 0)
                        .count();
    }

    /** Returns whether this process should leave the watching to others. */
    boolean surplus() {
        return rank() >= mWanted;
    }

    private static long hash(NodeId id) {
        return LongHashFunction.xx().hashChars(id.name());
    }

    private record Sign(long sequence, long heardNanos) {}
}
