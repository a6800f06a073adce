package ebonygw.backlog;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a sender tells one receiver a changed number of tokens.
 *
 * <p>The first number is always sent, so that the receiver knows of the sender. Not thread-safe.
 */
final class BacklogReport {
    /** Change that is worth a message: about 50 ms of prefill, a few per cent of an objective. */
    static final long MIN_CHANGE_TOKENS = 2_000;

    /** Minimum interval between two messages: two ticks of the control thread. */
    static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private boolean mSent;
    private long mSentTokens;
    private long mSentNanos;

    /**
     * Returns the number to send, empty if no message is due, and marks it as sent.
     *
     * @param tokens the present number, not negative
     */
    OptionalLong drainIfDue(long tokens, long nowNanos) {
        long change = Math.abs(tokens - mSentTokens);
        boolean worthwhile = change >= MIN_CHANGE_TOKENS || tokens == 0 && change > 0;
        if (mSent && (!worthwhile || nowNanos - mSentNanos < MIN_INTERVAL_NANOS)) {
            return OptionalLong.empty();
        }
        mSent = true;
        mSentTokens = tokens;
        mSentNanos = nowNanos;
        return OptionalLong.of(tokens);
    }

    /** Makes the next number due, as for a newly connected receiver. */
    void reset() {
        mSent = false;
        mSentTokens = 0;
    }
}
