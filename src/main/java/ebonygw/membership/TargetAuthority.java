package ebonygw.membership;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequest.Compare;
import ebonygw.keyvalue.KeyValueRequest.Write;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import ebonygw.log.LogLine;
import ebonygw.protocol.Outbox;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides whether this process may act on a target, which at most one process may at any time.
 *
 * <p>The authority is a key in the key-value service, attached to the lease of the process. The
 * revision of the key's last change is the fencing token, so each successor has a greater one. Each
 * query takes the current time by this process's clock and compares it with the lease's expiry.
 * Therefore a holder that was paused gets the correct result even before {@link #onTick} detects
 * the pause. Not thread-safe.
 */
public final class TargetAuthority {
    /** Prefix of authority keys, followed by the name of the target. */
    public static final String KEY_PREFIX = "/ebonygw/authority/";

    private static final long MIN_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final AuthorityOptions mOptions;
    private final ProcessLease mLease;
    private final KeyValueRequestIds mRequestIds;
    private final KeyValueRateLimiter mRateLimiter;
    private final RandomGenerator mRandom;
    private final String mKey;

    private long mToken;
    private long mHeldLeaseId;
    private long mMayActFromNanos;
    private long mLastSafeUntilNanos = Long.MIN_VALUE;
    private long mLastTickNanos = Long.MIN_VALUE;

    /** Whether the key must be read before the next claim because its state is unknown. */
    private boolean mMustRead;

    /** Revision that the key must have for the next claim to succeed, 0 if it must not exist. */
    private long mExpectedRevision;

    private boolean mReplacesOwnKey;
    private long mNextClaimNanos = Long.MIN_VALUE;
    private long mPendingRequestId;
    private long mPendingSinceNanos;
    private long mPendingLeaseId;

    /**
     * Creates an authority that is not held yet.
     *
     * @param options the options
     * @param lease lease of the process; the caller has to invoke its {@link ProcessLease#onTick}
     * @param requestIds issues the identifiers of requests
     * @param rateLimiter limits the rate of requests
     * @param random source of jitter
     * @throws NullPointerException if an argument is null
     */
    public TargetAuthority(
            AuthorityOptions options,
            ProcessLease lease,
            KeyValueRequestIds requestIds,
            KeyValueRateLimiter rateLimiter,
            RandomGenerator random) {
        mOptions = Objects.requireNonNull(options, "options");
        mLease = Objects.requireNonNull(lease, "lease");
        mRequestIds = Objects.requireNonNull(requestIds, "requestIds");
        mRateLimiter = Objects.requireNonNull(rateLimiter, "rateLimiter");
        mRandom = Objects.requireNonNull(random, "random");
        mKey = KEY_PREFIX + options.target();
    }

    /** Returns whether the service confirmed the authority and the lease cannot have expired. */
    public boolean isConfirmed(long nowNanos) {
        return mToken != 0 && mHeldLeaseId == mLease.id() && nowNanos < mLease.safeUntilNanos();
    }

    /**
     * Returns whether a request may be sent to the target now.
     *
     * <p>While the key-value service cannot be reached, a process with exclusive access to the
     * target from its host continues. Any other process stops early enough that the request ends
     * before the lease can expire.
     *
     * @param maxRequestNanos maximum time until the request ends, at least 0
     * @param nowNanos the current time
     */
    public boolean mayRun(long maxRequestNanos, long nowNanos) {
        if (mToken == 0 || nowNanos < mMayActFromNanos) {
            return false;
        }
        if (mOptions.hostExclusive()) {
            return isConfirmed(nowNanos) || mayContinueWithoutService(nowNanos);
        }
        return isConfirmed(nowNanos) && endsWithinLease(maxRequestNanos, nowNanos);
    }

    /**
     * Processes the response to a request.
     *
     * @return whether this object sent the request
     */
    public boolean onResponse(long requestId, KeyValueResponse response, long nowNanos) {
        if (mPendingRequestId == 0 || requestId != mPendingRequestId) {
            return false;
        }
        mPendingRequestId = 0;
        if (response instanceof KeyValueResponse.TransactionResult committed) {
            mRateLimiter.onResponse();
            onClaimResponse(committed, nowNanos);
        } else if (response instanceof KeyValueResponse.RangeResult found) {
            mRateLimiter.onResponse();
            onReadResponse(found, nowNanos);
        } else {
            mRateLimiter.onFailure(nowNanos);
            mMustRead = true;
        }
        return true;
    }

    /** Claims the authority if it is not held under the current lease. */
    public void onTick(long nowNanos, Outbox out) {
        detectPause(nowNanos);
        if (mPendingRequestId != 0) {
            if (nowNanos - mPendingSinceNanos <= mLease.options().requestTimeoutNanos()) {
                return;
            }
            mPendingRequestId = 0;
            mMustRead = true;
            mRateLimiter.onFailure(nowNanos);
        }
        boolean mustClaim = mLease.id() != 0 && (mToken == 0 || mHeldLeaseId != mLease.id());
        if (mustClaim && nowNanos >= mNextClaimNanos && mRateLimiter.tryAcquire(nowNanos)) {
            mPendingLeaseId = mLease.id();
            mPendingSinceNanos = nowNanos;
            mPendingRequestId = mRequestIds.next();
            out.sendKeyValueRequest(mPendingRequestId, pendingRequest());
        }
    }

    /** Returns the fencing token, 0 if the authority is not held. */
    public long token() {
        return mToken;
    }

    /**
     * Returns the fencing token for an order to the target, empty if no order may be sent now.
     *
     * <p>Must be called immediately before each order. For a target that does not check fencing
     * tokens, the order must end before the lease can expire.
     *
     * @param maxOrderNanos maximum time until the order ends, at least 0
     * @param nowNanos the current time
     */
    public OptionalLong tokenForOrder(long maxOrderNanos, long nowNanos) {
        if (mToken == 0 || nowNanos < mMayActFromNanos) {
            return OptionalLong.empty();
        }
        boolean allowed = isConfirmed(nowNanos) && endsWithinLease(maxOrderNanos, nowNanos);
        if (mOptions.targetChecksTokens() && mOptions.hostExclusive()) {
            allowed = isConfirmed(nowNanos) || mayContinueWithoutService(nowNanos);
        }
        return allowed ? OptionalLong.of(mToken) : OptionalLong.empty();
    }

    /** Gives up the authority if the lease may have expired during a pause of this process. */
    private void detectPause(long nowNanos) {
        if (mayHaveExpiredDuringPause(nowNanos)) {
            giveUp();
        }
        if (mToken != 0 && mHeldLeaseId == mLease.id()) {
            mLastSafeUntilNanos = Math.max(mLastSafeUntilNanos, mLease.safeUntilNanos());
        }
        mLastTickNanos = nowNanos;
    }

    private boolean endsWithinLease(long maxNanos, long nowNanos) {
        return nowNanos + mLease.options().plusMaxDrift(maxNanos) < mLease.safeUntilNanos();
    }

    private void giveUp() {
        mToken = 0;
        mHeldLeaseId = 0;
        mMustRead = true;
    }

    private static Optional<Member> holder(Entry entry) {
        try {
            return Optional.of(MemberValues.read(entry.value()));
        } catch (IllegalArgumentException e) {
            LogLine.of("authority_malformed").with("key", entry.key()).with("cause", e).warn();
            return Optional.empty();
        }
    }

    /**
     * Records that this process holds the authority.
     *
     * <p>It must not act before the last order of a previous holder has ended for certain. The wait
     * is skipped if this process has exclusive access from its host and either was the previous
     * holder itself or the target rejects outdated fencing tokens.
     */
    private void hold(long token, long leaseId, boolean previousIsSelf, long nowNanos) {
        boolean continues = mOptions.hostExclusive() && (mToken != 0 || previousIsSelf);
        boolean fenced = mOptions.hostExclusive() && mOptions.targetChecksTokens();
        if (!continues && !fenced) {
            long waitNanos = mLease.options().plusMaxDrift(mOptions.maxOrderNanos());
            mMayActFromNanos = Math.max(mMayActFromNanos, nowNanos + waitNanos);
        }
        mToken = token;
        mHeldLeaseId = leaseId;
        mMustRead = false;
        mExpectedRevision = 0;
        mReplacesOwnKey = false;
        mLastSafeUntilNanos = Math.max(mLastSafeUntilNanos, mLease.safeUntilNanos());
    }

    private static String host(String address) {
        int colon = address.lastIndexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }

    private boolean isOnThisHost(Member holder) {
        return host(holder.address()).equals(host(mOptions.self().address()));
    }

    private boolean isOwn(Member holder) {
        Member self = mOptions.self();
        return holder.id().equals(self.id()) && holder.incarnation() == self.incarnation();
    }

    /** Returns whether the holder may continue although the service has not confirmed the lease. */
    private boolean mayContinueWithoutService(long nowNanos) {
        return mOptions.hostExclusive() && mToken != 0 && !mayHaveExpiredDuringPause(nowNanos);
    }

    /** Returns whether the lease may have expired while this process was paused. */
    private boolean mayHaveExpiredDuringPause(long nowNanos) {
        boolean paused =
                mLastTickNanos != Long.MIN_VALUE && nowNanos - mLastTickNanos > MIN_PAUSE_NANOS;
        return paused && mLastTickNanos < mLastSafeUntilNanos && nowNanos >= mLastSafeUntilNanos;
    }

    private void onClaimResponse(KeyValueResponse.TransactionResult committed, long nowNanos) {
        if (!committed.succeeded()) {
            mMustRead = true;
            return;
        }
        hold(committed.revision(), mPendingLeaseId, mReplacesOwnKey, nowNanos);
    }

    private void onReadResponse(KeyValueResponse.RangeResult found, long nowNanos) {
        mMustRead = false;
        mExpectedRevision = 0;
        mReplacesOwnKey = false;
        if (found.entries().isEmpty()) {
            return;
        }
        Entry entry = found.entries().get(0);
        Optional<Member> holder = holder(entry);
        boolean own = holder.filter(this::isOwn).isPresent();
        if (own && entry.leaseId() == mLease.id()) {
            hold(entry.modRevision(), entry.leaseId(), true, nowNanos);
        } else if (own
                || mOptions.hostExclusive() && holder.filter(this::isOnThisHost).isPresent()) {
            mExpectedRevision = entry.modRevision();
            mReplacesOwnKey = own;
        } else {
            giveUp();
            mNextClaimNanos =
                    nowNanos + POLL_INTERVAL_NANOS + mRandom.nextLong(POLL_INTERVAL_NANOS);
        }
    }

    private KeyValueRequest pendingRequest() {
        if (mMustRead) {
            return new KeyValueRequest.Range(mKey, "", 1);
        }
        Write write = new Write(mKey, MemberValues.write(mOptions.self()), mPendingLeaseId);
        return new KeyValueRequest.Transaction(
                List.of(new Compare(mKey, mExpectedRevision)), List.of(write));
    }
}
