package ebonygw.routing;

import ebonygw.protocol.NodeId;
import ebonygw.request.Work;
import java.util.Set;

/** Inputs and best result so far of one search for a target. Not thread-safe. */
final class TargetSelection {
    final Work mWork;

    /** Allowed regions; empty allows all. */
    final Set<String> mRegions;

    final Set<NodeId> mExcluded;
    final long mDeadlineNanos;
    final long mNowNanos;

    /** The target that last received the prompt's prefix, null if unknown. */
    TargetState mPrefixTarget;

    /** Whether suspected, ejected and busy targets are accepted too. */
    boolean mFallback;

    TargetState mBest;
    double mBestCost = Double.POSITIVE_INFINITY;

    TargetSelection(
            Work work,
            Set<String> regions,
            Set<NodeId> excluded,
            long deadlineNanos,
            long nowNanos) {
        mWork = work;
        mRegions = regions;
        mExcluded = excluded;
        mDeadlineNanos = deadlineNanos;
        mNowNanos = nowNanos;
    }
}
