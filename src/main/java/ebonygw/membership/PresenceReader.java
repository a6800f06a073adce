package ebonygw.membership;

import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.keyvalue.KeyValueReply.Entry;
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
 * Reads and watches all processes' registrations, in a few processes of each region.
 *
 * <p>What the readers learn goes to the others as news of the membership, so that the number of
 * calls and of waiting watches does not grow with the fleet. A process without links reads too,
 * without watching, to find others. Not thread-safe.
 */
public final class PresenceReader {
    /** Processes of each region that read and watch. */
    public static final int READERS_PER_REGION = 2;

    private static final int PAGE_ENTRIES = 1000;
    private static final long LONELY_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long LONELY_RETRY_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long REFRESH_NANOS = TimeUnit.MINUTES.toNanos(5);
    private static final long ELECTION_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Membership mMembership;
    private final ProcessLease mLease;
    private final CallIds mCallIds;
    private final ServiceBudget mBudget;
    private final RandomGenerator mRandom;
    private final Set<NodeId> mRegistered = new TreeSet<>();
    private final Set<NodeId> mSeen = new TreeSet<>();
    private boolean mReader;
    private long mNextElectionNanos = Long.MIN_VALUE;
    private long mNextLonelyNanos = Long.MIN_VALUE;
    private long mNextRefreshNanos = Long.MIN_VALUE;
    private String mNextKey = Presence.KEY_PREFIX;
    private long mRevision;
    private long mReadCall;
    private long mReadSinceNanos;
    private boolean mComplete;
    private long mWatchCall;

    /**
     * Creates a reader that has read nothing yet.
     *
     * @param membership takes what is read
     * @param lease the lease of this process; reading ends when it is released
     * @param callIds issues the identifiers of its calls
     * @param budget limits its calls
     * @param random source of jitter
     * @throws NullPointerException if an argument is null
     */
    public PresenceReader(
            Membership membership,
            ProcessLease lease,
            CallIds callIds,
            ServiceBudget budget,
            RandomGenerator random) {
        mMembership = Objects.requireNonNull(membership, "membership");
        mLease = Objects.requireNonNull(lease, "lease");
        mCallIds = Objects.requireNonNull(callIds, "callIds");
        mBudget = Objects.requireNonNull(budget, "budget");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Returns whether this process is one of its region's readers. */
    public boolean isReader() {
        return mReader;
    }

    /**
     * Takes in the answer to a call.
     *
     * @return whether the call was this reader's
     */
    public boolean onReply(long callId, KeyValueReply reply, long nowNanos) {
        if (callId == 0 || callId != mReadCall && callId != mWatchCall) {
            return false;
        }
        if (callId == mWatchCall) {
            changed(reply, nowNanos);
        } else {
            mReadCall = 0;
            read(reply, nowNanos);
        }
        return true;
    }

    /** Lets time pass: reads and watches if this process is to. */
    public void onTick(long nowNanos, Outbox out) {
        elect(nowNanos);
        if (mLease.isReleased() || !mReader) {
            stopWatching(out);
        }
        if (mLease.isReleased()) {
            return;
        }
        expire(nowNanos);
        if (mComplete && nowNanos >= mNextRefreshNanos) {
            stopWatching(out);
            restart();
        }
        if (mComplete && mReader && mWatchCall == 0 && mBudget.tryCall(nowNanos)) {
            mWatchCall = mCallIds.next();
            out.keyValue(
                    mWatchCall,
                    new KeyValueCall.Watch(Presence.KEY_PREFIX, Presence.KEY_END, mRevision + 1));
        }
        boolean wanted = mReader || isLonely(nowNanos);
        if (wanted && !mComplete && mReadCall == 0 && mBudget.tryCall(nowNanos)) {
            mReadSinceNanos = nowNanos;
            mReadCall = mCallIds.next();
            out.keyValue(
                    mReadCall, new KeyValueCall.Range(mNextKey, Presence.KEY_END, PAGE_ENTRIES));
        }
    }

    private static NodeId id(Entry entry) {
        return new NodeId(entry.key().substring(Presence.KEY_PREFIX.length()));
    }

    private void changed(KeyValueReply reply, long nowNanos) {
        if (!(reply instanceof KeyValueReply.Changed changed)) {
            mWatchCall = 0;
            mBudget.failed(nowNanos);
            restart();
            return;
        }
        mRevision = Math.max(mRevision, changed.revision());
        for (Entry entry : changed.entries()) {
            if (entry.value() == null) {
                mRegistered.remove(id(entry));
                mMembership.onLeases(List.of(), List.of(id(entry)), true, nowNanos);
            } else {
                mRegistered.add(id(entry));
                mMembership.onLeases(members(List.of(entry)), List.of(), true, nowNanos);
            }
        }
    }

    private void elect(long nowNanos) {
        if (nowNanos < mNextElectionNanos) {
            return;
        }
        mNextElectionNanos = nowNanos + ELECTION_NANOS;
        List<Member> live = new ArrayList<>();
        for (Member member : mMembership.members()) {
            if (member.state() == MemberState.LIVE) {
                live.add(member);
            }
        }
        Member self = mMembership.self();
        mReader =
                self.state() != MemberState.LEAVING
                        && Neighbours.isAmongFirst(self, live, READERS_PER_REGION);
    }

    private void expire(long nowNanos) {
        if (mReadCall != 0 && nowNanos - mReadSinceNanos > mLease.options().callTimeoutNanos()) {
            mReadCall = 0;
            mBudget.failed(nowNanos);
        }
    }

    private boolean isLonely(long nowNanos) {
        if (mNextLonelyNanos == Long.MIN_VALUE) {
            mNextLonelyNanos = nowNanos + LONELY_NANOS + mRandom.nextLong(LONELY_NANOS);
        }
        return nowNanos >= mNextLonelyNanos && !mMembership.hasLinks();
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

    private void read(KeyValueReply reply, long nowNanos) {
        if (!(reply instanceof KeyValueReply.Found found)) {
            mBudget.failed(nowNanos);
            return;
        }
        mBudget.answered();
        if (mNextKey.equals(Presence.KEY_PREFIX)) {
            mRevision = found.revision();
            mSeen.clear();
        }
        found.entries().forEach(entry -> mSeen.add(id(entry)));
        mMembership.onLeases(members(found.entries()), List.of(), false, nowNanos);
        if (found.more() && !found.entries().isEmpty()) {
            mNextKey = found.entries().get(found.entries().size() - 1).key() + '\0';
            return;
        }
        mRegistered.removeAll(mSeen);
        mMembership.onLeases(List.of(), mRegistered, false, nowNanos);
        mRegistered.clear();
        mRegistered.addAll(mSeen);
        mComplete = true;
        mNextLonelyNanos = nowNanos + LONELY_RETRY_NANOS;
        mNextRefreshNanos =
                nowNanos
                        + (mReader ? REFRESH_NANOS : LONELY_RETRY_NANOS)
                        + mRandom.nextLong(LONELY_RETRY_NANOS);
    }

    private void restart() {
        mComplete = false;
        mNextKey = Presence.KEY_PREFIX;
    }

    private void stopWatching(Outbox out) {
        if (mWatchCall != 0) {
            out.keyValue(mWatchCall, new KeyValueCall.WatchCancel());
            mWatchCall = 0;
            restart();
        }
    }
}
