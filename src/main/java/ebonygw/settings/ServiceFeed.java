package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Reads settings from the key-value service while this process is one of its watchers.
 *
 * <p>A watcher polls the end of the log more than once a second and also keeps a watch on it. Other
 * processes try the service only while too few watchers send heartbeats.
 */
final class ServiceFeed {
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Maximum age of the last response of the service at which a watcher sends heartbeats. */
    private static final long CONTACT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long MAX_START_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long MIN_ATTEMPT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_ATTEMPT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(8);

    /** Maximum delay of an attempt while there are watchers, but too few. */
    private static final long SOME_WATCHERS_ATTEMPT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Approximate attempts per second of the whole fleet while there is no watcher. */
    private static final long FLEET_ATTEMPTS_PER_SECOND = 500;

    private static final int POLL_LIMIT = 32;

    private final SettingsReplica mReplica;
    private final PeerFeed mPeerFeed;
    private final RandomGenerator mRandom;
    private final WatcherElection mElection;
    private final SnapshotLoader mLoader;
    private final LogCompactor mCompactor;
    private final NodeId mSelf;
    private int mFleetSize = 1;
    private boolean mWatching;
    private boolean mCaughtUp;
    private boolean mStarted;
    private long mAttemptAtNanos;
    private long mPollAtNanos;
    private long mPollRequestId;
    private long mPollSentNanos;
    private long mWatchRequestId;
    private long mLastContactNanos;
    private long mHeartbeatAtNanos;

    ServiceFeed(SettingsReplica replica, PeerFeed peers, SettingsReplicaOptions options) {
        mReplica = replica;
        mPeerFeed = peers;
        mRandom = options.random();
        mSelf = options.self();
        mElection = new WatcherElection(options.self(), options.watchers());
        mLoader = new SnapshotLoader(replica);
        mCompactor = new LogCompactor(replica, options);
    }

    /** Returns whether the whole log was read from the service at least once. */
    boolean isCaughtUp() {
        return mCaughtUp;
    }

    /** Returns whether this process is a watcher. */
    boolean isWatching() {
        return mWatching;
    }

    void onFleetSize(int processes) {
        mFleetSize = Math.max(1, processes);
    }

    boolean onResponse(long requestId, KeyValueResponse response, long nowNanos, Outbox out) {
        if (requestId == mPollRequestId) {
            mPollRequestId = 0;
            onPoll(response, nowNanos, out);
            return true;
        }
        if (requestId == mWatchRequestId) {
            onWatch(response, nowNanos, out);
            return true;
        }
        if (mLoader.onResponse(requestId, response, out)) {
            if (mLoader.isIdle()) {
                mPollAtNanos = nowNanos;
            }
            return true;
        }
        return mCompactor.onResponse(requestId, response, out);
    }

    void onTick(long nowNanos, Outbox out) {
        mElection.expireHeartbeats(nowNanos);
        if (!mStarted) {
            mStarted = true;
            mAttemptAtNanos = nowNanos + mRandom.nextLong(MAX_START_DELAY_NANOS);
        }
        if (mWatching) {
            continueWatching(nowNanos, out);
        } else {
            considerWatching(nowNanos, out);
        }
    }

    void onWatcherAlive(
            NodeId from, SettingsMessage.WatcherAlive alive, long nowNanos, Outbox out) {
        if (mElection.onHeartbeat(alive, nowNanos)) {
            mPeerFeed.flood(alive, from, out);
        }
    }

    private void applyEntries(List<KeyValueResponse.Entry> entries, Outbox out) {
        List<ByteString> stored = new ArrayList<>();
        for (KeyValueResponse.Entry entry : entries) {
            if (entry.value() != null) {
                stored.add(entry.value());
            }
        }
        mReplica.applyStored(stored, null, out);
    }

    /**
     * Returns the maximum delay before a process that is no watcher tries the service; the delay is
     * random, so that attempts of the fleet are spread out.
     */
    private long attemptIntervalNanos() {
        if (!mElection.hasNoOthers()) {
            return SOME_WATCHERS_ATTEMPT_INTERVAL_NANOS;
        }
        long byFleet = TimeUnit.SECONDS.toNanos(mFleetSize) / FLEET_ATTEMPTS_PER_SECOND;
        return Math.max(MIN_ATTEMPT_INTERVAL_NANOS, Math.min(MAX_ATTEMPT_INTERVAL_NANOS, byFleet));
    }

