package ebonygw.membership;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequest.Write;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.List;
import java.util.Objects;

/**
 * Registers this process with its announced state in the key-value service, under its lease.
 *
 * <p>Not thread-safe.
 */
public final class Presence {
    /** Prefix of presence keys, followed by the name of the process. */
    public static final String KEY_PREFIX = "/ebonygw/presence/";

    /** Exclusive end of the range of presence keys. */
    public static final String KEY_END = "/ebonygw/presence0";

    private final Membership mMembership;
    private final ProcessLease mLease;
    private final KeyValueRequestIds mRequestIds;
    private final KeyValueRateLimiter mRateLimiter;
    private Registration mConfirmed;
    private Registration mPending;
    private long mPendingRequestId;
    private long mPendingSinceNanos;

    /**
     * Creates the presence of a process that is not registered yet.
     *
     * @param membership provides the state to register
     * @param lease lease that the presence key is attached to
     * @param requestIds issues the identifiers of requests
     * @param rateLimiter limits the rate of requests
     * @throws NullPointerException if an argument is null
     */
    public Presence(
            Membership membership,
            ProcessLease lease,
            KeyValueRequestIds requestIds,
            KeyValueRateLimiter rateLimiter) {
        mMembership = Objects.requireNonNull(membership, "membership");
        mLease = Objects.requireNonNull(lease, "lease");
        mRequestIds = Objects.requireNonNull(requestIds, "requestIds");
        mRateLimiter = Objects.requireNonNull(rateLimiter, "rateLimiter");
    }

    /** Returns whether the service has confirmed the registration of the current state. */
    public boolean isRegistered() {
        return currentRegistration().equals(mConfirmed) && mLease.id() != 0;
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
        if (response instanceof KeyValueResponse.TransactionResult) {
            mRateLimiter.onResponse();
            mConfirmed = mPending;
        } else {
            mRateLimiter.onFailure(nowNanos);
        }
        return true;
    }

    /** Registers the current state if it is not registered under the current lease. */
    public void onTick(long nowNanos, Outbox out) {
        if (mLease.id() == 0) {
            return;
        }
        if (mPendingRequestId != 0) {
            if (nowNanos - mPendingSinceNanos <= mLease.options().requestTimeoutNanos()) {
                return;
            }
            mPendingRequestId = 0;
            mRateLimiter.onFailure(nowNanos);
        }
        if (!currentRegistration().equals(mConfirmed) && mRateLimiter.tryAcquire(nowNanos)) {
            mPending = currentRegistration();
            mPendingSinceNanos = nowNanos;
            mPendingRequestId = mRequestIds.next();
            out.sendKeyValueRequest(mPendingRequestId, writeRequest(mPending));
        }
    }

    /** Returns the presence key of a process. */
    static String key(NodeId id) {
        return KEY_PREFIX + id.name();
    }

    private Registration currentRegistration() {
        return new Registration(mMembership.self(), mLease.id());
    }

    private static KeyValueRequest writeRequest(Registration registration) {
        Member member = registration.member();
        Write write = new Write(key(member.id()), MemberValues.write(member), registration.lease());
        return new KeyValueRequest.Transaction(List.of(), List.of(write));
    }

    private record Registration(Member member, long lease) {}
}
