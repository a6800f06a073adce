package ebonygw.caller;

import ebonygw.protocol.NodeId;
import java.util.Objects;
import java.util.Optional;
import javax.net.ssl.SSLContext;

/**
 * Options of a {@link CallerServer}.
 *
 * @param node name of this process, part of request ids
 * @param incarnation incarnation of this process, part of request ids
 * @param address IP address to listen on
 * @param port port to listen on, from 0 to 65535; 0 selects a free port
 * @param tls TLS context, empty for plain HTTP
 * @param ioThreads number of IO threads
 * @param maxExchanges maximum number of open requests
 * @param maxBodyBytes maximum length of a request body
 * @param maxBufferedBytes maximum total length of the bodies of all open requests
 * @param maxHeaderBytes maximum length of a request header
 * @param bodyTimeoutNanos time limit for receiving a complete request body, in nanoseconds
 * @param writeTimeoutNanos maximum time in which the caller reads no byte of a pending response, in
 *     nanoseconds
 * @param defaultMaxTokens maximum tokens of a completion whose request gives no limit
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
     * @throws IllegalArgumentException if a numeric option is out of its range
     */
    public CallerOptions {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(tls, "tls");
        if (port < 0 || port > 0xFFFF) {
            throw new IllegalArgumentException("port must be from 0 to 65535: " + port);
        }
        if (ioThreads < 1
                || maxExchanges < 1
                || maxBodyBytes < 1
                || maxBufferedBytes < 1
                || maxHeaderBytes < 1
                || bodyTimeoutNanos < 1
                || writeTimeoutNanos < 1
                || defaultMaxTokens < 1) {
            throw new IllegalArgumentException(
                    "numeric options of the caller server must be positive: ioThreads="
                            + ioThreads
                            + ", maxExchanges="
                            + maxExchanges
                            + ", maxBodyBytes="
                            + maxBodyBytes
                            + ", maxBufferedBytes="
                            + maxBufferedBytes
                            + ", maxHeaderBytes="
                            + maxHeaderBytes
                            + ", bodyTimeoutNanos="
                            + bodyTimeoutNanos
                            + ", writeTimeoutNanos="
                            + writeTimeoutNanos
                            + ", defaultMaxTokens="
                            + defaultMaxTokens);
        }
    }

    /** Returns options with the default limits and without TLS. */
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

    /** Returns a copy with other time limits. */
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

    /** Returns a copy with other limits of open requests and request bodies. */
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

    /** Returns a copy with TLS. */
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
