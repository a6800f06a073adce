package ebonygw.membership;

import ebonygw.keyvalue.FaultInjectingKeyValueStore;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

/**
 * A simulated process that claims a target. It has its own drifting clock and can be paused,
 * restarted and cut off from the key-value service.
 */
final class Claimant implements Outbox {
    static final long TIME_TO_LIVE_SECONDS = 12;
    static final long MAX_ORDER_NANOS = 1_500_000_000L;
    private static final int MILLION = 1_000_000;

    final String mName;
    boolean mPaused;
    boolean mCutOff;
    TargetAuthority mAuthority;
    private final FaultInjectingKeyValueStore mService;
    private final boolean mChecksTokens;
    private final long mDriftPpm;
    private final Random mRandom;
    private final Deque<Runnable> mPendingResponses = new ArrayDeque<>();
    private ProcessLease mLease;
    private KeyValueRequestIds mRequestIds;
    private long mIncarnation;
    private long mNowNanos;

    Claimant(
            String name,
            FaultInjectingKeyValueStore service,
            boolean checksTokens,
            long driftPpm,
            Random random) {
        mName = name;
        mService = service;
        mChecksTokens = checksTokens;
        mDriftPpm = driftPpm;
        mRandom = random;
        restart();
    }

    /** Returns the time on this claimant's clock at a time of the simulation. */
    long localNanos(long simulationNanos) {
        return simulationNanos + simulationNanos / MILLION * mDriftPpm;
    }

    /** Returns the name followed by the incarnation. */
    String id() {
        return mName + mIncarnation;
    }

    @Override
    public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
        long incarnation = mIncarnation;
        if (mCutOff) {
            mPendingResponses.add(
                    () ->
                            onResponse(
                                    incarnation,
                                    requestId,
                                    new KeyValueResponse.Failed(false, "cut")));
            return;
        }
        mService.submit(
                mName + incarnation,
                requestId,
                request,
                mNowNanos,
                response ->
                        mPendingResponses.add(() -> onResponse(incarnation, requestId, response)));
    }

    /** Restarts as a new incarnation; the lease of the previous one stays until it expires. */
    void restart() {
        mIncarnation++;
        mPendingResponses.clear();
        KeyValueRateLimiter rateLimiter = new KeyValueRateLimiter(20, 5, 2_000_000_000L, mRandom);
        mRequestIds = new KeyValueRequestIds(3);
        mLease =
                new ProcessLease(
                        new LeaseOptions(TIME_TO_LIVE_SECONDS, 1_000, 1_000_000_000L),
                        mRequestIds,
                        rateLimiter,
                        mRandom);
        Member self =
                new Member(
                        new NodeId(mName),
                        mIncarnation,
                        Role.TARGET,
                        MemberState.LIVE,
                        new Locality("kingston", "a"),
                        "10.0.0." + (int) mName.charAt(0) + ":7000",
                        "model");
        mAuthority =
                new TargetAuthority(
                        new AuthorityOptions("engine", self, mChecksTokens, false, MAX_ORDER_NANOS),
                        mLease,
                        new KeyValueRequestIds(4),
                        rateLimiter,
                        mRandom);
    }

    @Override
    public void send(NodeId to, Message message) {
        throw new IllegalStateException("an authority must not send messages");
    }

    /** Processes received responses and runs one tick, unless paused. */
    void tick(long simulationNanos) {
        mNowNanos = simulationNanos;
        if (mPaused) {
            return;
        }
        while (!mPendingResponses.isEmpty()) {
            mPendingResponses.poll().run();
        }
        mLease.onTick(localNanos(simulationNanos), this);
        mAuthority.onTick(localNanos(simulationNanos), this);
    }

    private void onResponse(long incarnation, long requestId, KeyValueResponse response) {
        if (incarnation != mIncarnation) {
            return;
        }
        if (!mLease.onResponse(requestId, response, localNanos(mNowNanos))) {
            mAuthority.onResponse(requestId, response, localNanos(mNowNanos));
        }
    }
}
