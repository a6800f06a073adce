package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Gets settings from the key-value service while this process is one of its watchers.
 *
 * <p>A watcher reads the end of the log more than once a second and has a watch besides; the others
 * only try the service when too few watchers give signs of contact.
 */
final class ServiceFeed {
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final long SIGN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long START_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long MIN_TRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_TRY_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long RELAXED_TRY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long LOST_CALL_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long TRIES_PER_SECOND = 500;
    private static final int POLL_LIMIT = 32;

    private final SettingsReplica mReplica;
    private final PeerFeed mPeers;
    private final RandomGenerator mRandom;
    private final WatcherElection mElection;
    private final SnapshotLoader mLoader;
    private final SnapshotKeeper mKeeper;
    private final NodeId mSelf;
    private int mFleetSize = 1;
    private boolean mActive;
    private boolean mCaughtUp;
    private boolean mStarted;
    private long mTryAtNanos;
    private long mPollAtNanos;
    private long mPollCall;
    private long mPollSentNanos;
    private long mWatchCall;
    private long mContactNanos;
    private long mSignAtNanos;

    ServiceFeed(SettingsReplica replica, PeerFeed peers, SettingsReplicaOptions options) {
        mReplica = replica;
        mPeers = peers;
        mRandom = options.random();
        mSelf = options.self();
        mElection = new WatcherElection(options.self(), options.watchers());
        mLoader = new SnapshotLoader(replica);
        mKeeper = new SnapshotKeeper(replica, options);
    }

    /** Returns whether this process watches. */
    boolean active() {
        return mActive;
    }

    /** Returns whether the whole log was read from the service at least once. */
    boolean caughtUp() {
        return mCaughtUp;
    }

    void onFleetSize(int processes) {
        mFleetSize = Math.max(1, processes);
    }

    boolean onReply(long callId, KeyValueReply reply, long nowNanos, Outbox out) {
        if (callId == mPollCall) {
            mPollCall = 0;
            onPoll(reply, nowNanos, out);
            return true;
        }
        if (callId == mWatchCall) {
            onWatch(reply, nowNanos, out);
            return true;
        }
        if (mLoader.onReply(callId, reply, out)) {
            if (mLoader.idle()) {
                mPollAtNanos = nowNanos;
            }
            return true;
        }
        return mKeeper.onReply(callId, reply, out);
    }

    void onTick(long nowNanos, Outbox out) {
        mElection.forgetSilent(nowNanos);
        if (!mStarted) {
            mStarted = true;
            mTryAtNanos = nowNanos + mRandom.nextLong(START_NANOS);
        }
        if (mActive) {
            watch(nowNanos, out);
        } else {
            consider(nowNanos, out);
        }
    }

    void onWatcherAlive(
            NodeId from, SettingsMessage.WatcherAlive alive, long nowNanos, Outbox out) {
        if (mElection.heard(alive, nowNanos)) {
            mPeers.flood(alive, from, out);
        }
    }

    private void consider(long nowNanos, Outbox out) {
        if (mElection.enough()) {
            mTryAtNanos = 0;
            return;
        }
        if (mTryAtNanos == 0 || mTryAtNanos - nowNanos > tryNanos()) {
            mTryAtNanos = nowNanos + mRandom.nextLong(tryNanos());
        }
        if (nowNanos >= mTryAtNanos) {
            mActive = true;
            poll(nowNanos, out);
        }
    }

    private void leave(Outbox out) {
        mActive = false;
        mTryAtNanos = 0;
        if (mWatchCall != 0) {
            out.keyValue(mWatchCall, new KeyValueCall.WatchCancel());
            mWatchCall = 0;
        }
    }

    private void learn(List<KeyValueReply.Entry> entries, Outbox out) {
        List<ByteString> stored = new ArrayList<>();
        for (KeyValueReply.Entry entry : entries) {
            if (entry.value() != null) {
                stored.add(entry.value());
            }
        }
        mReplica.learnStored(stored, null, out);
    }

    private void onPoll(KeyValueReply reply, long nowNanos, Outbox out) {
        if (!(reply instanceof KeyValueReply.Found found)) {
            leave(out);
            mTryAtNanos = nowNanos + tryNanos() / 2 + mRandom.nextLong(tryNanos() / 2);
            return;
        }
        mContactNanos = nowNanos;
        if (found.entries().isEmpty()) {
            mCaughtUp = true;
        } else {
            learn(found.entries(), out);
            String newest = found.entries().get(found.entries().size() - 1).key();
            boolean reached = SettingsKeys.log(mReplica.state().revision()).compareTo(newest) >= 0;
            mCaughtUp |= reached && !found.more();
            if (!reached && mLoader.idle()) {
                mLoader.start(out);
            }
        }
        if (!mActive) {
            return;
        }
        if (found.more() && mLoader.idle()) {
            poll(nowNanos, out);
        } else if (mWatchCall == 0) {
            mWatchCall = mReplica.callIds().next();
            out.keyValue(
                    mWatchCall,
                    new KeyValueCall.Watch(
                            SettingsKeys.LOG, SettingsKeys.LOG_END, found.revision() + 1));
        }
        mKeeper.onContact(mElection.rank(), nowNanos, out);
    }

    private void onWatch(KeyValueReply reply, long nowNanos, Outbox out) {
        if (!(reply instanceof KeyValueReply.Changed changed)) {
            mWatchCall = 0;
            return;
        }
        mContactNanos = nowNanos;
        learn(changed.entries(), out);
    }

    private void poll(long nowNanos, Outbox out) {
        mPollCall = mReplica.callIds().next();
        mPollSentNanos = nowNanos;
        mPollAtNanos = nowNanos + POLL_NANOS;
        out.keyValue(
                mPollCall,
                new KeyValueCall.Range(
                        SettingsKeys.log(mReplica.state().revision() + 1),
                        SettingsKeys.LOG_END,
                        POLL_LIMIT));
    }

    /** Returns within how long on average a process without contact tries the service. */
    private long tryNanos() {
        if (!mElection.none()) {
            return RELAXED_TRY_NANOS;
        }
        long byFleet = TimeUnit.SECONDS.toNanos(mFleetSize) / TRIES_PER_SECOND;
        return Math.max(MIN_TRY_NANOS, Math.min(MAX_TRY_NANOS, byFleet));
    }

    private void watch(long nowNanos, Outbox out) {
        if (mElection.surplus() && mPollCall == 0) {
            leave(out);
            return;
        }
        if (mPollCall != 0 && nowNanos - mPollSentNanos > LOST_CALL_NANOS) {
            mPollCall = 0;
        }
        if (mPollCall == 0 && nowNanos >= mPollAtNanos) {
            poll(nowNanos, out);
        }
        boolean contact = mContactNanos != 0 && nowNanos - mContactNanos <= CONTACT_NANOS;
        if (contact && nowNanos >= mSignAtNanos) {
            mSignAtNanos = nowNanos + SIGN_NANOS;
            mPeers.flood(new SettingsMessage.WatcherAlive(mSelf, nowNanos), null, out);
        }
    }
}
