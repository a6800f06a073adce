package ebonygw.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.WorkFixtures;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import ebonygw.scheduling.SchedulerAction.Evict;
import ebonygw.scheduling.SchedulerAction.Load;
import ebonygw.scheduling.SchedulerAction.Refuse;
import ebonygw.scheduling.SchedulerAction.Start;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TargetSchedulerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long FAR_DEADLINE = 1000 * SECOND;
    private static final AdapterVersion A = new AdapterVersion("a", "1");
    private static final AdapterVersion B = new AdapterVersion("b", "1");

    private final TargetScheduler mScheduler = new TargetScheduler(SchedulerOptions.defaults());
    private long mNow = SECOND;

    @Test
    void workStartsOnlyOnceItsExactVersionIsLoaded() {
        engine(2, 4, List.of(new AdapterVersion("a", "2")));
        Work work = offer(1, "a");
        assertThat(next()).containsExactly(new Load(A));
        assertThat(next()).isEmpty();
        mScheduler.onLoaded(A, true, mNow);
        assertThat(next()).containsExactly(new Start(work));
        assertThat(mScheduler.report(1).resident())
                .containsExactlyInAnyOrder(A, new AdapterVersion("a", "2"));
    }

    @Test
    void aVersionIsLoadedOnceForAllWorkWaitingForIt() {
        engine(2, 4, List.of());
        offer(1, "a");
        offer(2, "a");
        assertThat(next()).containsExactly(new Load(A));
        mScheduler.onLoaded(A, true, mNow);
        assertThat(next()).hasSize(2).allMatch(Start.class::isInstance);
    }

    @Test
    void aVersionInUseIsNotEvicted() {
        engine(1, 4, List.of(A));
        Work first = offer(1, "a");
        assertThat(next()).containsExactly(new Start(first));
        offer(2, "b");
        assertThat(next()).isEmpty();
        mScheduler.onFinished(first, 100, SECOND, mNow);
        assertThat(next()).containsExactly(new Evict(A));
        assertThat(next()).isEmpty();
        mScheduler.onUnloaded(A, true, mNow);
        assertThat(next()).containsExactly(new Load(B));
    }

    @Test
    void theLoadBudgetIsChargedOnceForAnEvictionAndTheLoadThatFollows() {
        engine(1, 4, List.of(A));
        offer(1, "b");
        int[] charges = new int[1];
        for (int i = 0; i < 5; i++) {
            mScheduler.next(
                    mNow,
                    () -> {
                        charges[0]++;
                        return true;
                    });
        }
        mScheduler.onUnloaded(A, true, mNow);
        assertThat(mScheduler.next(mNow, () -> false)).containsExactly(new Load(B));
        assertThat(charges[0]).isEqualTo(1);
    }

    @Test
    void aSlotReservedForQueuedWorkIsNotEvicted() {
        engine(1, 1, List.of());
        Work call = WorkFixtures.serviceRequest(1);
        assertThat(mScheduler.offer(call, 1, FAR_DEADLINE, mNow)).isEmpty();
        assertThat(next()).containsExactly(new Start(call));
        offer(2, "a");
        assertThat(next()).containsExactly(new Load(A));
        mScheduler.onLoaded(A, true, mNow);
        offer(3, "b");
        assertThat(next()).isEmpty();
        mScheduler.onFinished(call, 1, SECOND, mNow);
        assertThat(next()).hasSize(1).allMatch(Start.class::isInstance);
    }

    @Test
    void failedLoadsAreRetriedWithBackoffAndThenTheWorkIsRefused() {
        engine(2, 4, List.of());
        Work work = offer(1, "a");
        for (int attempt = 1; attempt <= 3; attempt++) {
            assertThat(next()).containsExactly(new Load(A));
            mScheduler.onLoaded(A, false, mNow);
            if (attempt < 3) {
                assertThat(next()).isEmpty();
                mNow += 2 * SECOND;
            }
        }
        List<SchedulerAction> refused = next();
        assertThat(refused).hasSize(1);
        Refuse refuse = (Refuse) refused.get(0);
        assertThat(refuse.work()).isEqualTo(work);
        assertThat(refuse.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refuse.refusal().code()).isEqualTo(RefusalCode.LOAD_FAILED);
        Optional<Refusal> later =
                mScheduler.offer(WorkFixtures.modelRequest(2, "c", "a"), 1, FAR_DEADLINE, mNow);
        assertThat(later.orElseThrow().retryAfterNanos()).isPositive();
        mNow += 20 * SECOND;
        assertThat(mScheduler.offer(WorkFixtures.modelRequest(3, "c", "a"), 1, FAR_DEADLINE, mNow))
                .isEmpty();
    }

    @Test
    void anEngineRestartClearsResidency() {
        engine(2, 4, List.of(A));
        mScheduler.onEngineReport(2, 4, 0, List.of(), 2 * SECOND, mNow);
        offer(1, "a");
        assertThat(next()).containsExactly(new Load(A));
    }

    @Test
    void aLoadInFlightAcrossAnEngineRestartKeepsItsSlot() {
        engine(1, 4, List.of());
        Work first = offer(1, "a");
        assertThat(next()).containsExactly(new Load(A));
        mScheduler.onEngineReport(1, 4, 0, List.of(), 2 * SECOND, mNow);
        offer(2, "b");
        assertThat(next()).isEmpty();
        mScheduler.onLoaded(A, true, mNow);
        assertThat(next()).containsExactly(new Start(first));
    }

    @Test
    void aStaleReportDoesNotUndoALoad() {
        engine(2, 4, List.of());
        Work work = offer(1, "a");
        assertThat(next()).containsExactly(new Load(A));
        mScheduler.onLoaded(A, true, mNow);
        engine(2, 4, List.of());
        assertThat(next()).containsExactly(new Start(work));
    }

    @Test
    void queuedAndNewWorkIsRefusedAsNotRunWhileTheEngineIsUnreachable() {
        engine(2, 4, List.of());
        offer(1, "a");
        mScheduler.onEngineUnreachable();
        assertThat(next()).hasSize(1).allMatch(Refuse.class::isInstance);
        assertThat(mScheduler.offer(WorkFixtures.modelRequest(2, "c", "a"), 1, FAR_DEADLINE, mNow))
                .map(Refusal::verdict)
                .contains(Verdict.NOT_RUN);
    }

    @Test
    void onlyQueuedWorkCanBeCancelled() {
        engine(2, 4, List.of(A));
        Work queued = offer(1, "b");
        Work started = offer(2, "a");
        assertThat(next()).contains(new Start(started));
        assertThat(mScheduler.cancel(queued.id(), 1)).contains(queued);
        assertThat(mScheduler.cancel(queued.id(), 1)).isEmpty();
        assertThat(mScheduler.cancel(started.id(), 1)).isEmpty();
    }

    @Test
    void workPastItsDeadlineIsRefusedAsNotRun() {
        engine(0, 4, List.of());
        mScheduler.offer(WorkFixtures.modelRequest(1, "c", "a"), 1, mNow + SECOND, mNow);
        mNow += SECOND;
        Refuse refuse = (Refuse) next().get(0);
        assertThat(refuse.refusal().code()).isEqualTo(RefusalCode.DEADLINE);
        assertThat(refuse.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void workThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        engine(2, 1, List.of(A));
        for (int i = 1; i <= 20; i++) {
            Work work = offer(i, "a");
            assertThat(next()).containsExactly(new Start(work));
            mScheduler.onFinished(work, 100, 10 * SECOND, mNow);
        }
        Work tooLate = WorkFixtures.modelRequest(30, "customer", "a");
        assertThat(mScheduler.offer(tooLate, 1, mNow + SECOND, mNow))
                .map(Refusal::code)
                .contains(RefusalCode.DEADLINE);
    }

    @Test
    void higherPriorityWorkStartsFirstWithinACustomer() {
        engine(2, 1, List.of(A));
        Work running = offer(1, "a");
        assertThat(next()).containsExactly(new Start(running));
        offer(2, "a");
        Work prioritized = WorkFixtures.work(3, "customer", Optional.of(A), true, 5, 50, 50);
        mScheduler.offer(prioritized, 1, FAR_DEADLINE, mNow);
        mScheduler.onFinished(running, 100, SECOND, mNow);
        assertThat(next()).containsExactly(new Start(prioritized));
    }

    @Test
    void aFullQueueDisplacesWorkOfTheMostBackloggedCustomer() {
        engine(0, 4, List.of());
        int maxQueued = SchedulerOptions.defaults().maxQueued();
        for (int i = 1; i <= maxQueued; i++) {
            assertThat(
                            mScheduler.offer(
                                    WorkFixtures.modelRequest(i, "greedy", "a"),
                                    1,
                                    FAR_DEADLINE,
                                    mNow))
                    .isEmpty();
        }
        assertThat(
                        mScheduler.offer(
                                WorkFixtures.modelRequest(maxQueued + 1, "greedy", "a"),
                                1,
                                FAR_DEADLINE,
                                mNow))
                .map(Refusal::code)
                .contains(RefusalCode.OVERLOADED);
        assertThat(
                        mScheduler.offer(
                                WorkFixtures.modelRequest(maxQueued + 2, "small", "a"),
                                1,
                                FAR_DEADLINE,
                                mNow))
                .isEmpty();
        Refuse displaced = (Refuse) next().get(0);
        assertThat(displaced.work().customer()).isEqualTo("greedy");
    }

    private void engine(int slots, int maxBatch, List<AdapterVersion> resident) {
        mScheduler.onEngineReport(slots, maxBatch, 0, resident, SECOND, mNow);
    }

    private List<SchedulerAction> next() {
        return mScheduler.next(mNow, () -> true);
    }

    private Work offer(long sequence, String adapter) {
        Work work = WorkFixtures.modelRequest(sequence, "customer", adapter);
        assertThat(mScheduler.offer(work, 1, FAR_DEADLINE, mNow)).isEmpty();
        return work;
    }
}
