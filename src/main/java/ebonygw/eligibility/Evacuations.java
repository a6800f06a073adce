package ebonygw.eligibility;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The data centres that operators have evacuated, and those that get their work back.
 *
 * <p>Not thread-safe.
 */
public final class Evacuations {
    /**
     * Time in which a data centre gets its work back: "a few seconds" by the specification; about
     * 25 times the age of the load reports that the choice of targets relies on.
     */
    public static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Capacity fraction at the end of an evacuation, as after an ejection of a target. */
    private static final double MIN_CAPACITY_FRACTION = 0.1;

    private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;
    private static final double UNIT_OF_53_BITS = 0x1.0p-53;

    private final Map<String, Long> mSinceNanos = new HashMap<>();
    private final Map<String, Long> mReturnNanos = new HashMap<>();

    /** Creates a state without evacuations. */
    public Evacuations() {}

    /** Returns the fraction of the capacity of a data centre to use, above 0 and at most 1. */
    public double capacityFraction(String dataCenter, long nowNanos) {
        Long startNanos = mReturnNanos.isEmpty() ? null : mReturnNanos.get(dataCenter);
        if (startNanos == null) {
            return 1;
        }
        double fraction = (double) (nowNanos - startNanos) / RETURN_NANOS;
        return Math.min(1, Math.max(MIN_CAPACITY_FRACTION, fraction));
    }

    /** Returns whether a data centre is evacuated or does not have all its work back yet. */
    public boolean affects(String dataCenter) {
        return mSinceNanos.containsKey(dataCenter) || mReturnNanos.containsKey(dataCenter);
    }

    /** Returns the number of evacuated data centres. */
    public int count() {
        return mSinceNanos.size();
    }

    /**
     * Returns the evacuated data centres with the time since, and the fractions of returning ones.
     */
    public Map<String, Object> dump(long nowNanos) {
        Map<String, Object> evacuated = new TreeMap<>();
        mSinceNanos.forEach(
                (name, since) ->
                        evacuated.put(name, TimeUnit.NANOSECONDS.toMillis(nowNanos - since)));
        Map<String, Object> returning = new TreeMap<>();
        mReturnNanos.keySet().forEach(it -> returning.put(it, capacityFraction(it, nowNanos)));
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("dataCenters", count());
        dump.put("sinceMillis", evacuated);
        dump.put("returningFraction", returning);
        return dump;
    }

    /**
     * Handles the removal of an evacuation.
     *
     * @return whether the data centre was evacuated
     */
    public boolean onEnded(String dataCenter, long nowNanos) {
        boolean ended = mSinceNanos.remove(dataCenter) != null;
        if (ended) {
            mReturnNanos.put(dataCenter, nowNanos);
        }
        return ended;
    }

    /**
     * Handles the request of an evacuation; one that is in force already goes on.
     *
     * @return whether the data centre was not evacuated before
     */
    public boolean onRequested(String dataCenter, long nowNanos) {
        mReturnNanos.remove(dataCenter);
        return mSinceNanos.putIfAbsent(dataCenter, nowNanos) == null;
    }

    /**
     * Forgets the data centres that have all their work back.
     *
     * @return whether there were any
     */
    public boolean onTick(long nowNanos) {
        return mReturnNanos.values().removeIf(start -> nowNanos - start >= RETURN_NANOS);
    }

    /**
     * Returns whether a request should rather go to other data centres while this one gets its work
     * back. Applies to a fraction of all requests, whatever the number of processes that choose.
     *
     * @param requestHash hash of the request's identifier; equal ones give equal results
     */
    public boolean prefersOthers(long requestHash, String dataCenter, long nowNanos) {
        double fraction = capacityFraction(dataCenter, nowNanos);
        if (fraction >= 1) {
            return false;
        }
        long mixed = (requestHash ^ dataCenter.hashCode()) * GOLDEN_RATIO;
        mixed = (mixed ^ mixed >>> 32) * GOLDEN_RATIO;
        return (mixed >>> 11) * UNIT_OF_53_BITS >= fraction;
    }

    /** Returns since when a data centre is evacuated, empty if it is not. */
    public OptionalLong sinceNanos(String dataCenter) {
        Long since = mSinceNanos.isEmpty() ? null : mSinceNanos.get(dataCenter);
        return since == null ? OptionalLong.empty() : OptionalLong.of(since);
    }
}
