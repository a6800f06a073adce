package ebonygw.membership;

import java.util.Objects;

/**
 * State machine for the planned stop of an entry or target process.
 *
 * <p>{@link StopPhase#RELEASING} is returned by exactly one call of {@link #onTick}, so that the
 * node performs the release once and then exits. Not thread-safe.
 */
public final class StopPlan {
    private final StopOptions mOptions;
    private StopPhase mPhase = StopPhase.SERVING;
    private long mSinceNanos;
    private int mAbandoned;

    /**
     * Creates a plan in phase {@link StopPhase#SERVING}.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public StopPlan(StopOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
    }

    /**
     * Returns how many requests were still running when the time for finishing ran out. If it is
     * not 0, the stop was not graceful and must be logged as such.
     */
    public int abandoned() {
        return mAbandoned;
    }

    /** Returns whether new work must be refused with verdict "not run". */
    public boolean isRefusing() {
        return mPhase.compareTo(StopPhase.FINISHING) >= 0;
    }

    /** Returns whether a stop was requested. */
    public boolean isStopping() {
        return mPhase != StopPhase.SERVING;
    }

    /**
     * Advances by at most one phase.
     *
     * @param running number of requests that were accepted and have not ended
     * @param handedOver whether nothing is left to hand over
     * @return the phase after the call
     */
    public StopPhase onTick(int running, boolean handedOver, long nowNanos) {
        long elapsedNanos = nowNanos - mSinceNanos;
        switch (mPhase) {
            case ANNOUNCED:
                advanceIf(elapsedNanos >= mOptions.acceptNanos(), nowNanos);
                break;
            case FINISHING:
                boolean timedOut = elapsedNanos >= mOptions.finishNanos();
                mAbandoned = timedOut ? running : 0;
                advanceIf(running == 0 || timedOut, nowNanos);
                break;
            case HANDING_OVER:
                advanceIf(handedOver || elapsedNanos >= mOptions.handOverNanos(), nowNanos);
                break;
            case RELEASING:
                advanceIf(true, nowNanos);
                break;
            default:
                break;
        }
        return mPhase;
    }

    /** Returns the current phase. */
    public StopPhase phase() {
        return mPhase;
    }

    /** Begins the stop; has no effect if it has begun already. */
    public void start(long nowNanos) {
        if (mPhase == StopPhase.SERVING) {
            mPhase = StopPhase.ANNOUNCED;
            mSinceNanos = nowNanos;
        }
    }

    private void advanceIf(boolean due, long nowNanos) {
        if (due) {
            mPhase = StopPhase.values()[mPhase.ordinal() + 1];
            mSinceNanos = nowNanos;
        }
    }
}
