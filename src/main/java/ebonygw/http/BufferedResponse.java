package ebonygw.http;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/** Collects a response with a body of bounded length and reports it once it has ended. */
public final class BufferedResponse implements HttpResponseHandler {
    private static final int NO_STATUS = 0;

    private final int mMaxBytes;
    private final Consumer<BufferedResponse> mOnDone;
    private int mStatus = NO_STATUS;
    private Map<String, String> mHeaders = Map.of();
    private boolean mMayHaveBeenSent = true;
    private boolean mComplete;
    private String mFault = "";
    private ByteString mBody = ByteString.EMPTY;

    /**
     * Creates a handler of one response.
     *
     * @param maxBytes maximum length of the body; a longer one counts as a failure
     * @param onDone called exactly once with this object, on the client's IO thread, when the
     *     response is complete or has failed
     * @throws NullPointerException if {@code onDone} is null
     */
    public BufferedResponse(int maxBytes, Consumer<BufferedResponse> onDone) {
        mMaxBytes = maxBytes;
        mOnDone = Objects.requireNonNull(onDone, "onDone");
    }

    /** Returns the body, or the part of it that was received if the response is not complete. */
    public ByteString body() {
        return mBody;
    }

    @Override
    public void ended(BodySummary body) {
        mComplete = true;
        mOnDone.accept(this);
    }

    @Override
    public void failed(HttpFailure failure) {
        mFault = failure.kind() + ": " + failure.detail();
        mMayHaveBeenSent = failure.sent();
        mOnDone.accept(this);
    }

    /** Returns why the request did not succeed, empty if it did. */
    public String fault() {
        if (!mFault.isEmpty()) {
            return mFault;
        }
        return ok() ? "" : "status " + mStatus;
    }

    /** Returns the response's header fields, names in lower case; empty if no response started. */
    public Map<String, String> headers() {
        return mHeaders;
    }

    /** Returns whether the response is complete, whatever its status. */
    public boolean isComplete() {
        return mComplete;
    }

    @Override
    public long maxBodyBytes() {
        return mMaxBytes;
    }

    /** Returns whether any byte of the request may have been sent. */
    public boolean mayHaveBeenSent() {
        return mMayHaveBeenSent;
    }

    /** Returns whether the response is complete and has a 2xx status. */
    public boolean ok() {
        return mComplete && mStatus / 100 == 2;
    }

    @Override
    public void part(ByteString data) {
        mBody = mBody.concat(data);
    }

    @Override
    public void started(int status, Map<String, String> headers) {
        mStatus = status;
        mHeaders = headers;
    }

    /** Returns the HTTP status, 0 if no response started. */
    public int status() {
        return mStatus;
    }
}
