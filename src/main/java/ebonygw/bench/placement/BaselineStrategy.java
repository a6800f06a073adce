package ebonygw.bench.placement;

import ebonygw.request.AdapterVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * A simple placement to compare with. A given function chooses the replica of each request. Each
 * replica starts its queued requests in order of arrival, skips those whose adapter is not loaded,
 * and evicts the least recently used adapter to load another.
 *
 * <p>Requests to a plain service complete at once, since only model requests are compared.
 */
final class BaselineStrategy implements PlacementStrategy {
    private final Fleet mFleet;
    private final ToIntFunction<Request> mReplicaChooser;
    private final List<LruTarget> mTargets = new ArrayList<>();
    private final int[] mOutstanding;

    BaselineStrategy(Fleet fleet, ToIntFunction<Request> replicaChooser) {
        mFleet = fleet;
        mReplicaChooser = replicaChooser;
        mOutstanding = new int[fleet.mScenario.replicas()];
        for (int i = 0; i < mOutstanding.length; i++) {
            mTargets.add(new LruTarget(i));
        }
    }

    /**
     * Creates a strategy that chooses the replica with the fewest outstanding requests of all
     * entries, known without delay. Of equally loaded replicas, it prefers a different one each
     * time.
     */
    static BaselineStrategy leastOutstanding(Fleet fleet) {
        int[] nextPreferred = new int[1];
        BaselineStrategy[] self = new BaselineStrategy[1];
        self[0] =
                new BaselineStrategy(
                        fleet,
                        request -> {
                            int[] outstanding = self[0].mOutstanding;
                            int best = nextPreferred[0]++ % outstanding.length;
                            for (int i = 0; i < outstanding.length; i++) {
                                best = outstanding[i] < outstanding[best] ? i : best;
                            }
                            return best;
                        });
        return self[0];
    }

    @Override
    public void onArrival(Request request) {
        if (request.mAdapter == null) {
            mFleet.complete(request, true);
            return;
        }
        int target = mReplicaChooser.applyAsInt(request);
        mOutstanding[target]++;
        mFleet.recordRequestSent(request, target);
        long latency = mFleet.networkLatencyNanos(request.mArrival.region(), target);
        mFleet.mLoop.scheduleAfter(latency, () -> mTargets.get(target).enqueue(request));
    }

    private void complete(Request request, int target, boolean succeeded) {
        mOutstanding[target]--;
        if (succeeded) {
            mFleet.recordResponseSent(request, target);
        }
        long latency = mFleet.networkLatencyNanos(request.mArrival.region(), target);
        mFleet.mLoop.scheduleAfter(latency, () -> mFleet.complete(request, succeeded));
    }

    /** The queue and the adapter slots of one replica. */
    private final class LruTarget {
        private final int mTarget;
        private final Deque<Request> mQueue = new ArrayDeque<>();

        /** Number of running requests of each loaded adapter, least recently used adapter first. */
        private final Map<AdapterVersion, Integer> mRunningByAdapter =
                new LinkedHashMap<>(16, 0.75f, true);

        private final Set<AdapterVersion> mLoading = new HashSet<>();
        private int mRunningCount;

        LruTarget(int target) {
            mTarget = target;
        }

        void enqueue(Request request) {
            mFleet.recordQueued(mTarget, request);
            mQueue.add(request);
            long remaining =
                    request.mArrival.atNanos() + Fleet.TIMEOUT_NANOS - mFleet.mLoop.nowNanos();
            mFleet.mLoop.scheduleAfter(remaining, () -> expire(request));
            processQueue();
        }

        /**
         * Starts to load an adapter unless it is loading already. If all slots are taken, evicts
         * the least recently used adapter without running requests; if there is none, does nothing.
         */
        private void ensureLoading(AdapterVersion adapter) {
            if (mLoading.contains(adapter)) {
                return;
            }
            if (mRunningByAdapter.size() + mLoading.size() >= mFleet.mScenario.slots()) {
                AdapterVersion victim = null;
                for (Map.Entry<AdapterVersion, Integer> running : mRunningByAdapter.entrySet()) {
                    if (running.getValue() == 0) {
                        victim = running.getKey();
                        break;
                    }
                }
                if (victim == null) {
                    return;
                }
                mRunningByAdapter.remove(victim);
                mFleet.unload(mTarget, victim, () -> {});
            }
            mLoading.add(adapter);
            mFleet.loadWhenPermitted(
                    mTarget,
                    adapter,
                    () -> mQueue.stream().anyMatch(r -> r.mAdapter.equals(adapter)),
                    loaded -> {
                        mLoading.remove(adapter);
                        if (loaded) {
                            mRunningByAdapter.put(adapter, 0);
                        }
                        processQueue();
                    });
        }

        private void expire(Request request) {
            if (mQueue.remove(request)) {
                mFleet.mMeter.onLeftQueue(mTarget, request);
                complete(request, mTarget, false);
            }
        }

        /** Starts queued requests whose adapter is loaded, and the loads that the others need. */
        private void processQueue() {
            Iterator<Request> queue = mQueue.iterator();
            while (queue.hasNext()) {
                Request request = queue.next();
                if (mRunningByAdapter.get(request.mAdapter) == null) {
                    ensureLoading(request.mAdapter);
                } else if (mRunningCount < mFleet.mScenario.maxBatch()) {
                    queue.remove();
                    start(request);
                }
            }
        }

        private void start(Request request) {
            mRunningCount++;
            mRunningByAdapter.merge(request.mAdapter, 1, Integer::sum);
            mFleet.run(
                    mTarget,
                    request,
                    request.mWork,
                    tokens -> {
                        mRunningCount--;
                        mRunningByAdapter.computeIfPresent(request.mAdapter, (a, n) -> n - 1);
                        complete(request, mTarget, tokens >= 0);
                        processQueue();
                    });
        }
    }
}
