package ebonygw.http;

import java.util.Objects;

/**
 * Why a call got no whole answer.
 *
 * @param kind the kind of failure
 * @param sent whether a byte of the request may have been sent
 * @param detail text for people
 */
public record HttpFailure(Kind kind, boolean sent, String detail) {
    /** Kinds of failures. */
    public enum Kind {
        /** The answer broke off after its start. */
        BROKEN,
        /** The call was cancelled by its owner. */
        CANCELLED,
        /** No connection could be opened. */
        CONNECT,
        /** The connection was lost before the answer's start. */
        LOST,
        /** Too many calls wait for a connection. */
        OVERLOADED,
        /** The time limit passed. */
        TIMEOUT
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
