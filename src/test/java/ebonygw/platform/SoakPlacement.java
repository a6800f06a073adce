package ebonygw.platform;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Where requests may run, and a check of the requests that reach replicas.
 *
 * <p>Thread-safe.
 */
final class SoakPlacement {
    /** Data centres, and the region of each. */
    static final List<String> ZONES = List.of("z1", "z2");

    static final List<String> REGIONS = List.of("r1", "r2");

    /** Bound for the effect of an acknowledged evacuation. */
    static final long EVACUATE_MILLIS = 5_000;

    /** Bound for applying an acknowledged configuration. */
    private static final long APPLY_MILLIS = 3_000;

    private static final Rule NONE = new Rule("", System.nanoTime());

    private final SoakRecorder mRecorder;
    private volatile Rule mEvacuated = NONE;
    private volatile Rule mAllowed = NONE;

    SoakPlacement(SoakRecorder recorder) {
        mRecorder = recorder;
    }

    /** A data centre or region, empty for none, and when the store had acknowledged it. */
    private record Rule(String place, long sinceNanos) {
        boolean isInForce(long boundMillis) {
            long ageNanos = System.nanoTime() - sinceNanos;
            return !place.isEmpty() && ageNanos > TimeUnit.MILLISECONDS.toNanos(boundMillis);
        }
    }

    String evacuated() {
        return mEvacuated.place();
    }

    /** Sets the evacuated data centre, empty for none; to be called once the store has it. */
    void setEvacuated(String zone) {
        mEvacuated = new Rule(zone, System.nanoTime());
    }

    String allowed() {
        return mAllowed.place();
    }

    /** Sets the only region of idempotent requests, empty for any, before it is published. */
    void setAllowed(String region) {
        mAllowed = new Rule(region, System.nanoTime());
    }

    /** Starts the bound of the allowed region, once the store has it. */
    void onPublished() {
        mAllowed = new Rule(mAllowed.place(), System.nanoTime());
    }

    /**
     * Checks a request that reaches a replica.
     *
     * @param location index of the replica's data centre and region
     * @param inTouch whether the processes have been undisturbed for the contact bound
     */
    void check(String id, String kind, int location, boolean inTouch) {
        if (!inTouch) {
            return;
        }
        Rule evacuated = mEvacuated;
        if (evacuated.isInForce(EVACUATE_MILLIS) && evacuated.place().equals(ZONES.get(location))) {
            mRecorder.recordViolation("request " + id + " reached an evacuated data centre");
        }
        Rule allowed = mAllowed;
        if (kind.equals(SoakCaller.IDEMPOTENT)
                && allowed.isInForce(APPLY_MILLIS)
                && !allowed.place().equals(REGIONS.get(location))) {
            mRecorder.recordViolation("request " + id + " reached a region that is not allowed");
        }
    }
}
