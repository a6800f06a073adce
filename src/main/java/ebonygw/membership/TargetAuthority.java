package ebonygw.membership;

import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueCall.Compare;
import ebonygw.keyvalue.KeyValueCall.Write;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.keyvalue.KeyValueReply.Entry;
import ebonygw.log.LogLine;
import ebonygw.protocol.Outbox;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides whether this process is the one that may act on a target.
 *
 * <p>The authority is a key of the service that goes with the process's lease. The revision of its
 * last change is the fencing token, so each successor's is greater. Every question is answered for
 * the moment it is asked, by this process's own clock: a holder that was paused gets the right
 * answer before it has noticed the pause. Not thread-safe.
 */
public final class TargetAuthority {
    /** Prefix of the keys; the target's name follows. */
    public static final String KEY_PREFIX = "/ebonygw/authority/";

    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long POLL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final AuthorityOptions mOptions;
    private final ProcessLease mLease;
    private final CallIds mCallIds;
    private final ServiceBudget mBudget;
    private final RandomGenerator mRandom;
    private final String mKey;

    private long mToken;
    private long mHeldLeaseId;
    private long mActsFromNanos;
    private long mLastSafeUntilNanos = Long.MIN_VALUE;
    private long mLastTickNanos = Long.MIN_VALUE;
    private boolean mReadFirst;
    private long mReplaceRevision;
    private boolean mReplacesOwn;
    private long mNextClaimNanos = Long.MIN_VALUE;
    private long mOpenCall;
    private long mOpenSinceNanos;
    private long mOpenLeaseId;

    /**
     * Creates an authority that is not held yet.
     *
     * @param options the options
     * @param lease the lease of the process, driven by its owner
     * @param callIds issues the identifiers of its calls
     * @param budget limits its calls
     * @param random source of jitter
     * @throws NullPointerException if an argument is null
     */
    public TargetAuthority(
            AuthorityOptions options,
            ProcessLease lease,
            CallIds callIds,
            ServiceBudget budget,
            RandomGenerator random) {
        mOptions = Objects.requireNonNull(options, "options");
        mLease = Objects.requireNonNull(lease, "lease");
        mCallIds = Objects.requireNonNull(callIds, "callIds");
        mBudget = Objects.requireNonNull(budget, "budget");
        mRandom = Objects.requireNonNull(random, "random");
        mKey = KEY_PREFIX + options.target();
    }

    /** Returns whether the service confirmed the authority and cannot have ended it since. */
    public boolean isConfirmed(long nowNanos) {
        return mToken != 0 && mHeldLeaseId == mLease.id() && nowNanos < mLease.safeUntilNanos();
    }

    /**
     * Returns whether a request may be sent to the target now.
     *
     * <p>While the service cannot be reached, a process that excludes all others on its host goes
     * on; any other one stops early enough for the request to end with the lease.
     *
     * @param longestRequestNanos longest time until the request ends, at least 0
     * @param nowNanos the present time
     */
    public boolean mayRun(long longestRequestNanos, long nowNanos) {
        if (mToken == 0 || nowNanos < mActsFromNanos) {
            return false;
        }
        if (mOptions.hostExclusive()) {
            return isConfirmed(nowNanos) || isEnduring(nowNanos);
        }
        return isConfirmed(nowNanos) && endsWithinLease(longestRequestNanos, nowNanos);
    }

    /**
     * Takes in the answer to a call.
     *
     * @return whether the call was this authority's
     */
    public boolean onReply(long callId, KeyValueReply reply, long nowNanos) {
        if (mOpenCall == 0 || callId != mOpenCall) {
            return false;
        }
        mOpenCall = 0;
        if (reply instanceof KeyValueReply.Committed committed) {
            mBudget.answered();
            claimed(committed, nowNanos);
        } else if (reply instanceof KeyValueReply.Found found) {
            mBudget.answered();
            read(found, nowNanos);
        } else {
            mBudget.failed(nowNanos);
            mReadFirst = true;
        }
        return true;
    }

    /** Lets time pass: claims the authority whenever it is not held under the present lease. */
    public void onTick(long nowNanos, Outbox out) {
        noticePause(nowNanos);
        if (mOpenCall != 0) {
            if (nowNanos - mOpenSinceNanos <= mLease.options().callTimeoutNanos()) {
                return;
            }
            mOpenCall = 0;
            mReadFirst = true;
            mBudget.failed(nowNanos);
        }
        boolean claims = mLease.id() != 0 && (mToken == 0 || mHeldLeaseId != mLease.id());
        if (claims && nowNanos >= mNextClaimNanos && mBudget.tryCall(nowNanos)) {
            mOpenLeaseId = mLease.id();
            mOpenSinceNanos = nowNanos;
            mOpenCall = mCallIds.next();
            out.keyValue(mOpenCall, call());
        }
    }

