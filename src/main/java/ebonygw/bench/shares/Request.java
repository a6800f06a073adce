package ebonygw.bench.shares;

/** One request of the simulated traffic. */
final class Request {
    final long mId;
    final String mCustomer;
    final long mChargedTokens;
    final long mUsedTokens;
    final long mArrivedAt;
    final long mDurationNanos;

    /** Whether one token bucket for the whole fleet would admit the request. */
    final boolean mWithinRate;

    Request(
            long id,
            String customer,
            long chargedTokens,
            long usedTokens,
            long arrivedAt,
            long durationNanos,
            boolean withinRate) {
        mId = id;
        mCustomer = customer;
        mChargedTokens = chargedTokens;
        mUsedTokens = usedTokens;
        mArrivedAt = arrivedAt;
        mDurationNanos = durationNanos;
        mWithinRate = withinRate;
    }
}
