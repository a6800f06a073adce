package ebonygw.http;

import java.util.Objects;

/**
 * Why a request got no complete response.
 *
 * @param kind the kind of failure
 * @param sent whether any byte of the request may have been sent
 * @param detail explanation for logs and error responses
 */
public record HttpFailure(Kind kind, boolean sent, String detail) {
    /** Kinds of failures. */
    public enum Kind {
        /** The response started but did not end properly. */
        BROKEN,
        /** The caller cancelled the request, or the client was closed. */
        CANCELLED,
        /** No connection could be opened. */
        CONNECT,
        /** The connection was lost before the response started. */
        LOST,
        /** Too many requests are waiting for a connection. */
        OVERLOADED,
        /** The request timed out. */
        TIMEOUT,
        /** The request was taken back while it waited for a connection. */
        WITHDRAWN
    }

    /**
     * Creates a failure.
     *
     * @throws NullPointerException if an argument is null
     */
    public HttpFailure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }
}