    /** Returns the fencing token, 0 if the authority is not held. */
    public long token() {
        return mToken;
    }

    /**
     * Returns the fencing token for an order to the target, empty if none may be given now.
     *
     * <p>To be asked immediately before each order. For a target that ignores tokens, the order has
     * to end before the lease can lapse.
     *
     * @param longestOrderNanos longest time until the order ends, at least 0
     * @param nowNanos the present time
     */
    public OptionalLong tokenForOrder(long longestOrderNanos, long nowNanos) {
        if (mToken == 0 || nowNanos < mActsFromNanos) {
            return OptionalLong.empty();
        }
        boolean allowed = isConfirmed(nowNanos) && endsWithinLease(longestOrderNanos, nowNanos);
        if (mOptions.engineChecksTokens() && mOptions.hostExclusive()) {
            allowed = isConfirmed(nowNanos) || isEnduring(nowNanos);
        }
        return allowed ? OptionalLong.of(mToken) : OptionalLong.empty();
    }

    private KeyValueCall call() {
        if (mReadFirst) {
            return new KeyValueCall.Range(mKey, "", 1);
        }
        Write write = new Write(mKey, MemberValues.write(mOptions.self()), mOpenLeaseId);
        return new KeyValueCall.Transaction(
                List.of(new Compare(mKey, mReplaceRevision)), List.of(write));
    }

    private void claimed(KeyValueReply.Committed committed, long nowNanos) {
        if (!committed.succeeded()) {
            mReadFirst = true;
            return;
        }
        hold(committed.revision(), mOpenLeaseId, mReplacesOwn, nowNanos);
    }

    private boolean endsWithinLease(long longestNanos, long nowNanos) {
        return nowNanos + mLease.options().lengthened(longestNanos) < mLease.safeUntilNanos();
    }

    private static Optional<Member> holder(Entry entry) {
        try {
            return Optional.of(MemberValues.read(entry.value()));
        } catch (IllegalArgumentException e) {
            LogLine.of("authority_malformed").with("key", entry.key()).with("cause", e).warn();
            return Optional.empty();
        }
    }

    /** Holds the authority; the former's last order is waited out unless the former is this one. */
    private void hold(long token, long leaseId, boolean formerIsSelf, long nowNanos) {
        boolean continues = mOptions.hostExclusive() && (mToken != 0 || formerIsSelf);
        boolean fenced = mOptions.hostExclusive() && mOptions.engineChecksTokens();
        if (!continues && !fenced) {
            long waitNanos = mLease.options().lengthened(mOptions.longestOrderNanos());
            mActsFromNanos = Math.max(mActsFromNanos, nowNanos + waitNanos);
        }
        mToken = token;
        mHeldLeaseId = leaseId;
        mReadFirst = false;
        mReplaceRevision = 0;
        mReplacesOwn = false;
        mLastSafeUntilNanos = Math.max(mLastSafeUntilNanos, mLease.safeUntilNanos());
    }

    /** Returns whether the holder may go on without the service's word. */
    private boolean isEnduring(long nowNanos) {
        return mOptions.hostExclusive() && mToken != 0 && !wokeTooLate(nowNanos);
    }

    private boolean isOwn(Member holder) {
        Member self = mOptions.self();
        return holder.id().equals(self.id()) && holder.incarnation() == self.incarnation();
    }

    private boolean isOnThisHost(Member holder) {
        return host(holder.address()).equals(host(mOptions.self().address()));
    }

    private static String host(String address) {
        int colon = address.lastIndexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }

    private void lose() {
        mToken = 0;
        mHeldLeaseId = 0;
        mReadFirst = true;
    }

    private void noticePause(long nowNanos) {
        if (wokeTooLate(nowNanos)) {
            lose();
        }
        if (mToken != 0 && mHeldLeaseId == mLease.id()) {
            mLastSafeUntilNanos = Math.max(mLastSafeUntilNanos, mLease.safeUntilNanos());
        }
        mLastTickNanos = nowNanos;
    }

    private void read(KeyValueReply.Found found, long nowNanos) {
        mReadFirst = false;
        mReplaceRevision = 0;
        mReplacesOwn = false;
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
            mReplaceRevision = entry.modRevision();
            mReplacesOwn = own;
        } else {
            lose();
            mNextClaimNanos = nowNanos + POLL_NANOS + mRandom.nextLong(POLL_NANOS);
        }
    }

    /** Returns whether the lease may have lapsed during a pause. */
    private boolean wokeTooLate(long nowNanos) {
        boolean paused =
                mLastTickNanos != Long.MIN_VALUE && nowNanos - mLastTickNanos > PAUSE_NANOS;
        return paused && mLastTickNanos < mLastSafeUntilNanos && nowNanos >= mLastSafeUntilNanos;
    }
}
