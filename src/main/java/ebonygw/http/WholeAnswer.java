package ebonygw.http;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/** Collects a short answer up to a bound and hands it on as one value. */
public final class WholeAnswer implements HttpAnswerSink {
    private static final int NO_STATUS = 0;

    private final int mMaxBytes;
    private final Consumer<WholeAnswer> mDone;
    private int mStatus = NO_STATUS;
    private Map<String, String> mHeaders = Map.of();
    private boolean mSent = true;
    private boolean mWhole;
    private String mFault = "";
    private ByteString mBody = ByteString.EMPTY;

    /**
     * Creates a collector.
     *
     * @param maxBytes longest body; a longer one counts as a failure
     * @param done hears of the end exactly once, on the client's IO thread
     * @throws NullPointerException if {@code done} is null
     */
    public WholeAnswer(int maxBytes, Consumer<WholeAnswer> done) {
        mMaxBytes = maxBytes;
        mDone = Objects.requireNonNull(done, "done");
    }

    /** Returns the body, what came of it if the answer is not whole. */
    public ByteString body() {
        return mBody;
    }

    @Override
    public void ended() {
        mWhole = mFault.isEmpty();
        mDone.accept(this);
    }

    @Override
    public void failed(HttpFailure failure) {
        mFault = failure.kind() + ": " + failure.detail();
        mSent = failure.sent();
        mDone.accept(this);
    }

    /** Returns text on why there is no good answer, empty if there is one. */
    public String fault() {
        if (!mFault.isEmpty()) {
            return mFault;
        }
        return ok() ? "" : "status " + mStatus;
    }

    /** Returns the answer's header fields, names in lower case; none if no answer started. */
    public Map<String, String> headers() {
        return mHeaders;
    }

    /** Returns whether the answer is whole, whatever its status. */
    public boolean isWhole() {
        return mWhole;
    }

    /** Returns whether a byte of the request may have been sent. */
    public boolean mayHaveBeenSent() {
        return mSent;
    }

    /** Returns whether a whole answer with a status of success came. */
    public boolean ok() {
        return mWhole && mStatus / 100 == 2;
    }

    @Override
    public void part(ByteString data) {
        if (mBody.size() + data.size() > mMaxBytes) {
            mFault = "the answer is longer than " + mMaxBytes + " bytes";
        } else {
            mBody = mBody.concat(data);
        }
    }

    @Override
    public void started(int status, Map<String, String> headers) {
        mStatus = status;
        mHeaders = headers;
    }

    /** Returns the HTTP status, 0 if no answer started. */
    public int status() {
        return mStatus;
    }
}
