package ebonygw.keyvalue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A {@link InMemoryKeyValueStore} with injected faults: it is unavailable, slow, or loses
 * responses, also those to writes that were applied.
 *
 * <p>Deterministic for a seeded generator. Time is simulated: {@link #advance} delivers the
 * responses that are due. Not thread-safe.
 */
public final class FaultInjectingKeyValueStore {
    /** Time after which a request without a response is reported as failed. */
    public static final long TIMEOUT_NANOS = 2_000_000_000L;

    private static final int PERCENT = 100;

    private final InMemoryKeyValueStore mStore;
    private final RandomGenerator mRandom;
    private final PriorityQueue<ScheduledAction> mScheduled = new PriorityQueue<>();
    private final Map<WatchKey, OpenWatch> mWatches = new HashMap<>();
    private KeyValueFaults mFaults = KeyValueFaults.NONE;
    private long mRequestCount;
    private long mSequence;
    private long mNowNanos;

    /**
     * Creates a service in front of a store.
     *
     * @param store executes the requests
     * @param random decides which responses are lost and how long they are delayed
     */
    public FaultInjectingKeyValueStore(InMemoryKeyValueStore store, RandomGenerator random) {
        mStore = Objects.requireNonNull(store, "store");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /**
     * Advances the simulated time, expires leases, and runs the actions that are due, in order of
     * time.
     *
     * @param nowNanos the present time; an earlier one than before is ignored
     */
    public void advance(long nowNanos) {
        mNowNanos = Math.max(mNowNanos, nowNanos);
        mStore.advance(mNowNanos);
        while (!mScheduled.isEmpty() && mScheduled.peek().mAtNanos <= mNowNanos) {
            mScheduled.poll().mAction.run();
        }
    }

    /**
     * Handles a request of a client.
     *
     * @param client name of the client; request ids are unique per client
     * @param requestId the request id; a watch is cancelled under the id that started it
     * @param nowNanos the present time
     * @param listener receives the response, for a watch each one, during {@link #advance}; the
     *     cancellation of a watch has none
     */
    public void submit(
            String client,
            long requestId,
            KeyValueRequest request,
            long nowNanos,
            Consumer<KeyValueResponse> listener) {
        mNowNanos = Math.max(mNowNanos, nowNanos);
        WatchKey watchKey = new WatchKey(client, requestId);
        if (request instanceof KeyValueRequest.WatchCancel) {
            closeWatch(mWatches.remove(watchKey));
            return;
        }
        mRequestCount++;
        if (mFaults.down()) {
            scheduleDelayed(
                    () ->
                            listener.accept(
                                    new KeyValueResponse.Failed(false, "connection refused")));
            return;
        }
        if (request instanceof KeyValueRequest.Watch watch) {
            openWatch(watchKey, watch, listener);
            return;
        }
        scheduleExecution(request, listener);
    }

    /** Returns the number of requests received; a watch counts as one, its cancellation as none. */
    public long requestCount() {
        return mRequestCount;
    }

    /** Closes the watches of a client without a response, as if its process had crashed. */
    public void dropClient(String client) {
        mWatches.entrySet()
                .removeIf(
                        entry -> {
                            boolean match = entry.getKey().client().equals(client);
                            if (match) {
                                closeWatch(entry.getValue());
                            }
                            return match;
                        });
    }

    /**
     * Replaces the injected faults. Setting {@link KeyValueFaults#down} ends all watches with a
     * failure.
     */
    public void setFaults(KeyValueFaults faults) {
        mFaults = Objects.requireNonNull(faults, "faults");
        if (!faults.down()) {
            return;
        }
        List<OpenWatch> open = new ArrayList<>(mWatches.values());
        mWatches.clear();
        for (OpenWatch watch : open) {
            closeWatch(watch);
            scheduleDelayed(
                    () ->
                            watch.mListener.accept(
                                    new KeyValueResponse.Failed(false, "watch ended")));
        }
    }

    /** Returns the store, whose own methods inject no faults. */
    public InMemoryKeyValueStore store() {
        return mStore;
    }

    private void closeWatch(OpenWatch watch) {
        if (watch != null) {
            watch.mOpen = false;
            mStore.cancelWatch(watch.mWatchId);
        }
    }

    private long delayNanos() {
        long jitterNanos = mFaults.jitterNanos();
        return mFaults.delayNanos() + (jitterNanos == 0 ? 0 : mRandom.nextLong(jitterNanos));
    }

    private void scheduleDelayed(Runnable action) {
        schedule(delayNanos(), action);
    }

    private void schedule(long delayNanos, Runnable action) {
        mScheduled.add(new ScheduledAction(mNowNanos + delayNanos, mSequence++, action));
    }

    private void openWatch(
            WatchKey key, KeyValueRequest.Watch watch, Consumer<KeyValueResponse> listener) {
        OpenWatch open = new OpenWatch(listener);
        closeWatch(mWatches.put(key, open));
        open.mWatchId =
                mStore.watch(
                        watch,
                        change ->
                                scheduleDelayed(
                                        () -> {
                                            if (open.mOpen) {
                                                listener.accept(change);
                                            }
                                        }));
    }

    private void scheduleExecution(KeyValueRequest request, Consumer<KeyValueResponse> listener) {
        long delayNanos = delayNanos();
        boolean isWrite = !(request instanceof KeyValueRequest.Range);
        if (delayNanos > TIMEOUT_NANOS) {
            schedule(
                    TIMEOUT_NANOS,
                    () -> listener.accept(new KeyValueResponse.Failed(isWrite, "timeout")));
            schedule(delayNanos, () -> mStore.execute(request, mNowNanos));
            return;
        }
        schedule(delayNanos, () -> execute(request, isWrite, listener));
    }

    private void execute(
            KeyValueRequest request, boolean isWrite, Consumer<KeyValueResponse> listener) {
        KeyValueResponse result = mStore.execute(request, mNowNanos);
        boolean lost = mRandom.nextInt(PERCENT) < mFaults.lostResponsePercent();
        listener.accept(lost ? new KeyValueResponse.Failed(isWrite, "answer lost") : result);
    }

    private record WatchKey(String client, long requestId) {}

    private static final class ScheduledAction implements Comparable<ScheduledAction> {
        private final long mAtNanos;
        private final long mSequence;
        private final Runnable mAction;

        ScheduledAction(long atNanos, long sequence, Runnable action) {
            mAtNanos = atNanos;
            mSequence = sequence;
            mAction = action;
        }

        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(mAtNanos, other.mAtNanos);
            return byTime != 0 ? byTime : Long.compare(mSequence, other.mSequence);
        }
    }

    private static final class OpenWatch {
        private final Consumer<KeyValueResponse> mListener;
        private boolean mOpen = true;
        private long mWatchId;

        OpenWatch(Consumer<KeyValueResponse> listener) {
            mListener = listener;
        }
    }
}
