package ebonygw.routing;

import ebonygw.request.Work;
import java.util.List;

/**
 * Estimates the cost, in nanoseconds, of running work at a target, and keeps the cheapest target of
 * a selection. Not thread-safe.
 */
final class CostModel {
    /** Maximum usable targets compared in one pass over a pool. */
    private static final int SAMPLE_SIZE = 16;

    private static final int BYTES_PER_TOKEN = 4;
    private static final int BYTES_PER_KIBIBYTE = 1024;

    /** Weight of a target's load below its concurrency, to spread work over idle targets. */
    private static final double UTILISATION_WEIGHT = 0.1;

    private final RouterOptions mOptions;

    CostModel(RouterOptions options) {
        mOptions = options;
    }

    /** Returns the cost of sending work to another region: round trip and billed traffic. */
    double crossRegionNanos(Work work) {
        double bytes = (double) work.charge() * BYTES_PER_TOKEN;
        return mOptions.crossRegionRoundTripNanos()
                + bytes / BYTES_PER_KIBIBYTE * mOptions.crossRegionNanosPerKibibyte();
    }

    /**
     * Computes the cost of a target and records the target if it is the cheapest so far.
     *
     * <p>A target that would miss the deadline costs the load penalty on top, and one that holds
     * the prompt's prefix in its cache costs the saved prefill time less.
     *
     * @param loadNanos cost of loading the adapter there, 0 if it is resident
     * @return whether the target can take the work
     */
    boolean evaluate(
            TargetSelection selection, TargetPool pool, TargetState target, double loadNanos) {
        if (!isUsable(selection, target)) {
            return false;
        }
        double cost = loadNanos + waitNanos(pool, target, selection.mNowNanos);
        cost += target.mSameRegion ? target.mRoundTripNanos : crossRegionNanos(selection.mWork);
        if (selection.mNowNanos + cost - loadNanos > selection.mDeadlineNanos) {
            cost += mOptions.loadPenaltyNanos();
        }
        if (selection.mPrefixTarget == target) {
            cost -= (double) selection.mWork.promptTokens() * mOptions.prefillNanosPerToken();
        }
        if (cost < selection.mBestCost) {
            selection.mBest = target;
            selection.mBestCost = cost;
        }
        return true;
    }

    /**
     * Evaluates up to {@link #SAMPLE_SIZE} usable targets. In a larger pool, each call starts at
     * another target, so that the load spreads over the pool.
     */
    void evaluateSample(TargetSelection selection, TargetPool pool, List<TargetState> targets) {
        int size = targets.size();
        int first = size <= SAMPLE_SIZE ? 0 : pool.nextCursor() % size;
        int usable = 0;
        for (int i = 0; i < size && usable < SAMPLE_SIZE; i++) {
            if (evaluate(selection, pool, targets.get((first + i) % size), 0)) {
                usable++;
            }
        }
    }

    private static boolean isUsable(TargetSelection selection, TargetState target) {
        if (!selection.mExcluded.isEmpty() && selection.mExcluded.contains(target.mId)) {
            return false;
        }
        if (!selection.mRegions.isEmpty()
                && !selection.mRegions.contains(target.mMember.locality().region())) {
            return false;
        }
        if (selection.mFallback) {
            return target.isUsableAsFallback();
        }
        return target.isLive()
                && !target.mHealth.isEjected(selection.mNowNanos)
                && !target.isBusy(selection.mNowNanos);
    }

    private double waitNanos(TargetPool pool, TargetState target, long nowNanos) {
        int load = target.load();
        double capacity =
                Math.max(1, target.concurrency() * target.mHealth.capacityFraction(nowNanos));
        double excess = Math.max(0, (load + 1 - capacity) / capacity);
        return pool.mServiceNanos * (excess + UTILISATION_WEIGHT * Math.min(1, load / capacity));
    }
}
