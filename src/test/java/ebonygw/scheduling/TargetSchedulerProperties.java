package ebonygw.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.WorkFixtures;
import ebonygw.request.AdapterVersion;
import ebonygw.request.RequestId;
import ebonygw.request.Work;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class TargetSchedulerProperties {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1000 * MILLISECOND;

    /**
     * For any order of events, each work item ends exactly once, and the version that it runs on
     * stays resident while it runs.
     */
    @Property(tries = 150, seed = "7")
    void noWorkIsLostAndNoVersionInUseIsEvicted(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int slots) {
        SimulatedEngine engine = new SimulatedEngine(seed, slots);
        for (int step = 0; step < 400; step++) {
            engine.step(true);
        }
        for (int step = 0; step < 4000 && !engine.mScheduler.isIdle(); step++) {
            engine.step(false);
        }
        assertThat(engine.mOpen).isEmpty();
        assertThat(engine.mScheduler.isIdle()).isTrue();
    }

    /**
     * Customers with a permanent backlog are served tokens in proportion to their weights, within
     * the size of one request each.
     */
    @Property(tries = 60, seed = "8")
    void waitingCustomersAreServedByWeight(
            @ForAll @DoubleRange(min = 0.2, max = 5) double weight, @ForAll long seed) {
        TargetScheduler scheduler = new TargetScheduler(SchedulerOptions.defaults());
        AdapterVersion adapter = new AdapterVersion("a", "1");
        scheduler.onEngineReport(2, 4, 0, List.of(adapter), 1, 1);
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        Map<String, Long> served = new HashMap<>(Map.of("one", 0L, "other", 0L));
        List<Work> running = new ArrayList<>();
        long largest = 0;
        for (int i = 1; i <= 600; i++) {
            long tokens = 1 + random.nextInt(500);
            largest = Math.max(largest, tokens);
            String customer = i % 2 == 0 ? "one" : "other";
            Work work = WorkFixtures.work(i, customer, Optional.of(adapter), true, 0, 0, tokens);
            scheduler.offer(work, i % 2 == 0 ? weight : 1, Long.MAX_VALUE, 1);
        }
        for (int i = 0; i < 100; i++) {
            for (SchedulerAction action : scheduler.next(1, () -> true)) {
                running.add(((SchedulerAction.Start) action).work());
            }
            Work done = running.remove(random.nextInt(running.size()));
            served.merge(done.customer(), done.charge(), Long::sum);
            scheduler.onFinished(done, done.charge(), SECOND, 1);
        }
        running.forEach(w -> served.merge(w.customer(), w.charge(), Long::sum));
        double difference = Math.abs(served.get("one") / weight - served.get("other"));
        assertThat(difference).isLessThanOrEqualTo(largest / weight + largest);
    }

    /** Executes the scheduler's orders at random times and checks each of them. */
    private static final class SimulatedEngine {
        private final TargetScheduler mScheduler = new TargetScheduler(SchedulerOptions.defaults());
        private final RandomGenerator mRandom;
        private final int mSlots;
        private final Set<AdapterVersion> mResident = new HashSet<>();
        private final List<AdapterVersion> mLoading = new ArrayList<>();
        private final List<AdapterVersion> mUnloading = new ArrayList<>();
        private final List<Work> mRunning = new ArrayList<>();
        private final Map<RequestId, Work> mOpen = new HashMap<>();
        private long mNow = SECOND;
        private long mStartedAt = 1;
        private long mSequence;

        SimulatedEngine(long seed, int slots) {
            mRandom = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            mSlots = slots;
            report();
        }

        void step(boolean offering) {
            mNow += mRandom.nextInt(200) * MILLISECOND;
            int event = mRandom.nextInt(offering ? 10 : 5);
            if (event == 0) {
                finishOne();
            } else if (event == 1 && !mLoading.isEmpty()) {
                finishLoad(mRandom.nextInt(10) > 0);
            } else if (event == 2 && !mUnloading.isEmpty()) {
                AdapterVersion adapter = mUnloading.remove(0);
                mScheduler.onUnloaded(adapter, true, mNow);
            } else if (event == 3) {
                report();
            } else if (event == 4 && offering && mRandom.nextInt(20) == 0) {
                restart();
            } else if (event == 5) {
                cancelOne();
            } else if (event > 5) {
                offer();
            }
            mScheduler.next(mNow, () -> mRandom.nextInt(3) > 0).forEach(this::execute);
        }

        private void cancelOne() {
            if (!mOpen.isEmpty()) {
                RequestId id = mOpen.keySet().iterator().next();
                mScheduler.cancel(id, 1).ifPresent(w -> mOpen.remove(w.id()));
            }
        }

        private void execute(SchedulerAction action) {
            if (action instanceof SchedulerAction.Start start) {
                assertThat(mOpen).containsKey(start.work().id());
                assertThat(mResident).contains(start.work().adapter().orElseThrow());
                mRunning.add(start.work());
            } else if (action instanceof SchedulerAction.Load load) {
                assertThat(mResident.size() + mLoading.size()).isLessThan(mSlots);
                assertThat(mLoading).doesNotContain(load.adapter());
                mLoading.add(load.adapter());
            } else if (action instanceof SchedulerAction.Evict evict) {
                assertThat(mRunning)
                        .noneMatch(w -> w.adapter().orElseThrow().equals(evict.adapter()));
                assertThat(mResident.remove(evict.adapter())).isTrue();
                mUnloading.add(evict.adapter());
            } else if (action instanceof SchedulerAction.Refuse refuse) {
                assertThat(mRunning).doesNotContain(refuse.work());
                assertThat(mOpen.remove(refuse.work().id())).isNotNull();
            }
        }

        private void finishLoad(boolean succeeded) {
            AdapterVersion adapter = mLoading.remove(mRandom.nextInt(mLoading.size()));
            if (succeeded) {
                mResident.add(adapter);
            }
            mScheduler.onLoaded(adapter, succeeded, mNow);
        }

        private void finishOne() {
            if (!mRunning.isEmpty()) {
                Work work = mRunning.remove(mRandom.nextInt(mRunning.size()));
                mScheduler.onFinished(work, 50, SECOND, mNow);
                assertThat(mOpen.remove(work.id())).isNotNull();
            }
        }

        private void offer() {
            String customer = "customer-" + mRandom.nextInt(3);
            Work work = WorkFixtures.modelRequest(++mSequence, customer, "a" + mRandom.nextInt(12));
            long deadline = mNow + mRandom.nextInt(60) * SECOND;
            if (mScheduler.offer(work, 1, deadline, mNow).isEmpty()) {
                mOpen.put(work.id(), work);
            }
        }

        private void report() {
            mScheduler.onEngineReport(mSlots, 4, 0, List.copyOf(mResident), mStartedAt, mNow);
        }

        /** Restarts the engine: residency is lost, running work and open loads fail. */
        private void restart() {
            mStartedAt++;
            mResident.clear();
            for (Work work : List.copyOf(mRunning)) {
                mRunning.remove(work);
                mOpen.remove(work.id());
                mScheduler.onFinished(work, -1, 0, mNow);
            }
            report();
            List.copyOf(mLoading).forEach(a -> mScheduler.onLoaded(a, false, mNow));
            List.copyOf(mUnloading).forEach(a -> mScheduler.onUnloaded(a, true, mNow));
            mLoading.clear();
            mUnloading.clear();
        }
    }
}
