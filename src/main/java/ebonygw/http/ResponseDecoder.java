package ebonygw.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the responses on one connection, each part of a response within a limit. */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Maximum length of a status line or of the line before a chunk, the decoder's default. */
    private static final int MAX_LINE_BYTES = HttpObjectDecoder.DEFAULT_MAX_INITIAL_LINE_LENGTH;

    private boolean mHeadRequest;

    /**
     * Creates a decoder.
     *
     * @param maxHeadBytes maximum length of the header fields of a response, and of its trailer
     */
    ResponseDecoder(int maxHeadBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(maxHeadBytes)
                        .setHeadersFactory(BoundedHeaders.FACTORY)
                        .setTrailersFactory(BoundedHeaders.FACTORY));
    }

    /** Prepares for the response to a request; one to a HEAD request has no body. */
    void expectResponse(String method) {
        mHeadRequest = method.equals("HEAD");
    }

    /** Returns the number of bytes received that belong to no decoded part yet. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
