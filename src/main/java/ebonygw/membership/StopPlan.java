package ebonygw.membership;

import java.util.Objects;

/**
 * Decides the phases of a planned stop of an entry or target process.
 *
 * <p>{@code RELEASING} is seen once, so that the node acts on it and then exits. Not thread-safe.
 */
public final class StopPlan {
    private final StopOptions mOptions;
    private StopPhase mPhase = StopPhase.SERVING;
    private long mSinceNanos;
    private int mAbandoned;

    /**
     * Creates a plan.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public StopPlan(StopOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
    }

    /**
     * Returns how many requests still ran when the time for finishing was over; not 0 means that
     * the stop was not graceful and has to be logged so.
     */
    public int abandoned() {
        return mAbandoned;
    }

    /** Returns whether new work is to be refused as not run. */
    public boolean isRefusing() {
        return mPhase.compareTo(StopPhase.FINISHING) >= 0;
    }

    /** Returns whether a stop was asked for. */
    public boolean isStopping() {
        return mPhase != StopPhase.SERVING;
    }

    /**
     * Moves on by at most one phase.
     *
     * @param running requests taken and not ended
     * @param handedOver whether nothing is left to hand over
     * @param nowNanos the present time
     * @return the phase now
     */
    public StopPhase onTick(int running, boolean handedOver, long nowNanos) {
        long elapsedNanos = nowNanos - mSinceNanos;
        switch (mPhase) {
            case ANNOUNCED:
                moveIf(elapsedNanos >= mOptions.acceptNanos(), nowNanos);
                break;
            case FINISHING:
                boolean late = elapsedNanos >= mOptions.finishNanos();
                mAbandoned = late ? running : 0;
                moveIf(running == 0 || late, nowNanos);
                break;
            case HANDING_OVER:
                moveIf(handedOver || elapsedNanos >= mOptions.handOverNanos(), nowNanos);
                break;
            case RELEASING:
                moveIf(true, nowNanos);
                break;
            default:
                break;
        }
        return mPhase;
    }

    /** Returns the present phase. */
    public StopPhase phase() {
        return mPhase;
    }

    /** Begins the stop; a second call changes nothing. */
    public void start(long nowNanos) {
        if (mPhase == StopPhase.SERVING) {
            mPhase = StopPhase.ANNOUNCED;
            mSinceNanos = nowNanos;
        }
    }

    private void moveIf(boolean due, long nowNanos) {
        if (due) {
            mPhase = StopPhase.values()[mPhase.ordinal() + 1];
            mSinceNanos = nowNanos;
        }
    }
}
