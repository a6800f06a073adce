package ebonygw.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** The header or trailer fields of a response, limited in number. */
final class BoundedHeaders extends DefaultHttpHeaders {
    /** Creates empty fields for a decoder. */
    static final HttpHeadersFactory FACTORY =
            new HttpHeadersFactory() {
                @Override
                public HttpHeaders newHeaders() {
                    return new BoundedHeaders();
                }

                @Override
                public HttpHeaders newEmptyHeaders() {
                    return new BoundedHeaders();
                }
            };

    /**
     * Maximum number of fields, the default of the server for callers. A field of a few bytes on
     * the wire takes many times as much memory.
     */
    private static final int MAX_FIELDS = 200;

    private int mFields;

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        mFields++;
        if (mFields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        return super.add(name, value);
    }
}
