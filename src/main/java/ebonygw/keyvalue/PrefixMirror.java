package ebonygw.keyvalue;

import ebonygw.keyvalue.KeyValueReply.Entry;
import ebonygw.log.LogLine;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A copy of all keys below a prefix, kept up to date by a range read and a watch.
 *
 * <p>No key ever steps back to an earlier revision. Removals that are seen within {@link
 * #RETURN_NANOS} of the service's return from an outage take effect only if the key is still absent
 * after that time, because leases of living holders lapse while the service is away. Not
 * thread-safe.
 */
public final class PrefixMirror {
    /** How long after an outage living holders may take to write their keys again. */
    public static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

    /** Time limit of a range read; the service answers in milliseconds unless it is disrupted. */
    private static final long READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** First wait after a failed call. */
    private static final long FIRST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Longest wait after a failed call, well below the time in which settings must be in force. */
    private static final long LONGEST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final String mPrefix;
    private final String mEnd;
    private final CallIds mCallIds;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final Map<String, Long> mRemovals = new HashMap<>();
    private final List<Change> mChanges = new ArrayList<>();
    private long mRevision;
    private long mReadCall;
    private long mReadSinceNanos;
    private long mWatchCall;
    private long mRetryNanos = FIRST_RETRY_NANOS;
    private long mNextCallNanos = Long.MIN_VALUE;
    private long mReturnedNanos = Long.MIN_VALUE;
    private long mConfirmedNanos = Long.MIN_VALUE;
    private boolean mLoaded;
    private boolean mStale = true;
    private boolean mAway;

    /**
     * Creates a mirror that has read nothing yet.
     *
     * @param prefix start of the keys, not empty
     * @param callIds issues the identifiers of its calls
     * @throws NullPointerException if an argument is null
     */
    public PrefixMirror(String prefix, CallIds callIds) {
        mPrefix = Objects.requireNonNull(prefix, "prefix");
        mEnd = endOf(prefix);
        mCallIds = Objects.requireNonNull(callIds, "callIds");
    }

    /**
     * A changed key.
     *
     * @param key the key
     * @param entry its entry, null once it is removed
     */
    public record Change(String key, Entry entry) {}

    /** Returns the first key after all keys that start with a prefix. */
    public static String endOf(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    /** Returns how long ago the service last confirmed the copy, -1 if it never did. */
    public long ageMillis(long nowNanos) {
        boolean never = mConfirmedNanos == Long.MIN_VALUE;
        return never ? -1 : TimeUnit.NANOSECONDS.toMillis(nowNanos - mConfirmedNanos);
    }

    /** Returns the changes since the last call, in order. */
    public List<Change> drain() {
        if (mChanges.isEmpty()) {
            return List.of();
        }
        List<Change> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /** Returns whether the whole prefix has been read once. */
    public boolean isLoaded() {
        return mLoaded;
    }

    /**
     * Takes in a reply.
     *
     * @return whether the call was this mirror's
     */
    public boolean onReply(long callId, KeyValueReply reply, long nowNanos) {
        if (callId == 0 || callId != mReadCall && callId != mWatchCall) {
            return false;
        }
        boolean read = callId == mReadCall;
        if (read) {
            mReadCall = 0;
        }
        if (reply instanceof KeyValueReply.Found found) {
            confirmed(nowNanos);
            replace(found, nowNanos);
        } else if (reply instanceof KeyValueReply.Changed changed) {
            confirmed(nowNanos);
            changed.entries().forEach(entry -> apply(entry, nowNanos));
            mRevision = Math.max(mRevision, changed.revision());
        } else if (reply instanceof KeyValueReply.Compacted) {
            mWatchCall = 0;
            mStale = true;
            LogLine.of("store_history_lost").with("prefix", mPrefix).warn();
        } else {
            if (!read) {
                mWatchCall = 0;
            }
            failed(reply, nowNanos);
        }
        return true;
    }

    /** Lets time pass: reads, watches, and removes what stayed absent. */
    public void onTick(long nowNanos, Outbox out) {
        if (mReadCall != 0 && nowNanos - mReadSinceNanos > READ_TIMEOUT_NANOS) {
            mReadCall = 0;
            failed(new KeyValueReply.Failed(false, "no answer"), nowNanos);
        }
        removeAbsent(nowNanos);
        if (nowNanos < mNextCallNanos || mReadCall != 0) {
            return;
        }
        if (mStale) {
            mReadSinceNanos = nowNanos;
            mReadCall = mCallIds.next();
            out.keyValue(mReadCall, new KeyValueCall.Range(mPrefix, mEnd, 0));
        } else if (mWatchCall == 0) {
            mWatchCall = mCallIds.next();
            out.keyValue(mWatchCall, new KeyValueCall.Watch(mPrefix, mEnd, mRevision + 1));
        }
    }

    private void apply(Entry entry, long nowNanos) {
        Entry known = mEntries.get(entry.key());
        if (known != null && known.modRevision() >= entry.modRevision()) {
            return;
        }
        if (entry.value() == null) {
            remove(entry.key(), nowNanos);
            return;
        }
        mRemovals.remove(entry.key());
        mEntries.put(entry.key(), entry);
        mChanges.add(new Change(entry.key(), entry));
    }

    private void confirmed(long nowNanos) {
        mConfirmedNanos = nowNanos;
        mRetryNanos = FIRST_RETRY_NANOS;
        if (mAway) {
            mAway = false;
            mReturnedNanos = nowNanos;
            LogLine.of("store_regained").with("prefix", mPrefix).info();
        }
    }

    private void failed(KeyValueReply reply, long nowNanos) {
        if (!mAway) {
            LogLine.of("store_lost").with("prefix", mPrefix).with("reply", reply).warn();
        }
        mAway = true;
        mNextCallNanos = nowNanos + mRetryNanos;
        mRetryNanos = Math.min(LONGEST_RETRY_NANOS, 2 * mRetryNanos);
    }

    private void remove(String key, long nowNanos) {
        if (!mEntries.containsKey(key)) {
            return;
        }
        if (mReturnedNanos != Long.MIN_VALUE && nowNanos - mReturnedNanos < RETURN_NANOS) {
            mRemovals.putIfAbsent(key, mReturnedNanos + RETURN_NANOS);
        } else {
            mEntries.remove(key);
            mRemovals.remove(key);
            mChanges.add(new Change(key, null));
        }
    }

    private void removeAbsent(long nowNanos) {
        if (mRemovals.isEmpty() || mAway) {
            return;
        }
        for (Map.Entry<String, Long> removal : Map.copyOf(mRemovals).entrySet()) {
            if (nowNanos >= removal.getValue()) {
                mRemovals.remove(removal.getKey());
                mEntries.remove(removal.getKey());
                mChanges.add(new Change(removal.getKey(), null));
            }
        }
    }

    private void replace(KeyValueReply.Found found, long nowNanos) {
        Set<String> present = new HashSet<>();
        for (Entry entry : found.entries()) {
            present.add(entry.key());
            apply(entry, nowNanos);
        }
        for (String key : List.copyOf(mEntries.keySet())) {
            if (!present.contains(key)) {
                remove(key, nowNanos);
            }
        }
        mRevision = Math.max(mRevision, found.revision());
        mStale = false;
        mLoaded = true;
    }
}
