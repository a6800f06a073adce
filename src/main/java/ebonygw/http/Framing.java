package ebonygw.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of the body of an HTTP response is determined. */
public enum Framing {
    /** By a content length, or the response has no body by its status or the request's method. */
    LENGTH,

    /** By the last chunk. */
    CHUNKED,

    /**
     * By the end of the connection, which alone does not tell a complete body from a broken one.
     */
    CONNECTION_END;

    /** Returns the framing of the response to a request other than HEAD. */
    static Framing of(HttpResponse response) {
        if (response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return HttpUtil.isTransferEncodingChunked(response) ? CHUNKED : CONNECTION_END;
        }
        boolean hasLength =
                response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || response.status().equals(HttpResponseStatus.NO_CONTENT)
                        || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
        return hasLength ? LENGTH : CONNECTION_END;
    }

    /** Returns whether the end is explicit. */
    boolean hasEnd() {
        return this != CONNECTION_END;
    }
}
