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
 * A {@link MemoryKeyValue} behind a network with faults: down, slow, answers lost after a write
 * took effect.
 *
 * <p>Deterministic for a seeded generator; replies become due by {@link #advance}. Not thread-safe.
 */
public final class FaultyKeyValue {
    /** After how long a call without an answer is reported as failed. */
    public static final long TIMEOUT_NANOS = 2_000_000_000L;

    private static final int PERCENT = 100;

    private final MemoryKeyValue mStore;
    private final RandomGenerator mRandom;
    private final PriorityQueue<Due> mDue = new PriorityQueue<>();
    private final Map<WatchKey, OpenWatch> mWatches = new HashMap<>();
    private KeyValueFaults mFaults = KeyValueFaults.NONE;
    private long mCalls;
    private long mSequence;
    private long mNowNanos;

    /** Creates the service over a store, with a generator for its faults. */
    public FaultyKeyValue(MemoryKeyValue store, RandomGenerator random) {
        mStore = Objects.requireNonNull(store, "store");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Moves time on and delivers the replies that are due by then, in order of time. */
    public void advance(long nowNanos) {
        mNowNanos = Math.max(mNowNanos, nowNanos);
        mStore.advance(mNowNanos);
        while (!mDue.isEmpty() && mDue.peek().mAtNanos <= mNowNanos) {
            mDue.poll().mAction.run();
        }
    }

    /**
     * Takes a call of a client.
     *
     * @param client name of the client, which gives call identifiers their scope
     * @param callId the call's identifier
     * @param call the call
     * @param nowNanos the present time
     * @param reply gets the reply, for a watch each one; runs within {@link #advance}
     */
    public void call(
            String client,
            long callId,
            KeyValueCall call,
            long nowNanos,
            Consumer<KeyValueReply> reply) {
        mNowNanos = Math.max(mNowNanos, nowNanos);
        WatchKey watchKey = new WatchKey(client, callId);
        if (call instanceof KeyValueCall.WatchCancel) {
            end(mWatches.remove(watchKey));
            return;
        }
        mCalls++;
        if (mFaults.down()) {
            later(() -> reply.accept(new KeyValueReply.Failed(false, "connection refused")));
            return;
        }
        if (call instanceof KeyValueCall.Watch watch) {
            open(watchKey, watch, reply);
            return;
        }
        plain(call, reply);
    }

    /** Returns how many calls were taken, a watch counting as one. */
    public long calls() {
        return mCalls;
    }

    /** Ends the watches of a client, as the loss of its process does. */
    public void dropClient(String client) {
        mWatches.entrySet()
                .removeIf(
                        entry -> {
                            boolean match = entry.getKey().client().equals(client);
                            if (match) {
                                end(entry.getValue());
                            }
                            return match;
                        });
    }

    /** Sets how the service misbehaves from now on; going down ends all watches. */
    public void faults(KeyValueFaults faults) {
        mFaults = Objects.requireNonNull(faults, "faults");
        if (!faults.down()) {
            return;
        }
        List<OpenWatch> open = new ArrayList<>(mWatches.values());
        mWatches.clear();
        for (OpenWatch watch : open) {
            end(watch);
            later(() -> watch.mReply.accept(new KeyValueReply.Failed(false, "watch ended")));
        }
    }

    /** Returns the store behind the faults. */
    public MemoryKeyValue store() {
        return mStore;
    }

    private void end(OpenWatch watch) {
        if (watch != null) {
            watch.mOpen = false;
            mStore.cancelWatch(watch.mWatchId);
        }
    }

    private long delayNanos() {
        long jitterNanos = mFaults.jitterNanos();
        return mFaults.delayNanos() + (jitterNanos == 0 ? 0 : mRandom.nextLong(jitterNanos));
    }

    private void later(Runnable action) {
        after(delayNanos(), action);
    }

    private void after(long delayNanos, Runnable action) {
        mDue.add(new Due(mNowNanos + delayNanos, mSequence++, action));
    }

    private void open(WatchKey key, KeyValueCall.Watch watch, Consumer<KeyValueReply> reply) {
        OpenWatch open = new OpenWatch(reply);
        end(mWatches.put(key, open));
        open.mWatchId =
                mStore.watch(
                        watch,
                        change ->
                                later(
                                        () -> {
                                            if (open.mOpen) {
                                                reply.accept(change);
                                            }
                                        }));
    }

    private void plain(KeyValueCall call, Consumer<KeyValueReply> reply) {
        long delayNanos = delayNanos();
        boolean write = !(call instanceof KeyValueCall.Range);
        if (delayNanos > TIMEOUT_NANOS) {
            after(TIMEOUT_NANOS, () -> reply.accept(new KeyValueReply.Failed(write, "timeout")));
            after(delayNanos, () -> mStore.execute(call, mNowNanos));
            return;
        }
        after(delayNanos, () -> take(call, write, reply));
    }

    private void take(KeyValueCall call, boolean write, Consumer<KeyValueReply> reply) {
        KeyValueReply result = mStore.execute(call, mNowNanos);
        boolean lost = mRandom.nextInt(PERCENT) < mFaults.lostAnswerPercent();
        reply.accept(lost ? new KeyValueReply.Failed(write, "answer lost") : result);
    }

    private record WatchKey(String client, long callId) {}

    private static final class Due implements Comparable<Due> {
        private final long mAtNanos;
        private final long mSequence;
        private final Runnable mAction;

        Due(long atNanos, long sequence, Runnable action) {
            mAtNanos = atNanos;
            mSequence = sequence;
            mAction = action;
        }

        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(mAtNanos, other.mAtNanos);
            return byTime != 0 ? byTime : Long.compare(mSequence, other.mSequence);
        }
    }

    private static final class OpenWatch {
        private final Consumer<KeyValueReply> mReply;
        private boolean mOpen = true;
        private long mWatchId;

        OpenWatch(Consumer<KeyValueReply> reply) {
            mReply = reply;
        }
    }
}
