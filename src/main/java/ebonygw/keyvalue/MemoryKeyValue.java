package ebonygw.keyvalue;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall.Compare;
import ebonygw.keyvalue.KeyValueCall.Write;
import ebonygw.keyvalue.KeyValueReply.Entry;
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
 * A key-value store in memory with the revisions, leases and watches of etcd v3.
 *
 * <p>Deterministic: the present time is an argument, in nanoseconds since the Unix epoch. Not
 * thread-safe.
 */
public final class MemoryKeyValue {
    /** Most bytes of one value. */
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

    /** Lets leases lapse whose time is over. */
    public void advance(long nowNanos) {
        List<Long> lapsed = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.mDeadlineNanos <= nowNanos) {
                        lapsed.add(id);
                    }
                });
        lapsed.forEach(this::revoke);
    }

    /** Ends a watch; an unknown identifier is ignored. */
    public void cancelWatch(long watchId) {
        mWatchers.remove(watchId);
    }

    /**
     * Forgets changes before a revision; the entries themselves stay.
     *
     * @param revision first revision to keep, cut to the present one
     */
    public void compact(long revision) {
        mCompactRevision = Math.max(mCompactRevision, Math.min(revision, mRevision));
        mChanges.removeIf(change -> change.modRevision() < mCompactRevision);
    }

    /**
     * Carries out a call.
     *
     * @param call any call but a watch
     * @param nowNanos the present time
     * @return the reply
     * @throws IllegalArgumentException if the call starts or ends a watch
     */
    public KeyValueReply execute(KeyValueCall call, long nowNanos) {
        Objects.requireNonNull(call, "call");
        advance(nowNanos);
        if (call instanceof KeyValueCall.Range range) {
            return range(range);
        }
        if (call instanceof KeyValueCall.Transaction transaction) {
            return transaction(transaction);
        }
        if (call instanceof KeyValueCall.LeaseGrant grant) {
            return grant(grant.timeToLiveSeconds(), nowNanos);
        }
        if (call instanceof KeyValueCall.LeaseKeepAlive keepAlive) {
            return keepAlive(keepAlive.leaseId(), nowNanos);
        }
        if (call instanceof KeyValueCall.LeaseRevoke revoke) {
            return revokeReply(revoke.leaseId());
        }
        throw new IllegalArgumentException("not a plain call: " + call);
    }

    /** Returns the revision of the whole store, 1 when it is new. */
    public long revision() {
        return mRevision;
    }

    /**
     * Starts a watch and reports the changes that are already there.
     *
     * @param watch the range and its first revision, 0 for changes from now on
     * @param listener gets each batch of changes, or one {@link KeyValueReply.Compacted}
     * @return identifier for {@link #cancelWatch}
     */
    public long watch(KeyValueCall.Watch watch, Consumer<KeyValueReply> listener) {
        long id = ++mNextWatchId;
        if (watch.fromRevision() > 0 && watch.fromRevision() < mCompactRevision) {
            listener.accept(new KeyValueReply.Compacted(mCompactRevision));
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

    private static boolean within(String key, String first, String end) {
        if (end.isEmpty()) {
            return key.equals(first);
        }
        return key.compareTo(first) >= 0 && key.compareTo(end) < 0;
    }

    private KeyValueReply grant(long seconds, long nowNanos) {
        long id = mNextLeaseId++;
        long lengthNanos = TimeUnit.SECONDS.toNanos(seconds);
        mLeases.put(id, new LeaseState(lengthNanos, nowNanos + lengthNanos));
        return new KeyValueReply.Lease(id, seconds);
    }

    private KeyValueReply keepAlive(long leaseId, long nowNanos) {
        LeaseState lease = mLeases.get(leaseId);
        if (lease == null) {
            return new KeyValueReply.Lease(leaseId, 0);
        }
        lease.mDeadlineNanos = nowNanos + lease.mLengthNanos;
        return new KeyValueReply.Lease(leaseId, TimeUnit.NANOSECONDS.toSeconds(lease.mLengthNanos));
    }

    private boolean holds(Compare compare) {
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
        detach(mEntries.get(write.key()));
        Entry entry = new Entry(write.key(), write.value(), mRevision, write.leaseId());
        mEntries.put(write.key(), entry);
        if (write.leaseId() != 0) {
            mLeases.get(write.leaseId()).mKeys.add(write.key());
        }
        return entry;
    }

    private void detach(Entry entry) {
        if (entry != null && mLeases.containsKey(entry.leaseId())) {
            mLeases.get(entry.leaseId()).mKeys.remove(entry.key());
        }
    }

    private KeyValueReply range(KeyValueCall.Range range) {
        List<Entry> found = new ArrayList<>();
        boolean more = false;
        for (Entry entry : mEntries.tailMap(range.key(), true).values()) {
            if (!within(entry.key(), range.key(), range.end())) {
                break;
            }
            if (range.limit() > 0 && found.size() == range.limit()) {
                more = true;
                break;
            }
            found.add(entry);
        }
        return new KeyValueReply.Found(mRevision, found, more);
    }

    private void revoke(long leaseId) {
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

    private KeyValueReply revokeReply(long leaseId) {
        if (!mLeases.containsKey(leaseId)) {
            return new KeyValueReply.Failed(false, "lease not found");
        }
        revoke(leaseId);
        return new KeyValueReply.Lease(leaseId, 0);
    }

    private KeyValueReply transaction(KeyValueCall.Transaction transaction) {
        if (!transaction.compares().stream().allMatch(this::holds)) {
            return new KeyValueReply.Committed(mRevision, false);
        }
        String fault = writeFault(transaction.writes());
        if (fault != null) {
            return new KeyValueReply.Failed(false, fault);
        }
        List<Write> effective =
                transaction.writes().stream()
                        .filter(w -> w.value() != null || mEntries.containsKey(w.key()))
                        .toList();
        if (effective.isEmpty()) {
            return new KeyValueReply.Committed(mRevision, true);
        }
        mRevision++;
        List<Entry> changes = new ArrayList<>();
        for (Write write : effective) {
            if (write.value() == null) {
                detach(mEntries.remove(write.key()));
                changes.add(new Entry(write.key(), null, mRevision, 0));
            } else {
                changes.add(put(write));
            }
        }
        notifyWatchers(changes);
        return new KeyValueReply.Committed(mRevision, true);
    }

    private String writeFault(List<Write> writes) {
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
        private final long mLengthNanos;
        private final Set<String> mKeys = new TreeSet<>();
        private long mDeadlineNanos;

        LeaseState(long lengthNanos, long deadlineNanos) {
            mLengthNanos = lengthNanos;
            mDeadlineNanos = deadlineNanos;
        }
    }

    private static final class Watcher {
        private final KeyValueCall.Watch mWatch;
        private final Consumer<KeyValueReply> mListener;

        Watcher(KeyValueCall.Watch watch, Consumer<KeyValueReply> listener) {
            mWatch = watch;
            mListener = listener;
        }

        void report(long revision, List<Entry> changes) {
            List<Entry> relevant =
                    changes.stream()
                            .filter(change -> within(change.key(), mWatch.key(), mWatch.end()))
                            .toList();
            if (!relevant.isEmpty()) {
                mListener.accept(new KeyValueReply.Changed(revision, relevant));
            }
        }
    }
}
