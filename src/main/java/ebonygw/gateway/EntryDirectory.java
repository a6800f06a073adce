package ebonygw.gateway;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.PrefixMirror;
import ebonygw.log.LogLine;
import ebonygw.membership.KeyValueRateLimiter;
import ebonygw.membership.LeaseOptions;
import ebonygw.membership.Member;
import ebonygw.membership.MemberValues;
import ebonygw.membership.Presence;
import ebonygw.membership.ProcessLease;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.targetlimit.EntryView;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Registers this entry in the key-value service under a lease and mirrors the registrations of all
 * entries.
 *
 * <p>Not thread-safe.
 */
final class EntryDirectory {
    /** Number of entries that the lease times and the request budget are sized for. */
    private static final int FLEET_SIZE = 100;

    /** Minimum time between two attempts to register. */
    private static final long MIN_REGISTER_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Member mSelf;
    private final KeyValueRequestIds mRequestIds;
    private final PrefixMirror mMirror;
    private final ProcessLease mLease;
    private final Map<NodeId, Member> mEntries = new TreeMap<>();
    private long mOwnRevision;
    private long mRecoveredNanos = Long.MIN_VALUE;
    private long mRegisteredLease;
    private long mRegisterRequestId;
    private long mRegisteringLease;
    private long mRegisterSentNanos;

    EntryDirectory(Member self, KeyValueRequestIds requestIds, SplittableRandom random) {
        mSelf = self;
        mRequestIds = requestIds;
        mMirror = new PrefixMirror(Presence.KEY_PREFIX, requestIds);
        mLease =
                new ProcessLease(
                        LeaseOptions.forFleetOf(FLEET_SIZE),
                        requestIds,
                        KeyValueRateLimiter.forFleetOf(FLEET_SIZE, random.split()),
                        random.split());
    }

    /** Returns the registered entries, including this one once it is registered. */
    Collection<Member> entries() {
        return mEntries.values();
    }

    /**
     * Returns the milliseconds since the service last confirmed the registrations, -1 if it never
     * did.
     */
    long ageMillis(long nowNanos) {
        return mMirror.ageMillis(nowNanos);
    }

    /** Returns the registrations with what tells how far they can be relied upon. */
    EntryView view(long nowNanos) {
        return new EntryView(
                entries(),
                isRegistered() ? mOwnRevision : 0,
                ageMillis(nowNanos),
                mMirror.recoveredNanos());
    }

    /** Returns whether this entry is among the registrations. */
    boolean isRegistered() {
        return mEntries.containsKey(mSelf.id());
    }

    /** Returns whether the registrations have been read at least once. */
    boolean isLoaded() {
        return mMirror.isLoaded();
    }

    /** Handles a response of the key-value service; returns whether it belongs to this object. */
    boolean onResponse(long requestId, KeyValueResponse response, long nowNanos) {
        if (requestId == mRegisterRequestId && requestId != 0) {
            mRegisterRequestId = 0;
            if (response instanceof KeyValueResponse.TransactionResult committed
                    && committed.succeeded()) {
                mRegisteredLease = mRegisteringLease;
            }
            return true;
        }
        return mLease.onResponse(requestId, response, nowNanos)
                || mMirror.onResponse(requestId, response, nowNanos);
    }

    /** Starts the requests that are due; returns whether the set of entries has changed. */
    boolean onTick(long nowNanos, Outbox out) {
        if (mMirror.recoveredNanos() != mRecoveredNanos) {
            // The lease may have lapsed meanwhile; the grace period of mirrors is short.
            mRecoveredNanos = mMirror.recoveredNanos();
            mLease.renewSoon(nowNanos);
        }
        if (mLease.id() == 0) {
            // A service that was restored may grant the same number again.
            mRegisteredLease = 0;
        }
        mLease.onTick(nowNanos, out);
        mMirror.onTick(nowNanos, out);
        long timeoutNanos = mLease.options().requestTimeoutNanos();
        if (mRegisterRequestId != 0 && nowNanos - mRegisterSentNanos > timeoutNanos) {
            mRegisterRequestId = 0;
        }
        boolean due = nowNanos - mRegisterSentNanos > MIN_REGISTER_INTERVAL_NANOS;
        if (mLease.id() != 0 && mLease.id() != mRegisteredLease && mRegisterRequestId == 0 && due) {
            register(nowNanos, out);
        }
        List<PrefixMirror.Change> changes = mMirror.drainChanges();
        changes.forEach(this::apply);
        return !changes.isEmpty();
    }

    /** Gives the lease up, which removes the registration of this entry. */
    void release(long nowNanos, Outbox out) {
        mLease.release(nowNanos, out);
    }

    /** Applies a changed or removed registration; a malformed one is logged and ignored. */
    private void apply(PrefixMirror.Change change) {
        NodeId id = new NodeId(change.key().substring(Presence.KEY_PREFIX.length()));
        if (id.equals(mSelf.id()) && change.entry() != null) {
            mOwnRevision = change.entry().modRevision();
        }
        if (change.entry() == null) {
            mEntries.remove(id);
            return;
        }
        try {
            mEntries.put(id, MemberValues.read(change.entry().value()));
        } catch (IllegalArgumentException malformed) {
            LogLine.of("presence_malformed")
                    .with("key", change.key())
                    .with("cause", malformed)
                    .warn();
        }
    }

    /** Writes the registration of this entry under the current lease. */
    private void register(long nowNanos, Outbox out) {
        mRegisteringLease = mLease.id();
        mRegisterSentNanos = nowNanos;
        mRegisterRequestId = mRequestIds.next();
        String key = Presence.KEY_PREFIX + mSelf.id().name();
        out.sendKeyValueRequest(
                mRegisterRequestId,
                new KeyValueRequest.Transaction(
                        List.of(),
                        List.of(
                                new KeyValueRequest.Write(
                                        key, MemberValues.write(mSelf), mRegisteringLease))));
    }
}
