package ebonygw.membership;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import ebonygw.log.LogLine;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Reads and watches the presence keys of all processes.
 *
 * <p>Only a few processes of each region, the readers, do so; the others receive the changes by
 * gossip. The number of requests and open watches therefore does not grow with the fleet. A process
 * without connections also reads the keys, without a watch, to find other processes. Not
 * thread-safe.
 */
public final class PresenceReader {
    /** Number of processes in each region that read and watch the keys. */
    public static final int READERS_PER_REGION = 2;

    private static final int MAX_ENTRIES_PER_PAGE = 1000;
    private static final long ISOLATED_READ_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long ISOLATED_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long REFRESH_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(5);
    private static final long ELECTION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Membership mMembership;
    private final ProcessLease mLease;
    private final KeyValueRequestIds mRequestIds;
    private final KeyValueRateLimiter mRateLimiter;
    private final RandomGenerator mRandom;

    /** Processes whose keys existed at the last complete read, updated by the watch. */
    private final Set<NodeId> mRegistered = new TreeSet<>();

    /** Processes whose keys were found by the current read, which spans several pages. */
    private final Set<NodeId> mReadSoFar = new TreeSet<>();

    private boolean mIsReader;
    private long mNextElectionNanos = Long.MIN_VALUE;
    private long mNextIsolatedReadNanos = Long.MIN_VALUE;
    private long mNextRefreshNanos = Long.MIN_VALUE;
    private String mNextKey = Presence.KEY_PREFIX;
    private long mRevision;
    private long mReadRequestId;
    private long mReadSinceNanos;
    private boolean mReadComplete;
    private long mWatchRequestId;