    /** Starts to watch after a random delay if too few other processes watch. */
    private void considerWatching(long nowNanos, Outbox out) {
        if (mElection.hasEnoughOthers()) {
            mAttemptAtNanos = 0;
            return;
        }
        // Draws a new delay if the interval has become shorter.
        if (mAttemptAtNanos == 0 || mAttemptAtNanos - nowNanos > attemptIntervalNanos()) {
            mAttemptAtNanos = nowNanos + mRandom.nextLong(attemptIntervalNanos());
        }
        if (nowNanos >= mAttemptAtNanos) {
            mWatching = true;
            poll(nowNanos, out);
        }
    }

    /** Polls and sends heartbeats if due; stops watching if there are enough other watchers. */
    private void continueWatching(long nowNanos, Outbox out) {
        if (mElection.isSurplus() && mPollRequestId == 0) {
            stopWatching(out);
            return;
        }
        if (mPollRequestId != 0 && nowNanos - mPollSentNanos > REQUEST_TIMEOUT_NANOS) {
            mPollRequestId = 0;
        }
        if (mPollRequestId == 0 && nowNanos >= mPollAtNanos) {
            poll(nowNanos, out);
        }
        boolean inContact =
                mLastContactNanos != 0 && nowNanos - mLastContactNanos <= CONTACT_TIMEOUT_NANOS;
        if (inContact && nowNanos >= mHeartbeatAtNanos) {
            mHeartbeatAtNanos = nowNanos + HEARTBEAT_INTERVAL_NANOS;
            mPeerFeed.flood(new SettingsMessage.WatcherAlive(mSelf, nowNanos), null, out);
        }
    }

    private void onPoll(KeyValueResponse response, long nowNanos, Outbox out) {
        if (!(response instanceof KeyValueResponse.RangeResult found)) {
            stopWatching(out);
            mAttemptAtNanos =
                    nowNanos
                            + attemptIntervalNanos() / 2
                            + mRandom.nextLong(attemptIntervalNanos() / 2);
            return;
        }
        mLastContactNanos = nowNanos;
        if (found.entries().isEmpty()) {
            mCaughtUp = true;
        } else {
            applyEntries(found.entries(), out);
            String newest = found.entries().get(found.entries().size() - 1).key();
            boolean caughtUp = SettingsKeys.log(mReplica.state().revision()).compareTo(newest) >= 0;
            mCaughtUp |= caughtUp && !found.more();
            // A gap remains, as when the log was trimmed: the newest snapshot is needed.
            if (!caughtUp && mLoader.isIdle()) {
                mLoader.start(out);
            }
        }
        if (!mWatching) {
            return;
        }
        if (found.more() && mLoader.isIdle()) {
            poll(nowNanos, out);
        } else if (mWatchRequestId == 0) {
            mWatchRequestId = mReplica.requestIds().next();
            out.sendKeyValueRequest(
                    mWatchRequestId,
                    new KeyValueRequest.Watch(
                            SettingsKeys.LOG, SettingsKeys.LOG_END, found.revision() + 1));
        }
        mCompactor.onContact(mElection.rank(), nowNanos, out);
    }

    private void onWatch(KeyValueResponse response, long nowNanos, Outbox out) {
        if (!(response instanceof KeyValueResponse.Changed changed)) {
            mWatchRequestId = 0;
            return;
        }
        mLastContactNanos = nowNanos;
        applyEntries(changed.entries(), out);
    }

    private void poll(long nowNanos, Outbox out) {
        mPollRequestId = mReplica.requestIds().next();
        mPollSentNanos = nowNanos;
        mPollAtNanos = nowNanos + POLL_INTERVAL_NANOS;
        out.sendKeyValueRequest(
                mPollRequestId,
                new KeyValueRequest.Range(
                        SettingsKeys.log(mReplica.state().revision() + 1),
                        SettingsKeys.LOG_END,
                        POLL_LIMIT));
    }

    private void stopWatching(Outbox out) {
        mWatching = false;
        mAttemptAtNanos = 0;
        if (mWatchRequestId != 0) {
            out.sendKeyValueRequest(mWatchRequestId, new KeyValueRequest.WatchCancel());
            mWatchRequestId = 0;
        }
    }
}
