package ebonygw.routing;

import java.util.ArrayList;
import java.util.List;

/** The targets that serve one model or plain service. Not thread-safe. */
final class TargetPool {
    /** Maximum candidates of one adapter version. */
    static final int MAX_CANDIDATES = 8;

    final List<TargetState> mTargets = new ArrayList<>();
    final List<TargetState> mLocal = new ArrayList<>();
    final List<TargetState> mRemote = new ArrayList<>();

    /** Smoothed duration of a request. */
    double mServiceNanos;

    /** Smoothed request rate, per second, of the least requested resident adapters. */
    double mMarginalRate;

    private int mCursor;

    TargetPool(double serviceNanos) {
        mServiceNanos = serviceNanos;
    }

    void add(TargetState target) {
        mTargets.add(target);
        (target.mSameRegion ? mLocal : mRemote).add(target);
    }

    /**
     * Recomputes the candidates of an adapter version by rendezvous hashing: the targets with the
     * highest scores, highest first, and the one with the highest score in this region.
     */
    void rankCandidates(AdapterDemand demand) {
        TargetState[] best = new TargetState[Math.min(MAX_CANDIDATES, mTargets.size())];
        long[] scores = new long[best.length];
        int filled = 0;
        TargetState local = null;
        long localScore = Long.MIN_VALUE;
        for (TargetState target : mTargets) {
            long score = score(demand.mHash, target.mHash);
            if (target.mSameRegion && (local == null || score > localScore)) {
                local = target;
                localScore = score;
            }
            if (filled < best.length || score > scores[filled - 1]) {
                int at = filled < best.length ? filled++ : filled - 1;
                while (at > 0 && scores[at - 1] < score) {
                    scores[at] = scores[at - 1];
                    best[at] = best[at - 1];
                    at--;
                }
                scores[at] = score;
                best[at] = target;
            }
        }
        demand.mCandidates = best;
        demand.mLocalPreferred = local;
        demand.mCandidatesStale = false;
    }

    void remove(TargetState target) {
        mTargets.remove(target);
        mLocal.remove(target);
        mRemote.remove(target);
    }

    /** Returns the next start position for sampling a pool that is too large to scan. */
    int nextCursor() {
        mCursor = (mCursor + 1) & 0x3fffffff;
        return mCursor;
    }

    void onLatency(long nanos) {
        mServiceNanos += 0.02 * (nanos - mServiceNanos);
    }

    private static long score(long adapterHash, long targetHash) {
        long mixed = (adapterHash ^ targetHash) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 29);
    }
}