    /**
     * Creates a reader that has read nothing yet.
     *
     * @param membership receives the presence keys
     * @param lease lease of this process; reading ends when it is released
     * @param requestIds issues the identifiers of requests
     * @param rateLimiter limits the rate of requests
     * @param random source of jitter
     * @throws NullPointerException if an argument is null
     */
    public PresenceReader(
            Membership membership,
            ProcessLease lease,
            KeyValueRequestIds requestIds,
            KeyValueRateLimiter rateLimiter,
            RandomGenerator random) {
        mMembership = Objects.requireNonNull(membership, "membership");
        mLease = Objects.requireNonNull(lease, "lease");
        mRequestIds = Objects.requireNonNull(requestIds, "requestIds");
        mRateLimiter = Objects.requireNonNull(rateLimiter, "rateLimiter");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Returns whether this process is a reader of its region. */
    public boolean isReader() {
        return mIsReader;
    }

    /**
     * Processes the response to a request.
     *
     * @return whether this object sent the request
     */
    public boolean onResponse(long requestId, KeyValueResponse response, long nowNanos) {
        if (requestId == 0 || requestId != mReadRequestId && requestId != mWatchRequestId) {
            return false;
        }
        if (requestId == mWatchRequestId) {
            onWatchResponse(response, nowNanos);
        } else {
            mReadRequestId = 0;
            onReadResponse(response, nowNanos);
        }
        return true;
    }

    /** Reads and watches the keys if this process is a reader or isolated. */
    public void onTick(long nowNanos, Outbox out) {
        elect(nowNanos);
        if (mLease.isReleased() || !mIsReader) {
            stopWatching(out);
        }
        if (mLease.isReleased()) {
            return;
        }
        expirePendingRead(nowNanos);
        if (mReadComplete && nowNanos >= mNextRefreshNanos) {
            stopWatching(out);
            restartRead();
        }
        if (mReadComplete
                && mIsReader
                && mWatchRequestId == 0
                && mRateLimiter.tryAcquire(nowNanos)) {
            mWatchRequestId = mRequestIds.next();
            out.sendKeyValueRequest(
                    mWatchRequestId,
                    new KeyValueRequest.Watch(
                            Presence.KEY_PREFIX, Presence.KEY_END, mRevision + 1));
        }
        boolean readWanted = mIsReader || isIsolatedReadDue(nowNanos);
        if (readWanted
                && !mReadComplete
                && mReadRequestId == 0
                && mRateLimiter.tryAcquire(nowNanos)) {
            mReadSinceNanos = nowNanos;
            mReadRequestId = mRequestIds.next();
            out.sendKeyValueRequest(
                    mReadRequestId,
                    new KeyValueRequest.Range(mNextKey, Presence.KEY_END, MAX_ENTRIES_PER_PAGE));
        }
    }

    private static NodeId id(Entry entry) {
        return new NodeId(entry.key().substring(Presence.KEY_PREFIX.length()));
    }

    /** Decides whether this process is a reader: the first live processes of its region are. */
    private void elect(long nowNanos) {
        if (nowNanos < mNextElectionNanos) {
            return;
        }
        mNextElectionNanos = nowNanos + ELECTION_INTERVAL_NANOS;
        List<Member> live = new ArrayList<>();
        for (Member member : mMembership.members()) {
            if (member.state() == MemberState.LIVE) {
                live.add(member);
            }
        }
        Member self = mMembership.self();
        mIsReader =
                self.state() != MemberState.LEAVING
                        && Neighbours.isAmongFirst(self, live, READERS_PER_REGION);
    }

    private void expirePendingRead(long nowNanos) {
        if (mReadRequestId != 0
                && nowNanos - mReadSinceNanos > mLease.options().requestTimeoutNanos()) {
            mReadRequestId = 0;
            mRateLimiter.onFailure(nowNanos);
        }
    }

    /** Returns whether no connection is up and the next read of an isolated process is due. */
    private boolean isIsolatedReadDue(long nowNanos) {
        if (mNextIsolatedReadNanos == Long.MIN_VALUE) {
            mNextIsolatedReadNanos =
                    nowNanos
                            + ISOLATED_READ_DELAY_NANOS
                            + mRandom.nextLong(ISOLATED_READ_DELAY_NANOS);
        }
        return nowNanos >= mNextIsolatedReadNanos && !mMembership.hasLinks();
    }

    private static List<Member> members(List<Entry> entries) {
        List<Member> members = new ArrayList<>();
        for (Entry entry : entries) {
            try {
                members.add(MemberValues.read(entry.value()));
            } catch (IllegalArgumentException e) {
                LogLine.of("presence_malformed").with("key", entry.key()).with("cause", e).warn();
            }
        }
        return members;
    }

    private void onReadResponse(KeyValueResponse response, long nowNanos) {
        if (!(response instanceof KeyValueResponse.RangeResult found)) {
            mRateLimiter.onFailure(nowNanos);
            return;
        }
        mRateLimiter.onResponse();
        if (mNextKey.equals(Presence.KEY_PREFIX)) {
            mRevision = found.revision();
            mReadSoFar.clear();
        }
        found.entries().forEach(entry -> mReadSoFar.add(id(entry)));
        mMembership.onPresence(members(found.entries()), List.of(), false, nowNanos);
        if (found.more() && !found.entries().isEmpty()) {
            mNextKey = found.entries().get(found.entries().size() - 1).key() + '\0';
            return;
        }
        mRegistered.removeAll(mReadSoFar);
        mMembership.onPresence(List.of(), mRegistered, false, nowNanos);
        mRegistered.clear();
        mRegistered.addAll(mReadSoFar);
        mReadComplete = true;
        mNextIsolatedReadNanos = nowNanos + ISOLATED_READ_INTERVAL_NANOS;
        mNextRefreshNanos =
                nowNanos
                        + (mIsReader ? REFRESH_INTERVAL_NANOS : ISOLATED_READ_INTERVAL_NANOS)
                        + mRandom.nextLong(ISOLATED_READ_INTERVAL_NANOS);
    }

    private void onWatchResponse(KeyValueResponse response, long nowNanos) {
        if (!(response instanceof KeyValueResponse.Changed changed)) {
            mWatchRequestId = 0;
            mRateLimiter.onFailure(nowNanos);
            restartRead();
            return;
        }
        mRevision = Math.max(mRevision, changed.revision());
        for (Entry entry : changed.entries()) {
            if (entry.value() == null) {
                mRegistered.remove(id(entry));
                mMembership.onPresence(List.of(), List.of(id(entry)), true, nowNanos);
            } else {
                mRegistered.add(id(entry));
                mMembership.onPresence(members(List.of(entry)), List.of(), true, nowNanos);
            }
        }
    }

    private void restartRead() {
        mReadComplete = false;
        mNextKey = Presence.KEY_PREFIX;
    }

    /** Cancels the watch. Changes may be missed from then on, so the keys must be read again. */
    private void stopWatching(Outbox out) {
        if (mWatchRequestId != 0) {
            out.sendKeyValueRequest(mWatchRequestId, new KeyValueRequest.WatchCancel());
            mWatchRequestId = 0;
            restartRead();
        }
    }
}
