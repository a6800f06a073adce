package ebonygw.target;

import com.google.protobuf.ByteString;
import ebonygw.TargetEffect;
import ebonygw.TargetEvent;
import ebonygw.http.HttpAnswerSink;
import ebonygw.http.HttpCall;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpFailure;
import ebonygw.http.HttpRequest;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The requests that run at a target, by the number of their call.
 *
 * <p>Used on the client's IO thread.
 */
final class TargetCalls {
    /** Judges the answers of one kind of target. */
    interface AnswerJudge {
        /** Looks at the next bytes of the answer. */
        void part(ByteString data);

        /** Returns text on why the start is no answer to pass on, empty if it is one. */
        String startFault(int status, Map<String, String> headers);

        /** Returns tokens used by prompt and answer, -1 if not known. */
        long tokensUsed();

        /** Returns whether the answer is whole once its connection says so. */
        boolean whole();
    }

    private final HttpClient mClient;
    private final Consumer<TargetEvent> mEvents;
    private final Map<Long, HttpCall> mCalls = new HashMap<>();

    TargetCalls(HttpClient client, Consumer<TargetEvent> events) {
        mClient = client;
        mEvents = events;
    }

    /** Cancels a call, which still ends with an event. */
    void cancel(long number) {
        HttpCall call = mCalls.get(number);
        if (call != null) {
            call.cancel();
        }
    }

    /** Pauses or resumes reading an answer. */
    void read(TargetEffect.ReadAnswer effect) {
        HttpCall call = mCalls.get(effect.call());
        if (call != null) {
            call.reading(effect.reading());
        }
    }

    /** Ends a call that came after the client was closed; not on the IO thread. */
    void refuse(TargetEffect effect) {
        if (effect instanceof TargetEffect.Call call) {
            Refusal refusal = Refusal.notRun(RefusalCode.STOPPING, "the client is closed");
            mEvents.accept(new TargetEvent.AnswerFailed(call.call(), refusal));
        }
    }

    /** Sends a request. */
    void start(TargetEffect.Call call, HttpRequest request, AnswerJudge judge) {
        Sink sink = new Sink(call.call(), judge);
        HttpCall started = mClient.prepare(request, call.timeoutNanos(), sink);
        sink.mCall = started;
        mCalls.put(call.call(), started);
        mClient.send(started);
    }

    /** Returns the header fields that tell a target about a request. */
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
                    case CONNECT -> RefusalCode.UNAVAILABLE;
                    case LOST -> RefusalCode.LOST;
                    case OVERLOADED -> RefusalCode.OVERLOADED;
                    case TIMEOUT -> RefusalCode.DEADLINE;
                    default -> throw new IllegalStateException("unknown " + failure.kind());
                };
        Verdict verdict = failure.sent() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return new Refusal(code, verdict, failure.detail(), 0);
    }

    /** Turns one answer into events; used on the client's IO thread. */
    private final class Sink implements HttpAnswerSink {
        private final long mNumber;
        private final AnswerJudge mJudge;
        private HttpCall mCall;
        private boolean mFailed;

        Sink(long number, AnswerJudge judge) {
            mNumber = number;
            mJudge = judge;
        }

        @Override
        public void ended() {
            if (mFailed) {
                return;
            }
            if (mJudge.whole()) {
                mCalls.remove(mNumber);
                mEvents.accept(new TargetEvent.AnswerEnded(mNumber, mJudge.tokensUsed()));
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
                mJudge.part(data);
                mEvents.accept(new TargetEvent.AnswerPart(mNumber, data));
            }
        }

        @Override
        public void started(int status, Map<String, String> headers) {
            String fault = mJudge.startFault(status, headers);
            if (fault.isEmpty()) {
                mEvents.accept(new TargetEvent.AnswerStarted(mNumber, status, headers));
            } else {
                fail(Refusal.mayHaveRun(RefusalCode.BAD_ANSWER, fault));
                mCall.cancel();
            }
        }

        private void fail(Refusal refusal) {
            if (!mFailed) {
                mFailed = true;
                mCalls.remove(mNumber);
                mEvents.accept(new TargetEvent.AnswerFailed(mNumber, refusal));
            }
        }
    }
}
