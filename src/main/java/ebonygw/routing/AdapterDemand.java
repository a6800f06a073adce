package ebonygw.routing;

import ebonygw.request.AdapterVersion;
import ebonygw.scheduling.DecayedRate;
import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/** What an entry knows of one adapter version: popularity, home candidates, holders. */
final class AdapterDemand {
    final AdapterVersion mAdapter;
    final long mHash;
    final DecayedRate mRate;
    final List<TargetState> mHolders = new ArrayList<>(4);
    final List<TargetState> mLoaders = new ArrayList<>(2);
    final List<ExpectedLoad> mExpected = new ArrayList<>(2);
    TargetState[] mCandidates = new TargetState[0];
    TargetState mLocalHome;
    boolean mStale = true;

    AdapterDemand(AdapterVersion adapter, long halfLifeNanos) {
        mAdapter = adapter;
        mHash =
                LongHashFunction.xx(LongHashFunction.xx().hashChars(adapter.adapter()))
                        .hashChars(adapter.version());
        mRate = new DecayedRate(halfLifeNanos);
    }

    void expect(TargetState target, long untilNanos) {
        for (ExpectedLoad load : mExpected) {
            if (load.mTarget == target) {
                load.mUntilNanos = untilNanos;
                return;
            }
        }
        mExpected.add(new ExpectedLoad(target, untilNanos));
    }

    boolean isExpected(TargetState target, long nowNanos) {
        for (int i = 0; i < mExpected.size(); i++) {
            ExpectedLoad load = mExpected.get(i);
            if (load.mTarget == target) {
                return nowNanos < load.mUntilNanos;
            }
        }
        return false;
    }

    void forget(TargetState target) {
        mHolders.remove(target);
        mLoaders.remove(target);
        mExpected.removeIf(load -> load.mTarget == target);
    }

    /** A load that our own work set off, before the target's report says so. */
    static final class ExpectedLoad {
        final TargetState mTarget;
        long mUntilNanos;

        ExpectedLoad(TargetState target, long untilNanos) {
            mTarget = target;
            mUntilNanos = untilNanos;
        }
    }
}
