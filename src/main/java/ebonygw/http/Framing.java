package ebonygw.http;

/** How the end of the body of an HTTP response is determined. */
public enum Framing {
    /** By a content length, or the response has no body by its status or the request's method. */
    LENGTH,

    /** By the last chunk. */
    CHUNKED,

    /**
     * By the end of the connection, which alone does not tell a complete body from a broken one.
     */
    CONNECTION_END
}
