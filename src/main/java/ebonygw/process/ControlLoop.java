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
 * <p>Events come from any thread through a bounded ring. Events that may be refused are {@linkplain
 * #offer offered} and take at most part of the ring; events that must not be lost are {@linkplain
 * #put put} and wait while the ring is full. The control thread itself never waits for the ring, so
 * traffic threads that wait for it are always released. An exception of the handler is logged and
 * counted, and the next event is handled.
 *
 * @param <E> type of the events
 */
public final class ControlLoop<E> implements AutoCloseable {
    /** Longest time between two ticks while the thread is not busy. */
    public static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;
    private static final int RESERVE_FRACTION = 4;

    private final long mTickNanos;
    private final E mTick;
    private final LongSupplier mClock;
    private final Handler<E> mHandler;
    private final Disruptor<Slot<E>> mDisruptor;
    private final RingBuffer<Slot<E>> mRing;
    private final int mReserve;
    private final Queue<Slot<E>> mOwn = new ArrayDeque<>();
    private final LongAdder mFailures = new LongAdder();
    private final LongAdder mHandled = new LongAdder();
    private final LongAdder mRefused = new LongAdder();
    private volatile Thread mThread;
    private volatile boolean mClosed;
    private long mLastTickNanos;

    /**
     * Creates a loop; it handles nothing before {@link #start}.
     *
     * @param name name of the thread
     * @param ringSize events that may wait, a power of two of at least 8
     * @param tick event that tells that time has passed
     * @param clock the present time in nanoseconds since the Unix epoch, never stepping back
     * @param handler handles each event on the control thread
     * @throws IllegalArgumentException if the size is not a power of two of at least 8
     */
    public ControlLoop(String name, int ringSize, E tick, LongSupplier clock, Handler<E> handler) {
        this(name, ringSize, TICK_INTERVAL_NANOS, tick, clock, handler);
    }

    /**
     * Creates a loop with another time between ticks; it handles nothing before {@link #start}.
     *
     * @param name name of the thread
     * @param ringSize events that may wait, a power of two of at least 8
     * @param tickNanos longest time between two ticks while the thread is not busy, positive
     * @param tick event that tells that time has passed
     * @param clock the present time in nanoseconds since the Unix epoch, never stepping back
     * @param handler handles each event on the control thread
     * @throws IllegalArgumentException if a number is out of its bounds
     */
    public ControlLoop(
            String name,
            int ringSize,
            long tickNanos,
            E tick,
            LongSupplier clock,
            Handler<E> handler) {
        if (tickNanos <= 0) {
            throw new IllegalArgumentException("time between ticks: " + tickNanos);
        }
        if (ringSize < 2 * RESERVE_FRACTION || Integer.bitCount(ringSize) != 1) {
            throw new IllegalArgumentException("not a power of two of at least 8: " + ringSize);
        }
        mTickNanos = tickNanos;
        mTick = Objects.requireNonNull(tick, "tick");
        mClock = Objects.requireNonNull(clock, "clock");
        mHandler = Objects.requireNonNull(handler, "handler");
        mReserve = ringSize / RESERVE_FRACTION;
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
                        new TimeoutBlockingWaitStrategy(tickNanos, TimeUnit.NANOSECONDS));
        mDisruptor.handleEventsWith(new Consumer());
        mRing = mDisruptor.getRingBuffer();
    }

    /**
     * Handles one event.
     *
     * @param <E> type of the events
     */
    @FunctionalInterface
    public interface Handler<E> {
        /**
         * Handles one event.
         *
         * @param event the event
         * @param nowNanos the present time in nanoseconds since the Unix epoch
         */
        void handle(E event, long nowNanos);
    }

    /**
     * Reads state on the control thread.
     *
     * @param <T> type of the result
     * @param reader reads, and must not change, what the control thread owns
     * @return its result, or its exception; it never completes once the loop is closed
     */
    public <T> CompletableFuture<T> ask(Supplier<T> reader) {
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

    /** Returns how many events wait. */
    public long backlog() {
        return mRing.getBufferSize() - mRing.remainingCapacity();
    }

    /** Stops after the event being handled; events that wait are dropped. */
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

    /** Returns how often the handler threw an exception. */
    public long failures() {
        return mFailures.sum();
    }

    /** Returns how many events were handled, without ticks. */
    public long handled() {
        return mHandled.sum();
    }

    /**
     * Passes an event on unless the ring is nearly full; never waits.
     *
     * @return whether it was taken; if not, it will not be handled
     */
    public boolean offer(E event) {
        Objects.requireNonNull(event, "event");
        if (mClosed || mRing.remainingCapacity() <= mReserve) {
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

    /** Passes an event on, waiting while the ring is full; the control thread never waits. */
    public void put(E event) {
        publish(Objects.requireNonNull(event, "event"), null);
    }

    /** Returns how many offered events were not taken. */
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

    private void handleOwn() {
        for (Slot<E> own = mOwn.poll(); own != null; own = mOwn.poll()) {
            mHandled.increment();
            handle(own);
        }
    }

    private void publish(E event, Runnable task) {
        if (mClosed) {
            return;
        }
        if (Thread.currentThread() == mThread) {
            Slot<E> own = new Slot<>();
            own.set(event, task);
            mOwn.add(own);
            return;
        }
        long sequence = mRing.next();
        mRing.get(sequence).set(event, task);
        mRing.publish(sequence);
    }

    private void tickIfDue() {
        long now = mClock.getAsLong();
        if (now - mLastTickNanos < mTickNanos) {
            return;
        }
        mLastTickNanos = now;
        Slot<E> tick = new Slot<>();
        tick.set(mTick, null);
        handle(tick);
        handleOwn();
    }

    /** Takes slots from the ring. */
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
            handleOwn();
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

    /** A reused place of the ring. */
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
