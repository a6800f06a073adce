package ebonygw.quarantine;

import java.util.concurrent.TimeUnit;

/**
 * Limits of a {@link PartQuarantine}. All times are positive and in nanoseconds.
 *
 * @param crashNanos maximum age of a response whose target ends under it for that to count against
 *     its parts; older responses were bystanders
 * @param survivalNanos age from which a response counts for its parts
 * @param crashes number of crashed targets from which a part is blocked
 * @param survivalsPerCrash number of survivals that outweigh one crashed target
 * @param survivalWindowNanos how long a survival counts at least; twice as long at most
 * @param memoryNanos how long a survival tells its part from others with the same crashes; twice as
 *     long as a block at least, so that it is known for as long as those crashes are
 * @param evidenceNanos how long a crash counts unless it leads to a block; as long as survivals
 * @param settleNanos time after a crash in which survivals that other entries have seen arrive; no
 *     part is blocked within it
 * @param endNanos maximum time between the end of a response and the news that its target has ended
 * @param blockNanos how long a part stays blocked after the last crash under it
 * @param forgetNanos time after the last crash under a part until it is forgotten
 * @param maxParts maximum number of combinations of parts to remember
 */
public record QuarantineOptions(
        long crashNanos,
        long survivalNanos,
        int crashes,
        int survivalsPerCrash,
        long survivalWindowNanos,
        long memoryNanos,
        long evidenceNanos,
        long settleNanos,
        long endNanos,
        long blockNanos,
        long forgetNanos,
        int maxParts) {
    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a number is not positive
     */
    public QuarantineOptions {
        if (Math.min(crashes, Math.min(survivalsPerCrash, maxParts)) < 1
                || Math.min(crashNanos, Math.min(survivalNanos, memoryNanos)) < 1
                || Math.min(survivalWindowNanos, Math.min(evidenceNanos, settleNanos)) < 1
                || Math.min(endNanos, Math.min(blockNanos, forgetNanos)) < 1) {
            throw new IllegalArgumentException("all options must be positive");
        }
    }

    /**
     * Returns options for replicas that begin to respond within half a second and whose
     * registrations end within six seconds of a crash.
     */
    public static QuarantineOptions defaults() {
        return new QuarantineOptions(
                TimeUnit.MILLISECONDS.toNanos(500),
                TimeUnit.SECONDS.toNanos(1),
                3,
                2,
                TimeUnit.SECONDS.toNanos(30),
                TimeUnit.MINUTES.toNanos(20),
                TimeUnit.SECONDS.toNanos(60),
                TimeUnit.MILLISECONDS.toNanos(400),
                TimeUnit.SECONDS.toNanos(6),
                TimeUnit.MINUTES.toNanos(10),
                TimeUnit.HOURS.toNanos(1),
                256);
    }
}
