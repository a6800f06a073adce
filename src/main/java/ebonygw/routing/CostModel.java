package ebonygw.routing;

import ebonygw.request.Work;
import java.util.List;

/** What it costs in time to run work at a target. Not thread-safe. */
final class CostModel {
    private static final int WINDOW = 16;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int BYTES_PER_KIBIBYTE = 1024;
    private static final double SPREAD = 0.1;

    private final RouterOptions mOptions;

    CostModel(RouterOptions options) {
        mOptions = options;
    }

    /**
     * Takes a target into consideration.
     *
     * @param loadNanos cost of the adapter's not being resident there
     * @return whether the target can take the work
     */
    boolean consider(Choice choice, TargetPool pool, TargetState target, double loadNanos) {
        if (!isUsable(choice, target)) {
            return false;
        }
        double cost = loadNanos + waitNanos(pool, target, choice.mNowNanos);
        cost += target.mSameRegion ? target.mRoundTripNanos : regionNanos(choice.mWork);
        if (choice.mNowNanos + cost - loadNanos > choice.mDeadlineNanos) {
            cost += mOptions.stallNanos();
        }
        if (choice.mPrefixTarget == target) {
            cost -= (double) choice.mWork.promptTokens() * mOptions.prefillNanosPerToken();
        }
        if (cost < choice.mBestCost) {
            choice.mBest = target;
            choice.mBestCost = cost;
        }
        return true;
    }

    /** Considers some of many targets, others each time. */
    void considerWindow(Choice choice, TargetPool pool, List<TargetState> targets) {
        int size = targets.size();
        int first = size <= WINDOW ? 0 : pool.nextCursor() % size;
        int usable = 0;
        for (int i = 0; i < size && usable < WINDOW; i++) {
            if (consider(choice, pool, targets.get((first + i) % size), 0)) {
                usable++;
            }
        }
    }

    /** Returns what it costs to leave the region: round trip and billed traffic. */
    double regionNanos(Work work) {
        double bytes = (double) work.charge() * BYTES_PER_TOKEN;
        return mOptions.regionRoundTripNanos()
                + bytes / BYTES_PER_KIBIBYTE * mOptions.billedNanosPerKibibyte();
    }

    private static boolean isUsable(Choice choice, TargetState target) {
        if (!choice.mExcluded.isEmpty() && choice.mExcluded.contains(target.mId)) {
            return false;
        }
        if (!choice.mRegions.isEmpty()
                && !choice.mRegions.contains(target.mMember.locality().region())) {
            return false;
        }
        if (choice.mLastResort) {
            return target.isLastResort();
        }
        return target.isLive()
                && !target.mHealth.isEjected(choice.mNowNanos)
                && !target.isBusy(choice.mNowNanos);
    }

    private double waitNanos(TargetPool pool, TargetState target, long nowNanos) {
        int load = target.load();
        double room = Math.max(1, target.concurrency() * target.mHealth.use(nowNanos));
        double over = Math.max(0, (load + 1 - room) / room);
        return pool.mServiceNanos * (over + SPREAD * Math.min(1, load / room));
    }
}
