package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import ebonygw.request.Work;

/** Work in the queue of a target. Not thread-safe. */
final class QueuedWork {
    final Work mWork;
    final AdapterVersion mAdapter;
    final long mSequence;
    final long mQueuedNanos;
    final long mDeadlineNanos;
    boolean mPromised;

    QueuedWork(Work work, long sequence, long queuedNanos, long deadlineNanos) {
        mWork = work;
        mAdapter = work.adapter().orElse(null);
        mSequence = sequence;
        mQueuedNanos = queuedNanos;
        mDeadlineNanos = deadlineNanos;
    }
}
