package ebonygw.bench.placement;

import ebonygw.request.AdapterVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A simulated model engine with adapter slots, a batch that slows down as it fills, and an LRU
 * cache of prompt prefixes. Also stands in for a plain service, with no slots.
 */
final class FakeEngine {
    private static final long PREFILL_NANOS_PER_TOKEN = 200_000L;

    /** Time to generate a token at an idle engine; also the duration of a plain service request. */
    private static final long DECODE_STEP_NANOS = 20_000_000L;

    /** Relative increase of the time per token with each running request. */
    private static final double SLOWDOWN_PER_REQUEST = 0.03;

    private static final int MAX_CACHED_PREFIXES = 64;

    private final int mSlots;
    private final int mMaxBatch;
    private final Set<AdapterVersion> mResident = new LinkedHashSet<>();
    private final Map<AdapterVersion, Integer> mRunningByAdapter = new HashMap<>();
    private final Map<Long, Boolean> mCachedPrefixes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MAX_CACHED_PREFIXES;
                }
            };
    private long mStartedAtNanos;
    private int mRunning;

    FakeEngine(int slots, int maxBatch) {
        mSlots = slots;
        mMaxBatch = maxBatch;
    }

    /** Ends a running request. Must not be called for requests that were lost in a restart. */
    void end(AdapterVersion adapter) {
        mRunning--;
        if (adapter != null) {
            mRunningByAdapter.merge(adapter, -1, Integer::sum);
        }
    }

    boolean isResident(AdapterVersion adapter) {
        return mResident.contains(adapter);
    }

    /** Loads a version and returns true, or returns false if no slot is free or it is loaded. */
    boolean load(AdapterVersion adapter) {
        return mResident.size() < mSlots && mResident.add(adapter);
    }

    int maxBatch() {
        return mMaxBatch;
    }

    List<AdapterVersion> resident() {
        return new ArrayList<>(mResident);
    }

    /** Restarts the engine, which loses its adapters, running requests and cached prefixes. */
    void restart(long nowNanos) {
        mResident.clear();
        mRunningByAdapter.clear();
        mCachedPrefixes.clear();
        mRunning = 0;
        mStartedAtNanos = nowNanos;
    }

    int running() {
        return mRunning;
    }

    int runningOn(AdapterVersion adapter) {
        return mRunningByAdapter.getOrDefault(adapter, 0);
    }

    int slots() {
        return mSlots;
    }

    /**
     * Starts a request and returns its duration in nanoseconds, which depends on the number of
     * running requests at its start.
     *
     * @param adapter the version to run on; null for a request to a plain service
     */
    long start(AdapterVersion adapter, Arrival arrival) {
        mRunning++;
        if (adapter == null) {
            return DECODE_STEP_NANOS;
        }
        mRunningByAdapter.merge(adapter, 1, Integer::sum);
        boolean cached = mCachedPrefixes.put(arrival.prefixHash(), true) != null;
        long prefill = cached ? 0 : arrival.promptTokens() * PREFILL_NANOS_PER_TOKEN;
        double slowdown = 1 + SLOWDOWN_PER_REQUEST * mRunning;
        // Beyond the maximum batch, requests share the engine.
        slowdown *= Math.max(1, (double) mRunning / mMaxBatch);
        return prefill + (long) (arrival.responseTokens() * DECODE_STEP_NANOS * slowdown);
    }

    long startedAtNanos() {
        return mStartedAtNanos;
    }

    void unload(AdapterVersion adapter) {
        mResident.remove(adapter);
    }
}
