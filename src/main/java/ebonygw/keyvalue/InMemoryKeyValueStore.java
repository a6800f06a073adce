package ebonygw.keyvalue;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest.Compare;
import ebonygw.keyvalue.KeyValueRequest.Write;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An in-memory key-value store with the revisions, leases and watches of etcd v3.
 *
 * <p>Deterministic: callers pass the present time, in nanoseconds since the Unix epoch. Not
 * thread-safe.
 */
public final class InMemoryKeyValueStore {
    /** Maximum size of a value. */
    public static final int MAX_VALUE_BYTES = 1024 * 1024;

    private static final int FIRST_LEASE_ID = 1000;

    private final NavigableMap<String, Entry> mEntries = new TreeMap<>();
    private final List<Entry> mChanges = new ArrayList<>();
    private final Map<Long, LeaseState> mLeases = new TreeMap<>();
    private final Map<Long, Watcher> mWatchers = new TreeMap<>();
    private long mRevision = 1;
    private long mCompactRevision;
    private long mNextLeaseId = FIRST_LEASE_ID;
    private long mNextWatchId;

    /** Expires the leases whose time to live has passed, and deletes their keys. */
    public void advance(long nowNanos) {
        List<Long> expired = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.mDeadlineNanos <= nowNanos) {
                        expired.add(id);
                    }
                });
        expired.forEach(this::endLease);
    }

    /** Cancels a watch; an unknown id is ignored. */
    public void cancelWatch(long watchId) {
        mWatchers.remove(watchId);
    }

    /**
     * Discards the history of changes before a revision; the current entries are not affected.
     *
     * @param revision first revision to keep, limited to the current one
     */
    public void compact(long revision) {
        mCompactRevision = Math.max(mCompactRevision, Math.min(revision, mRevision));
        mChanges.removeIf(change -> change.modRevision() < mCompactRevision);
    }

    /**
     * Expires leases and then executes a request.
     *
     * @param call any request but {@link KeyValueRequest.Watch} and {@link
     *     KeyValueRequest.WatchCancel}
     * @param nowNanos the present time
     * @throws IllegalArgumentException if the request starts or cancels a watch
     */
    public KeyValueResponse execute(KeyValueRequest call, long nowNanos) {
        Objects.requireNonNull(call, "call");
        advance(nowNanos);
        if (call instanceof KeyValueRequest.Range range) {
            return range(range);
        }
        if (call instanceof KeyValueRequest.Transaction transaction) {
            return transaction(transaction);
        }
        if (call instanceof KeyValueRequest.LeaseGrant grant) {
            return grant(grant.timeToLiveSeconds(), nowNanos);
        }
        if (call instanceof KeyValueRequest.LeaseKeepAlive keepAlive) {
            return keepAlive(keepAlive.leaseId(), nowNanos);
        }
        if (call instanceof KeyValueRequest.LeaseRevoke revoke) {
            return revokeLease(revoke.leaseId());
        }
        throw new IllegalArgumentException(
                "cannot execute a request that starts or cancels a watch: " + call);
    }

    /** Returns the revision of the whole store, 1 for a new store. */
    public long revision() {
        return mRevision;
    }

    /**
     * Starts a watch, after reporting the past changes from its start revision on.
     *
     * @param watch the range and the start revision, 0 for changes from now on
     * @param listener receives each batch of changes, or a single {@link
     *     KeyValueResponse.Compacted} if the start revision is compacted; in that case no watch is
     *     started
     * @return id for {@link #cancelWatch}
     */
    public long watch(KeyValueRequest.Watch watch, Consumer<KeyValueResponse> listener) {
        long id = ++mNextWatchId;
        if (watch.fromRevision() > 0 && watch.fromRevision() < mCompactRevision) {
            listener.accept(new KeyValueResponse.Compacted(mCompactRevision));
            return id;
        }
        Watcher watcher = new Watcher(watch, listener);
        mWatchers.put(id, watcher);
        if (watch.fromRevision() > 0) {
            watcher.report(
                    mRevision,
                    mChanges.stream()
                            .filter(change -> change.modRevision() >= watch.fromRevision())
                            .toList());
        }
        return id;
    }

    private static boolean isInRange(String key, String first, String end) {
        if (end.isEmpty()) {
            return key.equals(first);
        }
        return key.compareTo(first) >= 0 && key.compareTo(end) < 0;
    }

    private KeyValueResponse grant(long seconds, long nowNanos) {
        long id = mNextLeaseId++;
        long lengthNanos = TimeUnit.SECONDS.toNanos(seconds);
        mLeases.put(id, new LeaseState(lengthNanos, nowNanos + lengthNanos));
        return new KeyValueResponse.Lease(id, seconds);
    }

    private KeyValueResponse keepAlive(long leaseId, long nowNanos) {
        LeaseState lease = mLeases.get(leaseId);
        if (lease == null) {
            return new KeyValueResponse.Lease(leaseId, 0);
        }
        lease.mDeadlineNanos = nowNanos + lease.mTimeToLiveNanos;
        return new KeyValueResponse.Lease(
                leaseId, TimeUnit.NANOSECONDS.toSeconds(lease.mTimeToLiveNanos));
    }

    private boolean isSatisfied(Compare compare) {
        Entry entry = mEntries.get(compare.key());
        long actual = entry == null ? 0 : entry.modRevision();
        return actual == compare.modRevision();
    }

    private void notifyWatchers(List<Entry> changes) {
        mChanges.addAll(changes);
        for (Watcher watcher : List.copyOf(mWatchers.values())) {
            watcher.report(mRevision, changes);
        }
    }

    private Entry put(Write write) {
        detachFromLease(mEntries.get(write.key()));
        Entry entry = new Entry(write.key(), write.value(), mRevision, write.leaseId());
        mEntries.put(write.key(), entry);
        if (write.leaseId() != 0) {
            mLeases.get(write.leaseId()).mKeys.add(write.key());
        }
        return entry;
    }

    private void detachFromLease(Entry entry) {
        if (entry != null && mLeases.containsKey(entry.leaseId())) {
            mLeases.get(entry.leaseId()).mKeys.remove(entry.key());
        }
    }

    private KeyValueResponse range(KeyValueRequest.Range range) {
        List<Entry> found = new ArrayList<>();
        boolean more = false;
        for (Entry entry : mEntries.tailMap(range.key(), true).values()) {
            if (!isInRange(entry.key(), range.key(), range.end())) {
                break;
            }
            if (range.limit() > 0 && found.size() == range.limit()) {
                more = true;
                break;
            }
            found.add(entry);
        }
        return new KeyValueResponse.RangeResult(mRevision, found, more);
    }

    private void endLease(long leaseId) {
        LeaseState lease = mLeases.remove(leaseId);
        if (lease == null || lease.mKeys.isEmpty()) {
            return;
        }
        mRevision++;
        List<Entry> changes = new ArrayList<>();
        for (String key : lease.mKeys) {
            mEntries.remove(key);
            changes.add(new Entry(key, null, mRevision, 0));
        }
        notifyWatchers(changes);
    }

    private KeyValueResponse revokeLease(long leaseId) {
        if (!mLeases.containsKey(leaseId)) {
            return new KeyValueResponse.Failed(false, "lease not found");
        }
        endLease(leaseId);
        return new KeyValueResponse.Lease(leaseId, 0);
    }

    private KeyValueResponse transaction(KeyValueRequest.Transaction transaction) {
        if (!transaction.compares().stream().allMatch(this::isSatisfied)) {
            return new KeyValueResponse.TransactionResult(mRevision, false);
        }
        String error = validateWrites(transaction.writes());
        if (error != null) {
            return new KeyValueResponse.Failed(false, error);
        }
        List<Write> effective =
                transaction.writes().stream()
                        .filter(w -> w.value() != null || mEntries.containsKey(w.key()))
                        .toList();
        if (effective.isEmpty()) {
            return new KeyValueResponse.TransactionResult(mRevision, true);
        }
        mRevision++;
        List<Entry> changes = new ArrayList<>();
        for (Write write : effective) {
            if (write.value() == null) {
                detachFromLease(mEntries.remove(write.key()));
                changes.add(new Entry(write.key(), null, mRevision, 0));
            } else {
                changes.add(put(write));
            }
        }
        notifyWatchers(changes);
        return new KeyValueResponse.TransactionResult(mRevision, true);
    }

    /** Returns why writes are rejected, null if they are valid. */
    private String validateWrites(List<Write> writes) {
        Set<String> keys = new HashSet<>();
        for (Write write : writes) {
            if (!keys.add(write.key())) {
                return "duplicate key in transaction";
            }
            ByteString value = write.value();
            if (value != null && value.size() > MAX_VALUE_BYTES) {
                return "value is too large";
            }
            if (value != null && write.leaseId() != 0 && !mLeases.containsKey(write.leaseId())) {
                return "lease not found";
            }
        }
        return null;
    }

    private static final class LeaseState {
        private final long mTimeToLiveNanos;
        private final Set<String> mKeys = new TreeSet<>();
        private long mDeadlineNanos;

        LeaseState(long lengthNanos, long deadlineNanos) {
            mTimeToLiveNanos = lengthNanos;
            mDeadlineNanos = deadlineNanos;
        }
    }

    private static final class Watcher {
        private final KeyValueRequest.Watch mWatch;
        private final Consumer<KeyValueResponse> mListener;

        Watcher(KeyValueRequest.Watch watch, Consumer<KeyValueResponse> listener) {
            mWatch = watch;
            mListener = listener;
        }

        void report(long revision, List<Entry> changes) {
            List<Entry> relevant =
                    changes.stream()
                            .filter(change -> isInRange(change.key(), mWatch.key(), mWatch.end()))
                            .toList();
            if (!relevant.isEmpty()) {
                mListener.accept(new KeyValueResponse.Changed(revision, relevant));
            }
        }
    }
}
