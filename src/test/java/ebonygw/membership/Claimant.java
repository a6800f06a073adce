package ebonygw.membership;

import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.FaultyKeyValue;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

/** A claimant of a target with a clock of its own, which can be paused and cut off. */
final class Claimant implements Outbox {
    static final long TIME_TO_LIVE_SECONDS = 12;
    static final long LONGEST_ORDER_NANOS = 1_500_000_000L;
    private static final int CLOCK_PARTS = 1_000_000;

    final String mName;
    boolean mPaused;
    boolean mCutOff;
    TargetAuthority mAuthority;
    private final FaultyKeyValue mService;
    private final boolean mChecksTokens;
    private final long mDriftPpm;
    private final Random mRandom;
    private final Deque<Runnable> mArrived = new ArrayDeque<>();
    private ProcessLease mLease;
    private CallIds mCallIds;
    private long mIncarnation;
    private long mNowNanos;

    Claimant(
            String name,
            FaultyKeyValue service,
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

    /** Returns this claimant's clock at a true time. */
    long clock(long trueNanos) {
        return trueNanos + trueNanos / CLOCK_PARTS * mDriftPpm;
    }

    /** Returns its name and incarnation. */
    String id() {
        return mName + mIncarnation;
    }

    @Override
    public void keyValue(long callId, KeyValueCall call) {
        long incarnation = mIncarnation;
        if (mCutOff) {
            mArrived.add(() -> reply(incarnation, callId, new KeyValueReply.Failed(false, "cut")));
            return;
        }
        mService.call(
                mName + incarnation,
                callId,
                call,
                mNowNanos,
                reply -> mArrived.add(() -> reply(incarnation, callId, reply)));
    }

    /** Starts as a new incarnation that knows nothing; the lease of the former stays. */
    void restart() {
        mIncarnation++;
        mArrived.clear();
        ServiceBudget budget = new ServiceBudget(20, 5, 2_000_000_000L, mRandom);
        mCallIds = new CallIds(3);
        mLease =
                new ProcessLease(
                        new LeaseOptions(TIME_TO_LIVE_SECONDS, 1_000, 1_000_000_000L),
                        mCallIds,
                        budget,
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
                        new AuthorityOptions(
                                "engine", self, mChecksTokens, false, LONGEST_ORDER_NANOS),
                        mLease,
                        new CallIds(4),
                        budget,
                        mRandom);
    }

    @Override
    public void send(NodeId to, Message message) {
        throw new IllegalStateException("an authority sends no messages");
    }

    /** Lets a moment pass. */
    void tick(long trueNanos) {
        mNowNanos = trueNanos;
        if (mPaused) {
            return;
        }
        while (!mArrived.isEmpty()) {
            mArrived.poll().run();
        }
        mLease.onTick(clock(trueNanos), this);
        mAuthority.onTick(clock(trueNanos), this);
    }

    private void reply(long incarnation, long callId, KeyValueReply reply) {
        if (incarnation != mIncarnation) {
            return;
        }
        if (!mLease.onReply(callId, reply, clock(mNowNanos))) {
            mAuthority.onReply(callId, reply, clock(mNowNanos));
        }
    }
}
