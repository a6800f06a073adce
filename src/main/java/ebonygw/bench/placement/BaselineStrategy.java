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
 * A simple placement: some choice of the replica, and at each a queue in the order of arrival that
 * passes over work whose adapter is absent, with the least recently used adapter evicted.
 *
 * <p>Calls of the plain service are answered at once; only model requests are compared.
 */
final class BaselineStrategy implements PlacementStrategy {
    private final Fleet mFleet;
    private final ToIntFunction<Request> mChoice;
    private final List<LruTarget> mTargets = new ArrayList<>();
    private final int[] mOutstanding;

    BaselineStrategy(Fleet fleet, ToIntFunction<Request> choice) {
        mFleet = fleet;
        mChoice = choice;
        mOutstanding = new int[fleet.mScenario.replicas()];
        for (int i = 0; i < mOutstanding.length; i++) {
            mTargets.add(new LruTarget(i));
        }
    }

    /** Chooses the replica with the fewest requests of all, known without any lag. */
    static BaselineStrategy leastOutstanding(Fleet fleet) {
        int[] holder = new int[1];
        BaselineStrategy[] self = new BaselineStrategy[1];
        self[0] =
                new BaselineStrategy(
                        fleet,
                        request -> {
                            int[] outstanding = self[0].mOutstanding;
                            int best = holder[0]++ % outstanding.length;
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
            mFleet.end(request, true);
            return;
        }
        int target = mChoice.applyAsInt(request);
        mOutstanding[target]++;
        mFleet.sendRun(request, target);
        long link = mFleet.linkNanos(request.mArrival.region(), target);
        mFleet.mLoop.after(link, () -> mTargets.get(target).offer(request));
    }

    private void end(Request request, int target, boolean answered) {
        mOutstanding[target]--;
        if (answered) {
            mFleet.sendAnswer(request, target);
        }
        long link = mFleet.linkNanos(request.mArrival.region(), target);
        mFleet.mLoop.after(link, () -> mFleet.end(request, answered));
    }

    /** A replica with a queue in the order of arrival and least-recently-used eviction. */
    private final class LruTarget {
        private final int mTarget;
        private final Deque<Request> mQueue = new ArrayDeque<>();
        private final Map<AdapterVersion, Integer> mUses = new LinkedHashMap<>(16, 0.75f, true);
        private final Set<AdapterVersion> mLoading = new HashSet<>();
        private int mRunning;

        LruTarget(int target) {
            mTarget = target;
        }

        void offer(Request request) {
            mFleet.queue(mTarget, request);
            mQueue.add(request);
            long left = request.mArrival.atNanos() + Fleet.TIMEOUT_NANOS - mFleet.mLoop.nowNanos();
            mFleet.mLoop.after(left, () -> expire(request));
            pump();
        }

        private void evictFor(AdapterVersion adapter) {
            if (mLoading.contains(adapter)) {
                return;
            }
            if (mUses.size() + mLoading.size() >= mFleet.mScenario.slots()) {
                AdapterVersion victim = null;
                for (Map.Entry<AdapterVersion, Integer> use : mUses.entrySet()) {
                    if (use.getValue() == 0) {
                        victim = use.getKey();
                        break;
                    }
                }
                if (victim == null) {
                    return;
                }
                mUses.remove(victim);
                mFleet.unload(mTarget, victim, () -> {});
            }
            mLoading.add(adapter);
            mFleet.loadWhenAllowed(
                    mTarget,
                    adapter,
                    () -> mQueue.stream().anyMatch(r -> r.mAdapter.equals(adapter)),
                    loaded -> {
                        mLoading.remove(adapter);
                        if (loaded) {
                            mUses.put(adapter, 0);
                        }
                        pump();
                    });
        }

        private void expire(Request request) {
            if (mQueue.remove(request)) {
                mFleet.mMeter.onLeftQueue(mTarget, request);
                end(request, mTarget, false);
            }
        }

        private void pump() {
            Iterator<Request> queue = mQueue.iterator();
            while (queue.hasNext()) {
                Request request = queue.next();
                if (mUses.get(request.mAdapter) == null) {
                    evictFor(request.mAdapter);
                } else if (mRunning < mFleet.mScenario.maxBatch()) {
                    queue.remove();
                    start(request);
                }
            }
        }

        private void start(Request request) {
            mRunning++;
            mUses.merge(request.mAdapter, 1, Integer::sum);
            mFleet.run(
                    mTarget,
                    request,
                    request.mWork,
                    tokens -> {
                        mRunning--;
                        mUses.computeIfPresent(request.mAdapter, (a, n) -> n - 1);
                        end(request, mTarget, tokens >= 0);
                        pump();
                    });
        }
    }
}
