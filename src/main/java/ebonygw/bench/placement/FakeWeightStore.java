package ebonygw.bench.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * A simulated weight store. A token bucket limits the rate of loads, and loads slow down while more
 * than {@value #MAX_FULL_SPEED_LOADS} are in flight.
 */
final class FakeWeightStore {
    private static final double MAX_TOKENS = 4;
    private static final int MAX_FULL_SPEED_LOADS = 8;
    private static final long LOAD_NANOS = 250_000_000L;

    private final EventLoop mLoop;
    private final double mLoadsPerSecond;
    private final Deque<WaitingLoad> mWaiting = new ArrayDeque<>();
    private double mTokens = MAX_TOKENS;
    private long mRefilledAtNanos;
    private int mInFlight;

    FakeWeightStore(EventLoop loop, double loadsPerSecond) {
        mLoop = loop;
        mLoadsPerSecond = loadsPerSecond;
    }

    /** Returns whether a load could start now, within the rate and at full speed. */
    boolean canStartLoad() {
        refill();
        return mTokens >= 1 && mInFlight < MAX_FULL_SPEED_LOADS;
    }

    /**
     * Queues a load, which starts when the rate allows it. Queued loads start in order, however
     * many are in flight.
     *
     * @param wanted checked when the load is next; if it returns false, the load is dropped and
     *     takes no token
     * @param done run when the load has ended
     * @param dropped run instead of {@code done} if the load is dropped
     */
    void enqueueLoad(BooleanSupplier wanted, Runnable done, Runnable dropped) {
        mWaiting.add(new WaitingLoad(wanted, done, dropped));
        if (mWaiting.size() == 1) {
            startNext();
        }
    }

    /** Starts a load whose token has been taken already. */
    void startLoad(Runnable done) {
        mInFlight++;
        double slowdown = Math.max(1, (double) mInFlight / MAX_FULL_SPEED_LOADS);
        mLoop.scheduleAfter(
                (long) (LOAD_NANOS * slowdown),
                () -> {
                    mInFlight--;
                    done.run();
                });
    }

    /** Takes the token of a load and returns true if the load can start now. */
    boolean tryAcquire() {
        if (!canStartLoad()) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    private void refill() {
        long now = mLoop.nowNanos();
        double refilled = (now - mRefilledAtNanos) / 1e9 * mLoadsPerSecond;
        mTokens = Math.min(MAX_TOKENS, mTokens + refilled);
        mRefilledAtNanos = now;
    }

    private void startNext() {
        while (!mWaiting.isEmpty() && !mWaiting.peek().wanted().getAsBoolean()) {
            mWaiting.poll().dropped().run();
        }
        if (mWaiting.isEmpty()) {
            return;
        }
        refill();
        if (mTokens < 1) {
            mLoop.scheduleAfter(
                    (long) ((1 - mTokens) / mLoadsPerSecond * 1e9) + 1, this::startNext);
            return;
        }
        mTokens -= 1;
        startLoad(mWaiting.poll().done());
        startNext();
    }

    private record WaitingLoad(BooleanSupplier wanted, Runnable done, Runnable dropped) {}
}
