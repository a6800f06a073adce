package ebonygw.bench.placement;

import ebonygw.request.AdapterVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A model engine: slots, a batch that slows down as it fills, and a cache of prefixes. */
final class FakeEngine {
    private static final long PREFILL_NANOS_PER_TOKEN = 200_000L;
    private static final long STEP_NANOS = 20_000_000L;
    private static final double SLOWER_PER_REQUEST = 0.03;
    private static final int CACHED_PREFIXES = 64;

    private final int mSlots;
    private final int mMaxBatch;
    private final Set<AdapterVersion> mResident = new LinkedHashSet<>();
    private final Map<AdapterVersion, Integer> mRunningOn = new HashMap<>();
    private final Map<Long, Boolean> mPrefixes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > CACHED_PREFIXES;
                }
            };
    private long mStartedAtNanos;
    private int mRunning;

    FakeEngine(int slots, int maxBatch) {
        mSlots = slots;
        mMaxBatch = maxBatch;
    }

    /** Ends a request; ends of requests from before a restart must not be told. */
    void end(AdapterVersion adapter) {
        mRunning--;
        if (adapter != null) {
            mRunningOn.merge(adapter, -1, Integer::sum);
        }
    }

    boolean isResident(AdapterVersion adapter) {
        return mResident.contains(adapter);
    }

    /** Puts a version into a slot and returns whether there was one. */
    boolean load(AdapterVersion adapter) {
        return mResident.size() < mSlots && mResident.add(adapter);
    }

    int maxBatch() {
        return mMaxBatch;
    }

    List<AdapterVersion> resident() {
        return new ArrayList<>(mResident);
    }

    void restart(long nowNanos) {
        mResident.clear();
        mRunningOn.clear();
        mPrefixes.clear();
        mRunning = 0;
        mStartedAtNanos = nowNanos;
    }

    int running() {
        return mRunning;
    }

    int runningOn(AdapterVersion adapter) {
        return mRunningOn.getOrDefault(adapter, 0);
    }

    int slots() {
        return mSlots;
    }

    /** Starts a request and returns how long it takes. */
    long start(AdapterVersion adapter, Arrival arrival) {
        mRunning++;
        if (adapter == null) {
            return STEP_NANOS;
        }
        mRunningOn.merge(adapter, 1, Integer::sum);
        boolean cached = mPrefixes.put(arrival.prefixHash(), true) != null;
        long prefill = cached ? 0 : arrival.promptTokens() * PREFILL_NANOS_PER_TOKEN;
        double slower = 1 + SLOWER_PER_REQUEST * mRunning;
        slower *= Math.max(1, (double) mRunning / mMaxBatch);
        return prefill + (long) (arrival.answerTokens() * STEP_NANOS * slower);
    }

    long startedAtNanos() {
        return mStartedAtNanos;
    }

    void unload(AdapterVersion adapter) {
        mResident.remove(adapter);
    }
}
