package ebonygw.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Which adapters an entry's requests wait for and use at one target, and when its loader is told.
 *
 * <p>A loader is told at once when an adapter comes into use or falls out of it, as a place must
 * neither be taken from a request that is on its way nor stay idle while others wait for one. Not
 * thread-safe.
 */
final class TargetNeeds {
    /** Least time between two messages; a few ticks of the control thread. */
    private static final long CHANGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Time between two messages that tell only of further requests for adapters in use. */
    private static final long USE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Map<String, Need> mNeeds = new HashMap<>();
    private boolean mChanged;
    private boolean mSent;
    private long mToldNanos;

    /**
     * Returns the needs if the loader is to be told of them now, and counts them as told.
     *
     * @return all needs, which replace those told before; empty if nothing is to be told
     */
    Optional<List<GatewayMessage.AdapterNeed>> due(long nowNanos) {
        long since = nowNanos - mToldNanos;
        boolean due =
                mChanged && since >= CHANGE_INTERVAL_NANOS || mSent && since >= USE_INTERVAL_NANOS;
        if (!due) {
            return Optional.empty();
        }
        mChanged = false;
        mSent = false;
        mToldNanos = nowNanos;
        List<GatewayMessage.AdapterNeed> needs = new ArrayList<>();
        mNeeds.forEach(
                (adapter, need) -> {
                    needs.add(
                            new GatewayMessage.AdapterNeed(
                                    adapter,
                                    need.mVersion,
                                    need.mWaiting,
                                    need.mPunctual,
                                    need.mRunning,
                                    need.mSent));
                    need.mSent = 0;
                });
        mNeeds.values().removeIf(need -> need.mWaiting == 0 && need.mRunning == 0);
        return Optional.of(needs);
    }

    /** Notes that a request that was sent has ended. */
    void ended(String adapter) {
        Need need = mNeeds.get(adapter);
        if (need != null && need.mRunning > 0) {
            need.mRunning--;
            mChanged |= need.mRunning == 0;
        }
    }

    /** Returns whether a request waits for an adapter. */
    boolean isAwaited(String adapter) {
        Need need = mNeeds.get(adapter);
        return need != null && need.mWaiting > 0;
    }

    /** Notes that a waiting request can no more start within its latency objective. */
    void late(String adapter) {
        Need need = mNeeds.get(adapter);
        if (need != null && need.mPunctual > 0) {
            need.mPunctual--;
            mChanged = true;
        }
    }

    /** Notes that a request has been sent. */
    void sent(String adapter) {
        Need need = mNeeds.computeIfAbsent(adapter, a -> new Need());
        mChanged |= need.mRunning == 0;
        need.mRunning++;
        need.mSent++;
        mSent = true;
    }

    /** Lets all needs be told again, to a loader that may not know them. */
    void tellAgain() {
        mChanged = true;
    }

    /**
     * Notes that a request waits for an adapter.
     *
     * @param version least version that it may run on, 0 for any
     * @param punctual whether it can still start within its latency objective
     */
    void waiting(String adapter, long version, boolean punctual) {
        Need need = mNeeds.computeIfAbsent(adapter, a -> new Need());
        need.mWaiting++;
        need.mPunctual += punctual ? 1 : 0;
        need.mVersion = Math.max(need.mVersion, version);
        mChanged = true;
    }

    /**
     * Notes that a request waits no more.
     *
     * @param punctual whether it could still have started within its latency objective
     */
    void waitingEnded(String adapter, boolean punctual) {
        Need need = mNeeds.get(adapter);
        if (need != null && need.mWaiting > 0) {
            need.mWaiting--;
            need.mPunctual -= punctual && need.mPunctual > 0 ? 1 : 0;
            mChanged = true;
        }
    }

    private static final class Need {
        private long mVersion;
        private int mWaiting;
        private int mPunctual;
        private int mRunning;
        private int mSent;
    }
}
