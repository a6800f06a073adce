package ebonygw.keyvalue;

import ebonygw.keyvalue.KeyValueResponse.Entry;
import ebonygw.log.LogLine;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A local copy of all keys with a prefix, kept up to date by a range read and a watch.
 *
 * <p>A key never goes back to an earlier revision, also if it was removed. After a restore of the
 * service from an older copy (see {@link Revisions}) all its keys count as new, and those that it
 * lacks as lost; others may write them again within the time as of an outage. During an outage of
 * the service, leases of live processes expire because they cannot be renewed. A removal that is
 * received within {@link #REWRITE_GRACE_NANOS} after the service is available again is therefore
 * applied only if the key is still absent at the end of that period. Not thread-safe.
 */
public final class PrefixMirror {
    /** Time after an outage in which live processes write their leased keys again. */
    public static final long REWRITE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

    /** Time limit of a range read; a healthy service responds within milliseconds. */
    private static final long READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Delay after the first failed request; doubles with each further failure. */
    private static final long FIRST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Maximum delay after a failed request, well below the time limit for applying settings. */
    private static final long MAX_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Maximum number of removed keys whose revisions are kept, the newest ones. */
    private static final int MAX_REMOVED_KEYS = 1_024;

    private final String mPrefix;
    private final String mRangeEnd;
    private final KeyValueRequestIds mRequestIds;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final Map<String, Removal> mPendingRemovals = new HashMap<>();

    /** Revisions of the latest removals by key, the newest one last. */
    private final Map<String, Long> mRemovedRevisions = new LinkedHashMap<>();

    private final List<Change> mChanges = new ArrayList<>();
    private long mRevision;
    private long mReadRequestId;
    private long mReadStartNanos;
    private long mWatchRequestId;
    private long mRetryDelayNanos = FIRST_RETRY_NANOS;
    private long mNextRequestNanos = Long.MIN_VALUE;
    private long mRecoveredNanos = Long.MIN_VALUE;
    private long mConfirmedNanos = Long.MIN_VALUE;
    private boolean mLoaded;
    private boolean mNeedsRangeRead = true;
    private boolean mUnavailable;

    /**
     * Creates an empty mirror; {@link #onTick} starts the first read.
     *
     * @param prefix common prefix of the keys, not empty
     * @param requestIds issues the ids of its requests
     * @throws NullPointerException if an argument is null
     */
    public PrefixMirror(String prefix, KeyValueRequestIds requestIds) {
        mPrefix = Objects.requireNonNull(prefix, "prefix");
        mRangeEnd = rangeEnd(prefix);
        mRequestIds = Objects.requireNonNull(requestIds, "requestIds");
    }

    /**
     * A change of one key.
     *
     * @param entry the new entry, null if the key was removed
     * @param lost whether the key was not removed by anybody but lost with a restore of the service
     */
    public record Change(String key, Entry entry, boolean lost) {
        /** Creates a change that somebody has made. */
        public Change(String key, Entry entry) {
            this(key, entry, false);
        }
    }

    /**
     * Returns the exclusive end of the range of keys that start with a prefix: the prefix with its
     * last character incremented.
     *
     * @param prefix the prefix, not empty
     */
    public static String rangeEnd(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    /** Returns the time since the last successful response of the service, -1 if there is none. */
    public long ageMillis(long nowNanos) {
        boolean never = mConfirmedNanos == Long.MIN_VALUE;
        return never ? -1 : TimeUnit.NANOSECONDS.toMillis(nowNanos - mConfirmedNanos);
    }

    /**
     * Returns when the service last responded again after a failure, {@link Long#MIN_VALUE} if it
     * never failed.
     */
    public long recoveredNanos() {
        return mRecoveredNanos;
    }

    /** Returns and clears the changes since the previous invocation, in order. */
    public List<Change> drainChanges() {
        if (mChanges.isEmpty()) {
            return List.of();
        }
        List<Change> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /** Returns whether all keys with the prefix have been read at least once. */
    public boolean isLoaded() {
        return mLoaded;
    }

    /**
     * Applies a response.
     *
     * @return whether the response belongs to an open request of this mirror
     */
    public boolean onResponse(long requestId, KeyValueResponse response, long nowNanos) {
        if (requestId == 0 || requestId != mReadRequestId && requestId != mWatchRequestId) {
            return false;
        }
        boolean isRead = requestId == mReadRequestId;
        if (isRead) {
            mReadRequestId = 0;
        }
        if (response instanceof KeyValueResponse.RangeResult found) {
            onConfirmation(nowNanos);
            replace(found, nowNanos);
        } else if (response instanceof KeyValueResponse.Changed changed) {
            onConfirmation(nowNanos);
            changed.entries().forEach(entry -> apply(entry, nowNanos));
            mRevision = Math.max(mRevision, changed.revision());
        } else if (response instanceof KeyValueResponse.Compacted) {
            mWatchRequestId = 0;
            mNeedsRangeRead = true;
            LogLine.of("store_history_lost").with("prefix", mPrefix).warn();
        } else {
            if (!isRead) {
                mWatchRequestId = 0;
            }
            onFailure(response, nowNanos);
        }
        return true;
    }

    /**
     * Times out an overdue read, applies due removals, and sends the next range read or watch
     * request unless one is open or its retry delay has not passed.
     */
    public void onTick(long nowNanos, Outbox out) {
        if (mReadRequestId != 0 && nowNanos - mReadStartNanos > READ_TIMEOUT_NANOS) {
            mReadRequestId = 0;
            onFailure(new KeyValueResponse.Failed(false, "range read timed out"), nowNanos);
        }
        applyDueRemovals(nowNanos);
        if (nowNanos < mNextRequestNanos || mReadRequestId != 0) {
            return;
        }
        if (mNeedsRangeRead) {
            mReadStartNanos = nowNanos;
            mReadRequestId = mRequestIds.next();
            out.sendKeyValueRequest(
                    mReadRequestId, new KeyValueRequest.Range(mPrefix, mRangeEnd, 0));
        } else if (mWatchRequestId == 0) {
            mWatchRequestId = mRequestIds.next();
            out.sendKeyValueRequest(
                    mWatchRequestId, new KeyValueRequest.Watch(mPrefix, mRangeEnd, mRevision + 1));
        }
    }

    /** Applies a change unless the same or a later revision of the key is known. */
    private void apply(Entry entry, long nowNanos) {
        Entry known = mEntries.get(entry.key());
        if (known != null && known.modRevision() >= entry.modRevision()) {
            return;
        }
        if (mRemovedRevisions.getOrDefault(entry.key(), Long.MIN_VALUE) >= entry.modRevision()) {
            return;
        }
        if (entry.value() == null) {
            recordRemoval(entry.key(), entry.modRevision());
            removeOrDefer(entry.key(), false, nowNanos);
            return;
        }
        mPendingRemovals.remove(entry.key());
        mEntries.put(entry.key(), entry);
        mChanges.add(new Change(entry.key(), entry));
    }

    /** Applies the deferred removals that are due, unless the service is unavailable again. */
    private void applyDueRemovals(long nowNanos) {
        if (mPendingRemovals.isEmpty() || mUnavailable) {
            return;
        }
        Map.copyOf(mPendingRemovals)
                .forEach(
                        (key, removal) -> {
                            if (nowNanos >= removal.dueNanos()) {
                                remove(key, removal.lost());
                            }
                        });
    }

    private void onConfirmation(long nowNanos) {
        mConfirmedNanos = nowNanos;
        mRetryDelayNanos = FIRST_RETRY_NANOS;
        if (mUnavailable) {
            mUnavailable = false;
            mRecoveredNanos = nowNanos;
            LogLine.of("store_regained").with("prefix", mPrefix).info();
        }
    }

    private void onFailure(KeyValueResponse response, long nowNanos) {
        if (!mUnavailable) {
            LogLine.of("store_lost").with("prefix", mPrefix).with("reply", response).warn();
        }
        mUnavailable = true;
        mNextRequestNanos = nowNanos + mRetryDelayNanos;
        mRetryDelayNanos = Math.min(MAX_RETRY_NANOS, 2 * mRetryDelayNanos);
    }

    /** Records the revision of a removal, below which the key is not written again. */
    private void recordRemoval(String key, long revision) {
        mRemovedRevisions.remove(key);
        mRemovedRevisions.put(key, revision);
        if (mRemovedRevisions.size() > MAX_REMOVED_KEYS) {
            mRemovedRevisions.remove(mRemovedRevisions.keySet().iterator().next());
        }
    }

    /** Removes a key, or defers the removal while the grace period after an outage lasts. */
    private void removeOrDefer(String key, boolean lost, long nowNanos) {
        if (!mEntries.containsKey(key)) {
            return;
        }
        if (mRecoveredNanos != Long.MIN_VALUE && nowNanos - mRecoveredNanos < REWRITE_GRACE_NANOS) {
            mPendingRemovals.putIfAbsent(
                    key, new Removal(mRecoveredNanos + REWRITE_GRACE_NANOS, lost));
        } else {
            remove(key, lost);
        }
    }

    private void remove(String key, boolean lost) {
        mEntries.remove(key);
        mPendingRemovals.remove(key);
        mChanges.add(new Change(key, null, lost));
    }

    /** Applies the result of a range read; keys that it lacks are removed. */
    private void replace(KeyValueResponse.RangeResult found, long nowNanos) {
        boolean restored = mLoaded && Revisions.era(found.revision()) > Revisions.era(mRevision);
        if (restored) {
            mRecoveredNanos = nowNanos;
        }
        Set<String> present = new HashSet<>();
        for (Entry entry : found.entries()) {
            present.add(entry.key());
            apply(entry, nowNanos);
        }
        for (String key : List.copyOf(mEntries.keySet())) {
            if (!present.contains(key)) {
                recordRemoval(key, found.revision());
                removeOrDefer(key, restored, nowNanos);
            }
        }
        mRevision = Math.max(mRevision, found.revision());
        mNeedsRangeRead = false;
        mLoaded = true;
    }

    /** A removal that is applied if the key is still absent when it is due. */
    private record Removal(long dueNanos, boolean lost) {}
}
