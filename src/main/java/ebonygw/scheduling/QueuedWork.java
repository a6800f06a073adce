package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import ebonygw.request.Work;
import java.util.Comparator;

/** Work in the queue of a {@link TargetScheduler}. Not thread-safe. */
final class QueuedWork implements FairQueue.Work {
    /** Higher priority first, then earlier arrival. */
    static final Comparator<QueuedWork> ORDER =
            Comparator.comparingInt((QueuedWork w) -> -w.mWork.priority())
                    .thenComparingLong(w -> w.mSequence);

    final Work mWork;

    /** The version to run on, null for plain services. */
    final AdapterVersion mAdapter;

    final long mSequence;
    final long mQueuedNanos;
    final long mDeadlineNanos;

    /** Whether the work holds a reservation of its version's slot. */
    boolean mHoldsReservation;

    QueuedWork(Work work, long sequence, long queuedNanos, long deadlineNanos) {
        mWork = work;
        mAdapter = work.adapter().orElse(null);
        mSequence = sequence;
        mQueuedNanos = queuedNanos;
        mDeadlineNanos = deadlineNanos;
    }

    @Override
    public long charge() {
        return mWork.charge();
    }

    @Override
    public String customer() {
        return mWork.customer();
    }
}
