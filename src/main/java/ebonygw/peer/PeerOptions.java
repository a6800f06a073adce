package ebonygw.peer;

import java.util.concurrent.TimeUnit;

/**
 * Limits and timeouts of the links to other processes.
 *
 * @param connectTimeoutNanos maximum time to open a connection and exchange hellos
 * @param keepAliveNanos interval of the check that sends a keep-alive message on each link without
 *     a write since the previous check, and closes idle links
 * @param idleTimeoutNanos time without a read after which a link counts as lost at the next check
 * @param initialBackoffNanos maximum delay before the second connection attempt
 * @param maxBackoffNanos maximum delay between connection attempts
 * @param maxMessageBytes maximum size of a received message
 * @param maxQueuedMessages maximum number of queued messages; a link that exceeds it is closed
 * @param maxQueuedBytes maximum number of encoded bytes waiting to be written; a link that exceeds
 *     it is closed
 */
public record PeerOptions(
        long connectTimeoutNanos,
        long keepAliveNanos,
        long idleTimeoutNanos,
        long initialBackoffNanos,
        long maxBackoffNanos,
        int maxMessageBytes,
        int maxQueuedMessages,
        int maxQueuedBytes) {
    private static final long CONNECT_TIMEOUT_MILLIS = 3_000;
    private static final long KEEP_ALIVE_MILLIS = 400;
    private static final long IDLE_TIMEOUT_MILLIS = 2_000;
    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 1_000;
    private static final int MAX_MESSAGE_BYTES = 32 << 20;
    private static final int MAX_QUEUED_MESSAGES = 1 << 16;
    private static final int MAX_QUEUED_BYTES = 64 << 20;

    /**
     * Creates options.
     *
     * @throws IllegalArgumentException if a value is not positive, or {@code idleTimeoutNanos} is
     *     not greater than twice {@code keepAliveNanos}
     */
    public PeerOptions {
        requirePositive(connectTimeoutNanos, "connectTimeoutNanos");
        requirePositive(keepAliveNanos, "keepAliveNanos");
        requirePositive(initialBackoffNanos, "initialBackoffNanos");
        requirePositive(maxBackoffNanos, "maxBackoffNanos");
        requirePositive(maxMessageBytes, "maxMessageBytes");
        requirePositive(maxQueuedMessages, "maxQueuedMessages");
        requirePositive(maxQueuedBytes, "maxQueuedBytes");
        // A message written just after a check delays the next keep-alive by almost two intervals.
        if (idleTimeoutNanos <= 2 * keepAliveNanos) {
            throw new IllegalArgumentException(
                    "idleTimeoutNanos must exceed twice keepAliveNanos: "
                            + idleTimeoutNanos
                            + " <= 2 * "
                            + keepAliveNanos);
        }
    }

    /** Returns the default options. */
    public static PeerOptions defaults() {
        return new PeerOptions(
                TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(KEEP_ALIVE_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(IDLE_TIMEOUT_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(INITIAL_BACKOFF_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(MAX_BACKOFF_MILLIS),
                MAX_MESSAGE_BYTES,
                MAX_QUEUED_MESSAGES,
                MAX_QUEUED_BYTES);
    }

    /** Returns a copy with other limits of the send queue of a link. */
    public PeerOptions withMaxQueued(int messages, int bytes) {
        return new PeerOptions(
                connectTimeoutNanos,
                keepAliveNanos,
                idleTimeoutNanos,
                initialBackoffNanos,
                maxBackoffNanos,
                maxMessageBytes,
                messages,
                bytes);
    }

    /** Returns a copy with another keep-alive interval and idle timeout, in nanoseconds. */
    public PeerOptions withIdle(long keepAlive, long idleTimeout) {
        return new PeerOptions(
                connectTimeoutNanos,
                keepAlive,
                idleTimeout,
                initialBackoffNanos,
                maxBackoffNanos,
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
