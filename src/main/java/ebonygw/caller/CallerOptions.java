package ebonygw.caller;

import ebonygw.protocol.NodeId;
import java.util.Objects;
import java.util.Optional;
import javax.net.ssl.SSLContext;

/**
 * Options of the server for callers.
 *
 * @param node name of this process, part of request identifiers
 * @param incarnation incarnation of this process, part of request identifiers
 * @param address IP number to listen on
 * @param port port to listen on, 0 for a free one
 * @param tls context for TLS, empty for plain HTTP
 * @param ioThreads IO threads
 * @param maxExchanges most requests at once
 * @param maxBodyBytes longest body of a request
 * @param maxBufferedBytes most bytes of requests' bodies at once
 * @param maxHeaderBytes longest header of a request
 * @param bodyTimeoutNanos time limit for sending a whole body, in nanoseconds
 * @param writeTimeoutNanos time limit for taking any byte of a waiting answer, in nanoseconds
 * @param defaultMaxTokens tokens of an answer whose request names no limit
 */
public record CallerOptions(
        NodeId node,
        long incarnation,
        String address,
        int port,
        Optional<SSLContext> tls,
        int ioThreads,
        int maxExchanges,
        int maxBodyBytes,
        long maxBufferedBytes,
        int maxHeaderBytes,
        long bodyTimeoutNanos,
        long writeTimeoutNanos,
        long defaultMaxTokens) {
    private static final int IO_THREADS = 2;
    private static final int MAX_EXCHANGES = 4096;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long MAX_BUFFERED_BYTES = 256L << 20;
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final long BODY_TIMEOUT_NANOS = 10_000_000_000L;
    private static final long WRITE_TIMEOUT_NANOS = 30_000_000_000L;
    private static final long DEFAULT_MAX_TOKENS = 256;

    /**
     * Creates options.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a bound is not positive or the port is out of range
     */
    public CallerOptions {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(tls, "tls");
        if (port < 0 || port > 0xFFFF) {
            throw new IllegalArgumentException("port " + port + " is out of range");
        }
        if (ioThreads < 1
                || maxExchanges < 1
                || maxBodyBytes < 1
                || maxBufferedBytes < 1
                || maxHeaderBytes < 1
                || bodyTimeoutNanos < 1
                || writeTimeoutNanos < 1
                || defaultMaxTokens < 1) {
            throw new IllegalArgumentException("bounds of the caller server must be positive");
        }
    }

    /** Returns options with usual bounds and without TLS. */
    public static CallerOptions of(NodeId node, long incarnation, String address, int port) {
        return new CallerOptions(
                node,
                incarnation,
                address,
                port,
                Optional.empty(),
                IO_THREADS,
                MAX_EXCHANGES,
                MAX_BODY_BYTES,
                MAX_BUFFERED_BYTES,
                MAX_HEADER_BYTES,
                BODY_TIMEOUT_NANOS,
                WRITE_TIMEOUT_NANOS,
                DEFAULT_MAX_TOKENS);
    }

    /** Returns the same options with other limits of time. */
    public CallerOptions withTimeouts(long bodyNanos, long writeNanos) {
        return new CallerOptions(
                node,
                incarnation,
                address,
                port,
                tls,
                ioThreads,
                maxExchanges,
                maxBodyBytes,
                maxBufferedBytes,
                maxHeaderBytes,
                bodyNanos,
                writeNanos,
                defaultMaxTokens);
    }

    /** Returns the same options with other limits of size. */
    public CallerOptions withLimits(int exchanges, int bodyBytes, long bufferedBytes) {
        return new CallerOptions(
                node,
                incarnation,
                address,
                port,
                tls,
                ioThreads,
                exchanges,
                bodyBytes,
                bufferedBytes,
                maxHeaderBytes,
                bodyTimeoutNanos,
                writeTimeoutNanos,
                defaultMaxTokens);
    }

    /** Returns the same options with TLS. */
    public CallerOptions withTls(SSLContext context) {
        return new CallerOptions(
                node,
                incarnation,
                address,
                port,
                Optional.of(context),
                ioThreads,
                maxExchanges,
                maxBodyBytes,
                maxBufferedBytes,
                maxHeaderBytes,
                bodyTimeoutNanos,
                writeTimeoutNanos,
                defaultMaxTokens);
    }
}
