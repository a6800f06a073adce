package ebonygw.process;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.InsufficientCapacityException;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import ebonygw.log.LogLine;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Runs all decisions of a process on one thread, the control thread.
 *
 * <p>Any thread can submit events through a bounded ring buffer. Events that may be rejected are
 * submitted with {@link #offer}, which leaves part of the ring free. Events that must not be lost
 * are submitted with {@link #put}, which blocks while the ring is full. Events that the control
 * thread itself submits go to a separate unbounded queue: it never blocks on the ring that it
 * drains, so threads blocked in {@code put} always proceed. If the handler throws an exception, the
 * exception is logged and counted, and the loop continues with the next event.
 *
 * @param <E> type of the events
 */
public final class ControlLoop<E> implements AutoCloseable {
    /** Default minimum interval between ticks. */
    public static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    /** {@link #offer} leaves the ring size divided by this number free for {@link #put}. */
    private static final int RESERVE_DIVISOR = 4;

    private final long mTickIntervalNanos;
    private final E mTick;
    private final LongSupplier mClock;
    private final Handler<E> mHandler;
    private final Disruptor<Slot<E>> mDisruptor;
    private final RingBuffer<Slot<E>> mRing;
    private final int mReservedSlots;

    /** Events submitted by the control thread itself, which alone accesses them. */
    private final Queue<Slot<E>> mReentrant = new ArrayDeque<>();

    private final LongAdder mFailures = new LongAdder();
    private final LongAdder mHandled = new LongAdder();
    private final LongAdder mRefused = new LongAdder();
    private volatile Thread mThread;
    private volatile boolean mClosed;
    private long mLastTickNanos;

    /**
     * Creates a loop with the default tick interval; no event is handled before {@link #start}.
     *
     * @param name name of the control thread
     * @param ringSize maximum number of queued events, a power of two, at least 8
     * @param tick event passed to the handler at each tick
     * @param clock returns the current time in nanoseconds since the Unix epoch, never decreasing
     * @param handler handles each event on the control thread
     * @throws IllegalArgumentException if the ring size is not a power of two or below 8
     */
    public ControlLoop(String name, int ringSize, E tick, LongSupplier clock, Handler<E> handler) {
        this(name, ringSize, TICK_INTERVAL_NANOS, tick, clock, handler);
    }

    /**
     * Creates a loop; no event is handled before {@link #start}.
     *
     * @param name name of the control thread
     * @param ringSize maximum number of queued events, a power of two, at least 8
     * @param tickIntervalNanos minimum interval between ticks, positive; a tick is due at the
     *     latest when no event has arrived for this time
     * @param tick event passed to the handler at each tick
     * @param clock returns the current time in nanoseconds since the Unix epoch, never decreasing
     * @param handler handles each event on the control thread
     * @throws IllegalArgumentException if the ring size is not a power of two or below 8, or the
     *     tick interval is not positive
     */
    public ControlLoop(
            String name,
            int ringSize,
            long tickIntervalNanos,
            E tick,
            LongSupplier clock,
            Handler<E> handler) {
        if (tickIntervalNanos <= 0) {
            throw new IllegalArgumentException(
                    "tickIntervalNanos must be positive: " + tickIntervalNanos);
        }
        if (ringSize < 2 * RESERVE_DIVISOR || Integer.bitCount(ringSize) != 1) {
            throw new IllegalArgumentException(
                    "ringSize must be a power of two, at least 8: " + ringSize);
        }
        mTickIntervalNanos = tickIntervalNanos;
        mTick = Objects.requireNonNull(tick, "tick");
        mClock = Objects.requireNonNull(clock, "clock");
        mHandler = Objects.requireNonNull(handler, "handler");
        mReservedSlots = ringSize / RESERVE_DIVISOR;
        mDisruptor =
                new Disruptor<>(
                        Slot::new,
                        ringSize,
                        runnable -> {
                            Thread thread = new Thread(runnable, name);
                            thread.setDaemon(true);
                            return thread;
                        },
                        ProducerType.MULTI,
                        new TimeoutBlockingWaitStrategy(tickIntervalNanos, TimeUnit.NANOSECONDS));
        mDisruptor.handleEventsWith(new Consumer());
        mRing = mDisruptor.getRingBuffer();
    }

    /**
     * Handles the events of a loop on the control thread.
     *
     * @param <E> type of the events
     */
    @FunctionalInterface
    public interface Handler<E> {
        /**
         * Handles one event.
         *
         * @param nowNanos the current time in nanoseconds since the Unix epoch
         */
        void handle(E event, long nowNanos);
    }

    /** Returns the number of queued events, without those of the control thread itself. */
    public long backlog() {
        return mRing.getBufferSize() - mRing.remainingCapacity();
    }

    /** Stops after the current event; queued events are discarded. */
    @Override
    public void close() {
        mClosed = true;
        try {
            mDisruptor.shutdown(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException busy) {
            LogLine.of("control_close_overrun").with("backlog", backlog()).warn();
            mDisruptor.halt();
        }
    }

    /** Returns the number of exceptions that the handler has thrown. */
    public long failures() {
        return mFailures.sum();
    }

    /** Returns the number of events and queries handled, ticks not counted. */
    public long handled() {
        return mHandled.sum();
    }

    /**
     * Submits an event unless the ring is nearly full or the loop closed; never blocks.
     *
     * @return whether the event was accepted; if not, it is not handled
     */
    public boolean offer(E event) {
        Objects.requireNonNull(event, "event");
        if (mClosed || mRing.remainingCapacity() <= mReservedSlots) {
            mRefused.increment();
            return false;
        }
        try {
            long sequence = mRing.tryNext();
            mRing.get(sequence).set(event, null);
            mRing.publish(sequence);
            return true;
        } catch (InsufficientCapacityException full) {
            mRefused.increment();
            return false;
        }
    }

    /**
     * Submits an event, blocking while the ring is full.
     *
     * <p>On the control thread it never blocks: the event is handled after the current one, before
     * those in the ring. Once the loop is closed, the event is discarded.
     */
    public void put(E event) {
        publish(Objects.requireNonNull(event, "event"), null);
    }

    /**
     * Reads state on the control thread, which owns it.
     *
     * @param <T> type of the result
     * @param reader reads the state; it must not change it
     * @return completes with the result of the reader or its exception; never completes if the loop
     *     is closed before the reader runs
     */
    public <T> CompletableFuture<T> query(Supplier<T> reader) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Runnable task =
                () -> {
                    try {
                        result.complete(reader.get());
                    } catch (RuntimeException failure) {
                        result.completeExceptionally(failure);
                    }
                };
        publish(null, task);
        return result;
    }

    /** Returns the number of events that {@link #offer} rejected. */
    public long refused() {
        return mRefused.sum();
    }

    /** Starts the control thread. */
    public void start() {
        mLastTickNanos = mClock.getAsLong();
        mDisruptor.start();
    }

    private void handle(Slot<E> slot) {
        try {
            if (slot.mTask != null) {
                slot.mTask.run();
            } else {
                mHandler.handle(slot.mEvent, mClock.getAsLong());
            }
        } catch (RuntimeException failure) {
            mFailures.increment();
            LogLine.of("control_failed").with("on", name(slot)).error(failure);
        }
    }

    private String name(Slot<E> slot) {
        return slot.mEvent == null ? "task" : slot.mEvent.getClass().getSimpleName();
    }

    private void handleReentrant() {
        for (Slot<E> slot = mReentrant.poll(); slot != null; slot = mReentrant.poll()) {
            mHandled.increment();
            handle(slot);
        }
    }

    private void publish(E event, Runnable task) {
        if (mClosed) {
            return;
        }
        if (Thread.currentThread() == mThread) {
            Slot<E> slot = new Slot<>();
            slot.set(event, task);
            mReentrant.add(slot);
            return;
        }
        long sequence = mRing.next();
        mRing.get(sequence).set(event, task);
        mRing.publish(sequence);
    }

    private void tickIfDue() {
        long now = mClock.getAsLong();
        if (now - mLastTickNanos < mTickIntervalNanos) {
            return;
        }
        mLastTickNanos = now;
        Slot<E> tick = new Slot<>();
        tick.set(mTick, null);
        handle(tick);
        handleReentrant();
    }

    /** Handles the events in the ring on the control thread. */
    private final class Consumer implements EventHandler<Slot<E>> {
        @Override
        public void onEvent(Slot<E> slot, long sequence, boolean endOfBatch) {
            if (mClosed) {
                slot.clear();
                return;
            }
            mHandled.increment();
            handle(slot);
            slot.clear();
            handleReentrant();
            tickIfDue();
        }

        @Override
        public void onStart() {
            mThread = Thread.currentThread();
        }

        @Override
        public void onTimeout(long sequence) {
            tickIfDue();
        }
    }

    /** A preallocated, reused element of the ring; holds either an event or a task. */
    private static final class Slot<E> {
        private E mEvent;
        private Runnable mTask;

        void clear() {
            set(null, null);
        }

        void set(E event, Runnable task) {
            mEvent = event;
            mTask = task;
        }
    }
}
