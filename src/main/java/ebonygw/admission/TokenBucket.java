package ebonygw.admission;

/**
 * A token bucket for a share of a customer's rate and burst.
 *
 * <p>Available tokens, tokens reserved for loans and tokens of charges that may still be refunded
 * never add up to more than the capacity. Hence charges less refunds of any interval stay within
 * capacity + rate * interval, each refund counted at the time of its charge, however late it comes.
 * Amounts are in thousandths of a token, rates in thousandths of a token per second, times in
 * nanoseconds. A time before the last one accrues nothing. Not thread-safe.
 */
final class TokenBucket {
    static final long UNITS_PER_TOKEN = 1_000;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final ChargeLog mCharges = new ChargeLog();
    private long mAssignedCapacity;
    private long mLevel;
    private long mRate;
    private long mRefilledAtNanos;
    private long mRemainder;
    private long mReserved;

    /** Adds tokens that were assigned with an increase of the capacity. */
    void add(long amount) {
        mLevel += amount;
        trim();
    }

    /** Returns the capacity; after a decrease, not less than what open loans still reserve. */
    long capacity() {
        return Math.max(mAssignedCapacity, mReserved);
    }

    /** Charges tokens; returns false and changes nothing if too few are available. */
    boolean charge(long id, long amount) {
        if (mLevel < amount) {
            return false;
        }
        mLevel -= amount;
        mCharges.add(id, amount);
        return true;
    }

    /**
     * Removes everything but the reservations of open loans; no charge can be refunded any more.
     */
    void clear() {
        mRate = 0;
        mAssignedCapacity = 0;
        mLevel = 0;
        mCharges.clear();
    }

    /** Removes tokens used beyond a charge; the level may become negative. */
    void debit(long amount) {
        mLevel -= amount;
    }

    /** Returns whether some of a charge may still be refunded. */
    boolean isRefundable(long id) {
        return mCharges.refundable(id) > 0;
    }

    /** Returns the available tokens; may be negative after a debit. */
    long level() {
        return mLevel;
    }

    long rate() {
        return mRate;
    }

    /** Adds the tokens that have accrued up to now. */
    void refill(long nowNanos) {
        long elapsed = nowNanos - mRefilledAtNanos;
        if (elapsed <= 0) {
            return;
        }
        mRefilledAtNanos = nowNanos;
        if (mRate == 0) {
            return;
        }
        long partial = mRate * (elapsed % NANOS_PER_SECOND) + mRemainder;
        mRemainder = partial % NANOS_PER_SECOND;
        mLevel += mRate * (elapsed / NANOS_PER_SECOND) + partial / NANOS_PER_SECOND;
        trim();
    }

    /** Refunds the unused part of a charge; returns how much the capacity still allowed. */
    long refund(long id, long unused) {
        long refunded = mCharges.reduce(id, unused);
        mLevel += refunded;
        return refunded;
    }

    /**
     * Ends the reservation of a loan whose tokens may have been used; it becomes a charge.
     *
     * @param refundable whether unused tokens may still come back; if not, no charge is kept
     */
    void release(long id, long amount, boolean refundable) {
        mReserved -= amount;
        if (refundable) {
            mCharges.add(id, amount);
        }
        trim();
    }

    /** Removes a charge, of which nothing more will be refunded. */
    void removeCharge(long id) {
        mCharges.remove(id);
    }

    /** Reserves tokens for a loan; they count towards the capacity until {@link #release}. */
    void reserve(long amount) {
        mLevel -= amount;
        mReserved += amount;
    }

    long reserved() {
        return mReserved;
    }

    /** Replaces rate and capacity; returns the tokens removed with a decrease of the capacity. */
    long resize(long rate, long capacity, long nowNanos) {
        refill(nowNanos);
        mRate = rate;
        mRemainder = 0;
        mAssignedCapacity = capacity;
        long before = mLevel;
        trimLevelFirst();
        return Math.max(0, before - mLevel);
    }

    /**
     * Ends a part of a reservation whose tokens were returned unused.
     *
     * @param refundable whether the tokens become available again
     */
    void unreserve(long amount, boolean refundable) {
        mReserved -= amount;
        if (refundable) {
            mLevel += amount;
        }
        trim();
    }

    private long excess() {
        return mLevel + mReserved + mCharges.totalRefundable() - capacity();
    }

    /** Restores the bound by the capacity: first old charges lose their refunds, then the level. */
    private void trim() {
        long excess = excess();
        if (excess <= 0) {
            return;
        }
        long forfeited = Math.min(excess, mCharges.totalRefundable());
        mCharges.forfeit(forfeited);
        mLevel -= excess - forfeited;
    }

    /** Restores the bound by the capacity: first from the level, then as {@link #trim}. */
    private void trimLevelFirst() {
        long excess = excess();
        if (excess > 0) {
            mLevel -= Math.min(excess, Math.max(0, mLevel));
            trim();
        }
    }
}
