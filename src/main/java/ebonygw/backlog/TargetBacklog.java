package ebonygw.backlog;

import java.util.OptionalLong;

/**
 * What an entry knows of the prompt tokens of other entries that wait for prefill at one target,
 * and when it tells the target's loader its own.
 *
 * <p>Known only while the loader is connected and has reported. Not thread-safe.
 */
public final class TargetBacklog {
    private final BacklogReport mReport = new BacklogReport();
    private OptionalLong mOthersTokens = OptionalLong.empty();

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
        mOthersTokens = OptionalLong.of(Math.max(0, tokens));
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
