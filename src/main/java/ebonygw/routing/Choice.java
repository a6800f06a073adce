package ebonygw.routing;

import ebonygw.protocol.NodeId;
import ebonygw.request.Work;
import java.util.Set;

/** One choice of a target while it is being made. */
final class Choice {
    final Work mWork;
    final Set<String> mRegions;
    final Set<NodeId> mExcluded;
    final long mDeadlineNanos;
    final long mNowNanos;
    TargetState mPrefixTarget;
    boolean mLastResort;
    TargetState mBest;
    double mBestCost = Double.POSITIVE_INFINITY;

    Choice(
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
