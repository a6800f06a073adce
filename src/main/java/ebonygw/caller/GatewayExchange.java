package ebonygw.caller;

import com.google.protobuf.ByteString;
import ebonygw.EntryEffect;
import ebonygw.gateway.AttemptTerms;
import ebonygw.gateway.GatewayEvent;
import ebonygw.gateway.GatewayHeaders;
import ebonygw.gateway.GatewayRequest;
import ebonygw.gateway.TargetNotice;
import ebonygw.http.BodySummary;
import ebonygw.http.HttpCall;
import ebonygw.http.HttpFailure;
import ebonygw.http.HttpResponseHandler;
import ebonygw.log.LogLine;
import ebonygw.request.Refusal;
import ebonygw.request.Verdict;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One forwarded request: connects its caller with the current attempt.
 *
 * <p>Responses with a status below 500 are forwarded as they arrive. Server errors, responses that
 * report that the request has not run, and those that callers would take for such a report, are
 * held back until the control thread decides whether to make another attempt. Used on the IO thread
 * only, except {@link #refuse}.
 */
final class GatewayExchange {
    /** Maximum body length of a held-back response; error responses of targets are short. */
    private static final int MAX_HELD_BYTES = 256 * 1024;

    /**
     * Maximum number of response parts not yet consumed by the caller; above it, reading pauses.
     */
    private static final int MAX_UNSENT_PARTS = 64;

    private static final int STATUS_CLASS = 100;
    private static final int SUCCESS_CLASS = 2;
    private static final int SERVER_ERROR = 500;

    /** Sends attempts to targets. */
    @FunctionalInterface
    interface Sender {
        /** Sends an attempt; the handler receives its response. */
        HttpCall send(GatewayRequest request, AttemptTerms terms, HttpResponseHandler handler);
    }

    private final CallerExchange mCaller;
    private final GatewayHeaders mHeaders;
    private final Sender mSender;
    private final Consumer<GatewayEvent> mEvents;
    private HttpCall mCall;
    private Attempt mAttempt;
    private int mUnsentParts;
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

    /** Cancels the current attempt, which reports no further events. */
    void cancel() {
        if (mAttempt != null) {
            mAttempt.mDone = true;
        }
        if (mCall != null) {
            mCall.cancel();
            mCall = null;
        }
    }

    /** Records that the caller consumed parts of the response; resumes reading if it was paused. */
    void onPartsConsumed(int parts) {
        mUnsentParts -= parts;
        if (mPaused && mUnsentParts < MAX_UNSENT_PARTS / 2 && mCall != null) {
            mPaused = false;
            mCall.setReading(true);
        }
    }

    /** Refuses the request, or aborts its response if that has started; thread-safe. */
    void refuse(Refusal refusal) {
        mCaller.offer(new EntryEffect.Refused(mCaller.exchangeId(), refusal));
    }

    /** Forwards the response that was held back. */
    void relayHeldResponse() {
        Attempt held = mAttempt;
        long exchangeId = mCaller.exchangeId();
        mCaller.offer(
                new EntryEffect.ResponseStarted(exchangeId, held.mStatus, held.mResponseHeaders));
        if (!held.mHeldBody.isEmpty()) {
            mCaller.offer(new EntryEffect.ResponsePart(exchangeId, held.mHeldBody));
        }
        mCaller.offer(new EntryEffect.ResponseEnded(exchangeId));
    }

    /** Starts a new attempt. */
    void send(GatewayRequest request, AttemptTerms terms) {
        mAttempt = new Attempt(terms.number());
        try {
            mCall = mSender.send(request, terms, mAttempt);
        } catch (RuntimeException cause) {
            // Without an event the request would have no end.
            LogLine.of("attempt_not_sent")
                    .with("request", request.id())
                    .with("target", terms.instance())
                    .with("address", terms.address())
                    .error(cause);
            mAttempt.fail(true, false, false, "cannot be sent: " + cause);
        }
    }

    /** Handles the response to one attempt. */
    private final class Attempt implements HttpResponseHandler {
        private final int mAttemptNumber;
        private boolean mDone;
        private boolean mForwarding;
        private boolean mNotRun;
        private int mStatus;
        private Map<String, String> mResponseHeaders = Map.of();
        private GatewayHeaders.ResponseHead mResponseHead;
        private ByteString mHeldBody = ByteString.EMPTY;

        Attempt(int attemptNumber) {
            mAttemptNumber = attemptNumber;
        }

        @Override
        public void ended(BodySummary body) {
            if (mDone) {
                return;
            }
            mDone = true;
            mCall = null;
            long exchangeId = mCaller.exchangeId();
            if (mForwarding) {
                mCaller.offer(new EntryEffect.ResponseEnded(exchangeId));
                mEvents.accept(new GatewayEvent.ResponseEnded(exchangeId, mAttemptNumber, body));
            } else {
                mEvents.accept(
                        new GatewayEvent.ResponseHeld(
                                exchangeId,
                                mAttemptNumber,
                                mStatus,
                                !mNotRun,
                                mResponseHead.load(),
                                mResponseHead.limit()));
            }
        }

        @Override
        public void failed(HttpFailure failure) {
            fail(
                    failure.sent(),
                    failure.kind() == HttpFailure.Kind.TIMEOUT,
                    failure.kind() == HttpFailure.Kind.WITHDRAWN,
                    failure.kind() + ": " + failure.detail());
        }

        @Override
        public void part(ByteString data) {
            if (mDone) {
                return;
            }
            if (!mForwarding) {
                mHeldBody = mHeldBody.concat(data);
                if (mHeldBody.size() > MAX_HELD_BYTES) {
                    abort("answer of status " + mStatus + " is too long");
                }
                return;
            }
            mCaller.offer(new EntryEffect.ResponsePart(mCaller.exchangeId(), data));
            mUnsentParts++;
            if (!mPaused && mUnsentParts > MAX_UNSENT_PARTS) {
                mPaused = true;
                mCall.setReading(false);
            }
        }

        @Override
        public void started(int status, Map<String, String> headers) {
            if (mDone) {
                return;
            }
            mStatus = status;
            mResponseHeaders = headers;
            mResponseHead = mHeaders.parseResponse(status, headers);
            mNotRun = mResponseHead.notRun();
            boolean success = status / STATUS_CLASS == SUCCESS_CLASS;
            if (success && !mResponseHead.signed()) {
                abort("success without signature");
                return;
            }
            if (!mResponseHead.notice().equals(TargetNotice.NONE)) {
                mEvents.accept(
                        new GatewayEvent.TargetNoticed(
                                mCaller.exchangeId(), mAttemptNumber, mResponseHead.notice()));
            }
            mForwarding = !mNotRun && status < SERVER_ERROR && !Verdict.isNotRunStatus(status);
            if (mForwarding) {
                long exchangeId = mCaller.exchangeId();
                mCaller.offer(new EntryEffect.ResponseStarted(exchangeId, status, headers));
                mEvents.accept(
                        new GatewayEvent.ResponseStarted(
                                exchangeId,
                                mAttemptNumber,
                                status,
                                mResponseHead.load(),
                                mResponseHead.limit()));
            }
        }

        private void abort(String detail) {
            HttpCall call = mCall;
            fail(true, false, false, detail);
            if (call != null) {
                call.cancel();
            }
        }

        private void fail(boolean mayHaveRun, boolean timedOut, boolean withdrawn, String detail) {
            if (mDone) {
                return;
            }
            mDone = true;
            mCall = null;
            mEvents.accept(
                    new GatewayEvent.AttemptFailed(
                            mCaller.exchangeId(),
                            mAttemptNumber,
                            mayHaveRun,
                            mForwarding,
                            timedOut,
                            withdrawn,
                            detail));
        }
    }
}
