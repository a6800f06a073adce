package ebonygw.target;

import com.google.protobuf.ByteString;
import ebonygw.TargetEffect;
import ebonygw.TargetEvent;
import ebonygw.http.BodySummary;
import ebonygw.http.HttpCall;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpFailure;
import ebonygw.http.HttpRequest;
import ebonygw.http.HttpResponseHandler;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The open requests to a target, by correlation id.
 *
 * <p>Used on the client's IO thread, except for {@link #refuse}.
 */
final class TargetRequests {
    /** Checks one response; each kind of target has its own implementation. */
    interface ResponseValidator {
        /** Consumes the next bytes of the response body. */
        void part(ByteString data);

        /** Returns why the response must not be forwarded, empty if it may be. */
        String headFault(int status, Map<String, String> headers);

        /** Returns the tokens used by prompt and completion, -1 if not known. */
        long tokensUsed();

        /** Returns whether the content is complete; valid after the HTTP framing has ended. */
        boolean isComplete();
    }

    private final HttpClient mClient;
    private final Consumer<TargetEvent> mEvents;
    private final Map<Long, HttpCall> mOpen = new HashMap<>();

    TargetRequests(HttpClient client, Consumer<TargetEvent> events) {
        mClient = client;
        mEvents = events;
    }

    /** Cancels a request; an event still reports its end. */
    void cancel(long correlationId) {
        HttpCall call = mOpen.get(correlationId);
        if (call != null) {
            call.cancel();
        }
    }

    /** Pauses or resumes reading a response. */
    void setReading(TargetEffect.SetResponseReading effect) {
        HttpCall call = mOpen.get(effect.correlationId());
        if (call != null) {
            call.setReading(effect.reading());
        }
    }

    /** Fails a request that arrives after the client was closed; runs on the invoking thread. */
    void refuse(TargetEffect effect) {
        if (effect instanceof TargetEffect.SendRequest request) {
            Refusal refusal = Refusal.notRun(RefusalCode.STOPPING, "the client is closed");
            mEvents.accept(new TargetEvent.RequestFailed(request.correlationId(), refusal));
        }
    }

    /** Sends a request. */
    void start(TargetEffect.SendRequest effect, HttpRequest request, ResponseValidator validator) {
        Sink sink = new Sink(effect.correlationId(), validator);
        HttpCall call = mClient.prepare(request, effect.timeoutNanos(), sink);
        sink.mCall = call;
        mOpen.put(effect.correlationId(), call);
        mClient.send(call);
    }

    /** Returns the header fields of a request, with its id, attempt number and customer. */
    static Map<String, String> headers(Work work) {
        Map<String, String> headers = new HashMap<>(work.payload().headers());
        headers.put("x-request-id", work.id().toString());
        headers.put("x-request-attempt", Integer.toString(work.attempt()));
        if (!work.customer().isEmpty()) {
            headers.put("x-customer", work.customer());
        }
        return headers;
    }

    private static Refusal refusal(HttpFailure failure) {
        RefusalCode code =
                switch (failure.kind()) {
                    case BROKEN -> RefusalCode.BROKEN_ANSWER;
                    case CANCELLED -> RefusalCode.CANCELLED;
                    case CONNECT, WITHDRAWN -> RefusalCode.UNAVAILABLE;
                    case LOST -> RefusalCode.LOST;
                    case OVERLOADED -> RefusalCode.OVERLOADED;
                    case TIMEOUT -> RefusalCode.DEADLINE;
                    default ->
                            throw new IllegalStateException(
                                    "unexpected failure kind " + failure.kind());
                };
        Verdict verdict = failure.sent() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return new Refusal(code, verdict, failure.detail(), 0);
    }

    /** Converts one response to events; used on the client's IO thread. */
    private final class Sink implements HttpResponseHandler {
        private final long mCorrelationId;
        private final ResponseValidator mValidator;
        private HttpCall mCall;
        private boolean mFailed;

        Sink(long correlationId, ResponseValidator validator) {
            mCorrelationId = correlationId;
            mValidator = validator;
        }

        @Override
        public void ended(BodySummary body) {
            if (mFailed) {
                return;
            }
            if (mValidator.isComplete()) {
                mOpen.remove(mCorrelationId);
                mEvents.accept(
                        new TargetEvent.ResponseEnded(mCorrelationId, mValidator.tokensUsed()));
            } else {
                fail(Refusal.mayHaveRun(RefusalCode.BROKEN_ANSWER, "the answer is not whole"));
            }
        }

        @Override
        public void failed(HttpFailure failure) {
            fail(refusal(failure));
        }

        @Override
        public void part(ByteString data) {
            if (!mFailed) {
                mValidator.part(data);
                mEvents.accept(new TargetEvent.ResponsePart(mCorrelationId, data));
            }
        }

        @Override
        public void started(int status, Map<String, String> headers) {
            String fault = mValidator.headFault(status, headers);
            if (fault.isEmpty()) {
                mEvents.accept(new TargetEvent.ResponseStarted(mCorrelationId, status, headers));
            } else {
                fail(Refusal.mayHaveRun(RefusalCode.BAD_ANSWER, fault));
                mCall.cancel();
            }
        }

        private void fail(Refusal refusal) {
            if (!mFailed) {
                mFailed = true;
                mOpen.remove(mCorrelationId);
                mEvents.accept(new TargetEvent.RequestFailed(mCorrelationId, refusal));
            }
        }
    }
}
