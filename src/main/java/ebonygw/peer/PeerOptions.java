package ebonygw.peer;

import java.util.concurrent.TimeUnit;

/**
 * Bounds and times of the links to other processes.
 *
 * @param connectTimeoutNanos longest time to open a connection and exchange hellos
 * @param keepAliveNanos after how long without a write a sign of life is written
 * @param idleTimeoutNanos after how long without a read a link counts as lost
 * @param backoffFirstNanos longest wait before the second attempt to connect
 * @param backoffMostNanos longest wait between attempts to connect
 * @param maxMessageBytes largest message that is read
 * @param maxQueuedMessages most messages that wait for a link before it is closed
 * @param maxQueuedBytes most encoded bytes that wait for a link before it is closed
 */
public record PeerOptions(
        long connectTimeoutNanos,
        long keepAliveNanos,
        long idleTimeoutNanos,
        long backoffFirstNanos,
        long backoffMostNanos,
        int maxMessageBytes,
        int maxQueuedMessages,
        int maxQueuedBytes) {
    private static final long CONNECT_TIMEOUT_MILLIS = 3_000;
    private static final long KEEP_ALIVE_MILLIS = 400;
    private static final long IDLE_TIMEOUT_MILLIS = 2_000;
    private static final long BACKOFF_FIRST_MILLIS = 50;
    private static final long BACKOFF_MOST_MILLIS = 1_000;
    private static final int MAX_MESSAGE_BYTES = 32 << 20;
    private static final int MAX_QUEUED_MESSAGES = 1 << 16;
    private static final int MAX_QUEUED_BYTES = 64 << 20;

    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a bound is not positive, or the idle timeout is not
     *     greater than the time between signs of life
     */
    public PeerOptions {
        requirePositive(connectTimeoutNanos, "connectTimeoutNanos");
        requirePositive(keepAliveNanos, "keepAliveNanos");
        requirePositive(backoffFirstNanos, "backoffFirstNanos");
        requirePositive(backoffMostNanos, "backoffMostNanos");
        requirePositive(maxMessageBytes, "maxMessageBytes");
        requirePositive(maxQueuedMessages, "maxQueuedMessages");
        requirePositive(maxQueuedBytes, "maxQueuedBytes");
        if (idleTimeoutNanos <= keepAliveNanos) {
            throw new IllegalArgumentException("idleTimeoutNanos must exceed keepAliveNanos");
        }
    }

    /** Returns the defaults. */
    public static PeerOptions defaults() {
        return new PeerOptions(
                TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(KEEP_ALIVE_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(IDLE_TIMEOUT_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(BACKOFF_FIRST_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(BACKOFF_MOST_MILLIS),
                MAX_MESSAGE_BYTES,
                MAX_QUEUED_MESSAGES,
                MAX_QUEUED_BYTES);
    }

    /** Returns the same options with other bounds of what waits for a link. */
    public PeerOptions withMaxQueued(int messages, int bytes) {
        return new PeerOptions(
                connectTimeoutNanos,
                keepAliveNanos,
                idleTimeoutNanos,
                backoffFirstNanos,
                backoffMostNanos,
                maxMessageBytes,
                messages,
                bytes);
    }

    /** Returns the same options with other times of signs of life. */
    public PeerOptions withIdle(long keepAlive, long idleTimeout) {
        return new PeerOptions(
                connectTimeoutNanos,
                keepAlive,
                idleTimeout,
                backoffFirstNanos,
                backoffMostNanos,
                maxMessageBytes,
                maxQueuedMessages,
                maxQueuedBytes);
    }

    private static void requirePositive(long value, String name) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }
}
