package ebonygw.bench.shares;

/** One request of the experiment. Not thread-safe. */
final class Request {
    final long mTicket;
    final String mCustomer;
    final long mCharged;
    final long mUsed;
    final long mArrivedAt;
    final long mDurationNanos;
    final boolean mRightful;

    Request(
            long ticket,
            String customer,
            long charged,
            long used,
            long arrivedAt,
            long durationNanos,
            boolean rightful) {
        mTicket = ticket;
        mCustomer = customer;
        mCharged = charged;
        mUsed = used;
        mArrivedAt = arrivedAt;
        mDurationNanos = durationNanos;
        mRightful = rightful;
    }
}
