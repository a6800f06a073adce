package ebonygw.caller;

import com.google.protobuf.ByteString;
import ebonygw.EntryEffect;
import ebonygw.gateway.AttemptTerms;
import ebonygw.gateway.GatewayEvent;
import ebonygw.gateway.GatewayHeaders;
import ebonygw.gateway.GatewayRequest;
import ebonygw.http.HttpAnswerSink;
import ebonygw.http.HttpCall;
import ebonygw.http.HttpFailure;
import ebonygw.request.Refusal;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One forwarded request: its caller on one side, the present attempt on the other.
 *
 * <p>Answers of success, and failures of the caller's own making, go through as they come. Failures
 * of the target are held back until it is decided whether another attempt follows. Used on the IO
 * thread only, but for {@link #refuse}.
 */
final class GatewayExchange {
    /** Longest failure that is held back; those of targets have short bodies. */
    private static final int MOST_HELD_BYTES = 256 * 1024;

    /** Answer parts that may wait for the caller before reading from the target pauses. */
    private static final int MOST_UNSENT_PARTS = 64;

    private static final int SERVER_ERROR = 500;

    /** Sends an attempt. */
    @FunctionalInterface
    interface Sender {
        /** Sends an attempt whose answer goes to the sink. */
        HttpCall send(GatewayRequest request, AttemptTerms terms, HttpAnswerSink sink);
    }

    private final CallerExchange mCaller;
    private final GatewayHeaders mHeaders;
    private final Sender mSender;
    private final Consumer<GatewayEvent> mEvents;
    private HttpCall mCall;
    private Attempt mAttempt;
    private int mUnsent;
    private boolean mPaused;

    GatewayExchange(
            CallerExchange caller,
            GatewayHeaders headers,
            Sender sender,
            Consumer<GatewayEvent> events) {
        mCaller = caller;
        mHeaders = headers;
        mSender = sender;
        mEvents = events;
    }

    /** Ends the present attempt; nothing more is heard of it. */
    void cancel() {
        if (mAttempt != null) {
            mAttempt.mOver = true;
        }
        if (mCall != null) {
            mCall.cancel();
            mCall = null;
        }
    }

    /** Refuses the request, or breaks the answer off; may be called from any thread. */
    void refuse(Refusal refusal) {
        mCaller.offer(new EntryEffect.Refused(mCaller.number(), refusal));
    }

    /** Passes the failure on that was held back. */
    void relay() {
        Attempt held = mAttempt;
        long number = mCaller.number();
        mCaller.offer(new EntryEffect.AnswerStarted(number, held.mStatus, held.mFields));
        if (!held.mHeld.isEmpty()) {
            mCaller.offer(new EntryEffect.AnswerPart(number, held.mHeld));
        }
        mCaller.offer(new EntryEffect.AnswerEnded(number));
    }

    /** Starts an attempt. */
    void send(GatewayRequest request, AttemptTerms terms) {
        mAttempt = new Attempt(request.id(), terms.number());
        mCall = mSender.send(request, terms, mAttempt);
    }

    /** Notes that the caller took parts of the answer. */
    void took(int parts) {
        mUnsent -= parts;
        if (mPaused && mUnsent < MOST_UNSENT_PARTS / 2 && mCall != null) {
            mPaused = false;
            mCall.reading(true);
        }
    }

    /** The answer of one attempt. */
    private final class Attempt implements HttpAnswerSink {
        private final String mRequestId;
        private final int mNumber;
        private boolean mOver;
        private boolean mPassing;
        private boolean mNotRun;
        private int mStatus;
        private Map<String, String> mFields = Map.of();
        private GatewayHeaders.Answer mAnswer;
        private ByteString mHeld = ByteString.EMPTY;

        Attempt(String requestId, int number) {
            mRequestId = requestId;
            mNumber = number;
        }

        @Override
        public void ended() {
            if (mOver) {
                return;
            }
            mOver = true;
            mCall = null;
            long number = mCaller.number();
            if (mPassing) {
                mCaller.offer(new EntryEffect.AnswerEnded(number));
                mEvents.accept(new GatewayEvent.AnswerEnded(number, mNumber));
            } else {
                mEvents.accept(
                        new GatewayEvent.AnswerHeld(
                                number, mNumber, mStatus, !mNotRun, mAnswer.load()));
            }
        }

        @Override
        public void failed(HttpFailure failure) {
            fail(
                    failure.sent(),
                    failure.kind() == HttpFailure.Kind.TIMEOUT,
                    failure.kind() + ": " + failure.detail());
        }

        @Override
        public void part(ByteString data) {
            if (mOver) {
                return;
            }
            if (!mPassing) {
                mHeld = mHeld.concat(data);
                if (mHeld.size() > MOST_HELD_BYTES) {
                    abort("answer of status " + mStatus + " is too long");
                }
                return;
            }
            mCaller.offer(new EntryEffect.AnswerPart(mCaller.number(), data));
            mUnsent++;
            if (!mPaused && mUnsent > MOST_UNSENT_PARTS) {
                mPaused = true;
                mCall.reading(false);
            }
        }

        @Override
        public void started(int status, Map<String, String> headers) {
            if (mOver) {
                return;
            }
            mStatus = status;
            mFields = headers;
            mAnswer = mHeaders.answer(status, headers);
            mNotRun = mAnswer.notRun();
            if (!mAnswer.requestId().isEmpty() && !mAnswer.requestId().equals(mRequestId)) {
                abort("answer of another request");
                return;
            }
            mPassing = !mNotRun && status < SERVER_ERROR;
            if (mPassing) {
                long number = mCaller.number();
                mCaller.offer(new EntryEffect.AnswerStarted(number, status, headers));
                mEvents.accept(
                        new GatewayEvent.AnswerStarted(number, mNumber, status, mAnswer.load()));
            }
        }

        private void abort(String detail) {
            HttpCall call = mCall;
            fail(true, false, detail);
            if (call != null) {
                call.cancel();
            }
        }

        private void fail(boolean mayHaveRun, boolean late, String detail) {
            if (mOver) {
                return;
            }
            mOver = true;
            mCall = null;
            mEvents.accept(
                    new GatewayEvent.AttemptFailed(
                            mCaller.number(), mNumber, mayHaveRun, mPassing, late, detail));
        }
    }
}
