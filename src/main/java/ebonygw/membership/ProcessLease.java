package ebonygw.membership;

import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.protocol.Outbox;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The one lease of a process at the key-value service, which all its keys go with.
 *
 * <p>It knows, by this process's own clock and counting its drift, until when the service cannot
 * have let the lease lapse. The time counts from the sending of the last answered call, so lost and
 * late answers only shorten it. Not thread-safe.
 */
public final class ProcessLease {
    private static final double JITTER = 0.1;

    private final LeaseOptions mOptions;
    private final CallIds mCallIds;
    private final ServiceBudget mBudget;
    private final RandomGenerator mRandom;
    private long mLeaseId;
    private long mSafeUntilNanos = Long.MIN_VALUE;
    private long mNextRenewalNanos = Long.MIN_VALUE;
    private long mOpenCall;
    private long mOpenSinceNanos;
    private boolean mOpenGrant;
    private boolean mReleased;

    /**
     * Creates a lease that is not granted yet.
     *
     * @param options the options
     * @param callIds issues the identifiers of its calls
     * @param budget limits its calls, shared with the others of the process
     * @param random source of jitter
     * @throws NullPointerException if an argument is null
     */
    public ProcessLease(
            LeaseOptions options, CallIds callIds, ServiceBudget budget, RandomGenerator random) {
        mOptions = Objects.requireNonNull(options, "options");
        mCallIds = Objects.requireNonNull(callIds, "callIds");
        mBudget = Objects.requireNonNull(budget, "budget");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Returns the lease's identifier, 0 while none is granted. */
    public long id() {
        return mLeaseId;
    }

    /** Returns whether the lease was given back. */
    public boolean isReleased() {
        return mReleased;
    }

    /**
     * Takes in the answer to a call.
     *
     * @return whether the call was this lease's
     */
    public boolean onReply(long callId, KeyValueReply reply, long nowNanos) {
        if (callId != mOpenCall || mOpenCall == 0) {
            return false;
        }
        mOpenCall = 0;
        if (reply instanceof KeyValueReply.Lease lease) {
            mBudget.answered();
            answered(lease, nowNanos);
        } else {
            mBudget.failed(nowNanos);
        }
        return true;
    }

    /** Lets time pass: asks for the lease and renews it when due. */
    public void onTick(long nowNanos, Outbox out) {
        if (mReleased) {
            return;
        }
        if (mOpenCall != 0) {
            if (nowNanos - mOpenSinceNanos <= mOptions.callTimeoutNanos()) {
                return;
            }
            mOpenCall = 0;
            mBudget.failed(nowNanos);
        }
        if (nowNanos >= mNextRenewalNanos && mBudget.tryCall(nowNanos)) {
            mOpenGrant = mLeaseId == 0;
            mOpenSinceNanos = nowNanos;
            mOpenCall = mCallIds.next();
            out.keyValue(mOpenCall, call());
        }
    }

    /** Returns the options. */
    public LeaseOptions options() {
        return mOptions;
    }

    /**
     * Gives the lease back, which deletes all keys that go with it. The answer is not waited for:
     * if the call is lost, the lease lapses by itself.
     */
    public void release(long nowNanos, Outbox out) {
        if (mLeaseId != 0) {
            out.keyValue(mCallIds.next(), new KeyValueCall.LeaseRevoke(mLeaseId));
        }
        mReleased = true;
        mLeaseId = 0;
        mOpenCall = 0;
        mSafeUntilNanos = Long.MIN_VALUE;
    }

    /**
     * Returns the time by this process's clock before which the service cannot have let the lease
     * lapse, {@link Long#MIN_VALUE} if there is none.
     */
    public long safeUntilNanos() {
        return mSafeUntilNanos;
    }

    private void answered(KeyValueReply.Lease lease, long nowNanos) {
        if (lease.timeToLiveSeconds() <= 0) {
            mLeaseId = 0;
            mSafeUntilNanos = Long.MIN_VALUE;
            mNextRenewalNanos = nowNanos;
            return;
        }
        if (mOpenGrant) {
            mLeaseId = lease.leaseId();
            mSafeUntilNanos = Long.MIN_VALUE;
        }
        long lifeNanos = TimeUnit.SECONDS.toNanos(lease.timeToLiveSeconds());
        mSafeUntilNanos =
                Math.max(mSafeUntilNanos, mOpenSinceNanos + mOptions.shortened(lifeNanos));
        double factor = 1 - JITTER + 2 * JITTER * mRandom.nextDouble();
        mNextRenewalNanos = nowNanos + (long) (mOptions.renewalNanos() * factor);
    }

    private KeyValueCall call() {
        return mOpenGrant
                ? new KeyValueCall.LeaseGrant(mOptions.timeToLiveSeconds())
                : new KeyValueCall.LeaseKeepAlive(mLeaseId);
    }
}
