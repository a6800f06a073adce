package ebonygw.backlog;

import java.util.OptionalLong;

/**
 * What an entry knows of the prompt tokens of other entries that wait for prefill at one target,
 * and when it tells the target's loader its own.
 *
 * <p>Known only while the loader is connected and has reported. Not thread-safe.
 */
public final class TargetBacklog {
    /**
     * Maximum number of tokens that is believed: far more than replicas can hold, and low enough
     * that sums and times computed from it stay in range.
     */
    static final long MAX_TOKENS = 100_000_000;

    private final BacklogReport mReport = new BacklogReport();
    private OptionalLong mOthersTokens = OptionalLong.empty();

    /** Returns a number of tokens within its bounds. */
    static long bounded(long tokens) {
        return Math.max(0, Math.min(MAX_TOKENS, tokens));
    }

    /**
     * Returns the message to send to the loader, empty if none is due, and marks it as sent.
     *
     * @param ownTokens tokens of this entry that wait for prefill at the target, not negative
     */
    public OptionalLong drainIfDue(long ownTokens, long nowNanos) {
        return mReport.drainIfDue(ownTokens, nowNanos);
    }

    /** Applies the tokens of all other entries that the loader reported. */
    public void onReport(long tokens) {
        mOthersTokens = OptionalLong.of(bounded(tokens));
    }

    /** Discards what is known, as after the loss of the connection or a restart of the target. */
    public void reset() {
        mOthersTokens = OptionalLong.empty();
        mReport.reset();
    }

    /** Returns the tokens of all other entries, empty if they are not known. */
    public OptionalLong othersTokens() {
        return mOthersTokens;
    }
}
