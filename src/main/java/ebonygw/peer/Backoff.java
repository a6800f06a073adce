package ebonygw.peer;

import java.util.random.RandomGenerator;

/** Computes the jittered wait between attempts to connect. */
final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private Backoff() {}

    /**
     * Returns the wait before an attempt: uniform between half of and the whole bound, which
     * doubles with each failure.
     *
     * @param failures failures in a row so far, from 1
     * @param firstNanos bound after the first failure
     * @param mostNanos greatest bound
     * @param random source of the jitter
     */
    static long waitNanos(int failures, long firstNanos, long mostNanos, RandomGenerator random) {
        int doublings = Math.min(Math.max(failures, 1) - 1, MAX_DOUBLINGS);
        long bound = Math.min(firstNanos << doublings, mostNanos);
        return bound / 2 + random.nextLong(bound / 2 + 1);
    }
}
