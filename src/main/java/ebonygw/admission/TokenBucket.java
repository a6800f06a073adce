package ebonygw.admission;

/**
 * A part of a customer's rate and burst: tokens that accrue at a rate up to a capacity.
 *
 * <p>At every moment tokens at hand, tokens reserved for loans and tokens that may still be
 * returned add up to at most the capacity. Hence all charges less returns of any interval stay
 * within capacity plus rate times interval, each counted at the moment of its charge, however late
 * the return comes. Amounts are in thousandths of a token, rates in thousandths of a token a
 * second, time in nanoseconds. Time that runs backwards accrues nothing. Not thread-safe.
 */
final class TokenBucket {
    /** Units of one token. */
    static final long UNITS_PER_TOKEN = 1_000;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final ChargeLog mCharges = new ChargeLog();
    private long mAssignedCapacity;
    private long mLevel;
    private long mRate;
    private long mRefilledAtNanos;
    private long mRemainder;
    private long mReserved;

    /** Adds tokens that came with an increase of the capacity. */
    void add(long amount) {
        mLevel += amount;
        trim();
    }

    /** Returns the capacity; loans that are still open keep theirs after it was lowered. */
    long capacity() {
        return Math.max(mAssignedCapacity, mReserved);
    }

    /** Takes tokens for a charge; returns false and changes nothing if they are not at hand. */
    boolean charge(long id, long amount) {
        if (mLevel < amount) {
            return false;
        }
        mLevel -= amount;
        mCharges.add(id, amount);
        return true;
    }

    /** Ends a charge that used more than was charged by an amount; the level may fall below 0. */
    void debit(long amount) {
        mLevel -= amount;
    }

    /** Takes all away but what open loans reserve; nothing can be returned any more. */
    void empty() {
        mRate = 0;
        mAssignedCapacity = 0;
        mLevel = 0;
        mCharges.clear();
    }

    /** Returns whether the charge is known and something of it may still be returned. */
    boolean hasCharge(long id) {
        return mCharges.amount(id) > 0;
    }

    /** Returns the tokens at hand, below 0 after a debit. */
    long level() {
        return mLevel;
    }

    long rate() {
        return mRate;
    }

    /** Accrues tokens up to now. */
    void refill(long nowNanos) {
        long passed = nowNanos - mRefilledAtNanos;
        if (passed <= 0) {
            return;
        }
        mRefilledAtNanos = nowNanos;
        if (mRate == 0) {
            return;
        }
        long partial = mRate * (passed % NANOS_PER_SECOND) + mRemainder;
        mRemainder = partial % NANOS_PER_SECOND;
        mLevel += mRate * (passed / NANOS_PER_SECOND) + partial / NANOS_PER_SECOND;
        trim();
    }

    /**
     * Ends a reservation; it becomes a charge if it may have run, and vanishes if not {@code live}.
     */
    void release(long id, long amount, boolean live) {
        mReserved -= amount;
        if (live) {
            mCharges.add(id, amount);
        }
        trim();
    }

    /** Takes tokens for a loan; they stay part of the capacity until {@link #release}. */
    void reserve(long amount) {
        mLevel -= amount;
        mReserved += amount;
    }

    long reserved() {
        return mReserved;
    }

    /** Takes an unused part of a charge back; returns how much the bucket still had room for. */
    long giveBack(long id, long unused) {
        long back = mCharges.reduce(id, unused);
        mLevel += back;
        return back;
    }

    /** Forgets a charge, of which nothing more will be returned. */
    void settled(long id) {
        mCharges.remove(id);
    }

    /** Replaces rate and capacity; returns the tokens that had to leave with the capacity. */
    long resize(long rate, long capacity, long nowNanos) {
        refill(nowNanos);
        mRate = rate;
        mRemainder = 0;
        mAssignedCapacity = capacity;
        long before = mLevel;
        trimLevelFirst();
        return Math.max(0, before - mLevel);
    }

    /** Ends a part of a reservation whose tokens come back unused. */
    void unreserve(long amount, boolean live) {
        mReserved -= amount;
        if (live) {
            mLevel += amount;
        }
        trim();
    }

    private long excess() {
        return mLevel + mReserved + mCharges.total() - capacity();
    }

    private void trim() {
        long excess = excess();
        if (excess <= 0) {
            return;
        }
        long forfeited = Math.min(excess, mCharges.total());
        mCharges.forfeit(forfeited);
        mLevel -= excess - forfeited;
    }

    private void trimLevelFirst() {
        long excess = excess();
        if (excess > 0) {
            mLevel -= Math.min(excess, Math.max(0, mLevel));
            trim();
        }
    }
}
