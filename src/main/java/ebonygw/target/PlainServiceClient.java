package ebonygw.target;

import com.google.protobuf.ByteString;
import ebonygw.TargetEffect;
import ebonygw.TargetEvent;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpRequest;
import ebonygw.request.Payload;
import java.io.IOException;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/** A client of a plain HTTP service; each answer passes as it is. */
public final class PlainServiceClient implements TargetClient {
    private final HttpClient mClient;
    private final TargetCalls mCalls;

    /**
     * Creates a client.
     *
     * @param options its options
     * @param events takes events for the control thread, on the client's IO thread
     * @throws NullPointerException if an argument is null
     * @throws IOException if its IO thread cannot be started
     */
    public PlainServiceClient(TargetClientOptions options, Consumer<TargetEvent> events)
            throws IOException {
        Objects.requireNonNull(events, "events");
        mClient = new HttpClient("service-client", options.calls());
        mCalls = new TargetCalls(mClient, events);
    }

    @Override
    public void apply(TargetEffect effect) {
        if (!mClient.execute(() -> applyNow(effect))) {
            mCalls.refuse(effect);
        }
    }

    private void applyNow(TargetEffect effect) {
        if (effect instanceof TargetEffect.Call call) {
            Payload payload = call.work().payload();
            mCalls.start(
                    call,
                    new HttpRequest(
                            payload.method(),
                            payload.path(),
                            TargetCalls.headers(call.work()),
                            payload.body()),
                    new PlainJudge());
        } else if (effect instanceof TargetEffect.CancelCall cancel) {
            mCalls.cancel(cancel.call());
        } else if (effect instanceof TargetEffect.ReadAnswer read) {
            mCalls.read(read);
        }
    }

    @Override
    public void close() {
        mClient.close();
    }

    @Override
    public void start() {}

    /** Takes every answer whose framing is whole. */
    private static final class PlainJudge implements TargetCalls.AnswerJudge {
        @Override
        public void part(ByteString data) {}

        @Override
        public String startFault(int status, Map<String, String> headers) {
            return "";
        }

        @Override
        public long tokensUsed() {
            return -1;
        }

        @Override
        public boolean whole() {
            return true;
        }
    }
}
