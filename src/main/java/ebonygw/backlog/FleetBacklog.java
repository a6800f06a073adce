package ebonygw.backlog;

import ebonygw.protocol.NodeId;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ObjLongConsumer;

/**
 * Sums up the prompt tokens that entries report as waiting for prefill at one target, and tells
 * each of these entries the sum of the others.
 *
 * <p>An entry that has not reported any, because it does not use this information, gets no
 * messages. Holds one number for each connected entry. Not thread-safe.
 */
public final class FleetBacklog {
    private final Map<NodeId, Reporter> mReporters = new TreeMap<>();
    private long mTotalTokens;
    private long mInvalidReports;

    /**
     * Applies the tokens of an entry, which replace those that it reported before. A number out of
     * bounds is counted and replaced by the nearest bound.
     *
     * @return whether this is the first number out of bounds since the entry connected
     */
    public boolean onReport(NodeId entry, long tokens) {
        Reporter reporter = mReporters.computeIfAbsent(entry, e -> new Reporter());
        long bounded = TargetBacklog.bounded(tokens);
        mTotalTokens += bounded - reporter.mTokens;
        reporter.mTokens = bounded;
        if (bounded == tokens) {
            return false;
        }
        mInvalidReports++;
        boolean first = !reporter.mInvalid;
        reporter.mInvalid = true;
        return first;
    }

    /** Discards the tokens of an entry whose connection is lost. */
    public void onDisconnected(NodeId entry) {
        Reporter removed = mReporters.remove(entry);
        mTotalTokens -= removed == null ? 0 : removed.mTokens;
    }

    /**
     * Sends the reports that are due.
     *
     * @param out receives each entry with the tokens of all others
     */
    public void sendDue(long nowNanos, ObjLongConsumer<NodeId> out) {
        mReporters.forEach(
                (entry, reporter) ->
                        reporter.mReport
                                .drainIfDue(mTotalTokens - reporter.mTokens, nowNanos)
                                .ifPresent(tokens -> out.accept(entry, tokens)));
    }

    /** Returns the number of reports that were out of bounds. */
    public long invalidReports() {
        return mInvalidReports;
    }

    /** Returns the tokens of all entries, for diagnostics. */
    public long totalTokens() {
        return mTotalTokens;
    }

    private static final class Reporter {
        private final BacklogReport mReport = new BacklogReport();
        private long mTokens;
        private boolean mInvalid;
    }
}
