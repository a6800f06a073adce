package ebonygw.membership;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.Outbox;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The lease of a process in the key-value service, to which all keys of the process are attached.
 *
 * <p>Keeps a lower bound of the lease's expiry by the clock of this process, allowing for clock
 * drift. The bound counts from the time at which the last successful request was sent, so lost and
 * delayed responses can only make it earlier than the actual expiry. Not thread-safe.
 */
public final class ProcessLease {
    private static final double JITTER_RATIO = 0.1;

    private final LeaseOptions mOptions;
    private final KeyValueRequestIds mRequestIds;
    private final KeyValueRateLimiter mRateLimiter;
    private final RandomGenerator mRandom;
    private long mLeaseId;
    private long mSafeUntilNanos = Long.MIN_VALUE;
    private long mNextRenewalNanos = Long.MIN_VALUE;
    private long mPendingRequestId;
    private long mPendingSinceNanos;
    private boolean mPendingIsGrant;
    private boolean mReleased;

    /**
     * Creates a lease that is not granted yet.
     *
     * @param options the options
     * @param requestIds issues the identifiers of requests
     * @param rateLimiter limits the rate of requests; shared within the process
     * @param random source of jitter
     * @throws NullPointerException if an argument is null
     */
    public ProcessLease(
            LeaseOptions options,
            KeyValueRequestIds requestIds,
            KeyValueRateLimiter rateLimiter,
            RandomGenerator random) {
        mOptions = Objects.requireNonNull(options, "options");
        mRequestIds = Objects.requireNonNull(requestIds, "requestIds");
        mRateLimiter = Objects.requireNonNull(rateLimiter, "rateLimiter");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Returns the identifier of the lease, 0 while none is granted. */
    public long id() {
        return mLeaseId;
    }

    /** Returns whether the lease was released. */
    public boolean isReleased() {
        return mReleased;
    }

    /**
     * Processes the response to a request.
     *
     * @return whether this object sent the request
     */
    public boolean onResponse(long requestId, KeyValueResponse response, long nowNanos) {
        if (requestId != mPendingRequestId || mPendingRequestId == 0) {
            return false;
        }
        mPendingRequestId = 0;
        if (response instanceof KeyValueResponse.Lease lease) {
            mRateLimiter.onResponse();
            onLeaseResponse(lease, nowNanos);
        } else {
            mRateLimiter.onFailure(nowNanos);
        }
        return true;
    }

    /** Requests a lease if none is granted, and renews it when due. */
    public void onTick(long nowNanos, Outbox out) {
        if (mReleased) {
            return;
        }
        if (mPendingRequestId != 0) {
            if (nowNanos - mPendingSinceNanos <= mOptions.requestTimeoutNanos()) {
                return;
            }
            mPendingRequestId = 0;
            mRateLimiter.onFailure(nowNanos);
        }
        if (nowNanos >= mNextRenewalNanos && mRateLimiter.tryAcquire(nowNanos)) {
            mPendingIsGrant = mLeaseId == 0;
            mPendingSinceNanos = nowNanos;
            mPendingRequestId = mRequestIds.next();
            out.sendKeyValueRequest(mPendingRequestId, pendingRequest());
        }
    }

    /**
     * Renews the lease with the next tick, for example because it may have expired during an outage
     * of the service.
     */
    public void renewSoon(long nowNanos) {
        mNextRenewalNanos = Math.min(mNextRenewalNanos, nowNanos);
    }

    /** Returns the options. */
    public LeaseOptions options() {
        return mOptions;
    }

    /**
     * Revokes the lease, which deletes all keys attached to it. Does not wait for the response: if
     * the request is lost, the lease expires by itself.
     */
    public void release(long nowNanos, Outbox out) {
        if (mLeaseId != 0) {
            out.sendKeyValueRequest(mRequestIds.next(), new KeyValueRequest.LeaseRevoke(mLeaseId));
        }
        mReleased = true;
        mLeaseId = 0;
        mPendingRequestId = 0;
        mSafeUntilNanos = Long.MIN_VALUE;
    }

    /**
     * Returns the time, by the clock of this process, before which the lease cannot have expired,
     * {@link Long#MIN_VALUE} if no lease is known to be valid.
     */
    public long safeUntilNanos() {
        return mSafeUntilNanos;
    }

    /**
     * Processes a grant or renewal; the service reports an expired lease by a time to live of 0.
     */
    private void onLeaseResponse(KeyValueResponse.Lease lease, long nowNanos) {
        if (lease.timeToLiveSeconds() <= 0) {
            mLeaseId = 0;
            mSafeUntilNanos = Long.MIN_VALUE;
            mNextRenewalNanos = nowNanos;
            return;
        }
        if (mPendingIsGrant) {
            mLeaseId = lease.leaseId();
            mSafeUntilNanos = Long.MIN_VALUE;
        }
        long lifeNanos = TimeUnit.SECONDS.toNanos(lease.timeToLiveSeconds());
        mSafeUntilNanos =
                Math.max(mSafeUntilNanos, mPendingSinceNanos + mOptions.minusMaxDrift(lifeNanos));
        double factor = 1 - JITTER_RATIO + 2 * JITTER_RATIO * mRandom.nextDouble();
        mNextRenewalNanos = nowNanos + (long) (mOptions.renewalNanos() * factor);
    }

    private KeyValueRequest pendingRequest() {
        return mPendingIsGrant
                ? new KeyValueRequest.LeaseGrant(mOptions.timeToLiveSeconds())
                : new KeyValueRequest.LeaseKeepAlive(mLeaseId);
    }
}
