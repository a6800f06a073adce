package ebonygw.routing;

import ebonygw.request.AdapterVersion;
import ebonygw.scheduling.DecayedRate;
import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * What an entry knows of one adapter version: its request rate, its candidate targets and the
 * targets that hold or load it. Not thread-safe.
 */
final class AdapterDemand {
    final AdapterVersion mAdapter;
    final long mHash;
    final DecayedRate mRate;

    /** Targets that report the version as resident. */
    final List<TargetState> mHolders = new ArrayList<>(4);

    /** Targets that report the version as loading. */
    final List<TargetState> mLoadingTargets = new ArrayList<>(2);

    final List<ExpectedLoad> mExpectedLoads = new ArrayList<>(2);

    /** The targets with the highest rendezvous hashes for the version, highest first. */
    TargetState[] mCandidates = new TargetState[0];

    /** The target of this region with the highest rendezvous hash, null if there is none. */
    TargetState mLocalPreferred;

    boolean mCandidatesStale = true;

    AdapterDemand(AdapterVersion adapter, long halfLifeNanos) {
        mAdapter = adapter;
        mHash =
                LongHashFunction.xx(LongHashFunction.xx().hashChars(adapter.adapter()))
                        .hashChars(adapter.version());
        mRate = new DecayedRate(halfLifeNanos);
    }

    void expectLoad(TargetState target, long expiresNanos) {
        for (ExpectedLoad load : mExpectedLoads) {
            if (load.mTarget == target) {
                load.mExpiresNanos = expiresNanos;
                return;
            }
        }
        mExpectedLoads.add(new ExpectedLoad(target, expiresNanos));
    }

    boolean isLoadExpected(TargetState target, long nowNanos) {
        for (int i = 0; i < mExpectedLoads.size(); i++) {
            ExpectedLoad load = mExpectedLoads.get(i);
            if (load.mTarget == target) {
                return nowNanos < load.mExpiresNanos;
            }
        }
        return false;
    }

    void removeTarget(TargetState target) {
        mHolders.remove(target);
        mLoadingTargets.remove(target);
        mExpectedLoads.removeIf(load -> load.mTarget == target);
    }

    /** A load that an attempt of this entry causes and the target has not reported yet. */
    static final class ExpectedLoad {
        final TargetState mTarget;
        long mExpiresNanos;

        ExpectedLoad(TargetState target, long expiresNanos) {
            mTarget = target;
            mExpiresNanos = expiresNanos;
        }
    }
}
