package ebonygw.peer;

import java.util.random.RandomGenerator;

/** Computes the delay between connection attempts: exponential backoff with jitter. */
final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private Backoff() {}

    /**
     * Returns the delay before the next attempt, uniformly distributed between half the bound and
     * the bound. The bound doubles with each failure.
     *
     * @param failures number of consecutive failures, from 1
     * @param initialNanos bound after the first failure
     * @param maxNanos maximum bound
     * @param random source of the jitter
     */
    static long waitNanos(int failures, long initialNanos, long maxNanos, RandomGenerator random) {
        int doublings = Math.min(Math.max(failures, 1) - 1, MAX_DOUBLINGS);
        long bound = Math.min(initialNanos << doublings, maxNanos);
        return bound / 2 + random.nextLong(bound / 2 + 1);
    }
}
