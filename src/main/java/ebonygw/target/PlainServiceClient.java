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

/** A client of a plain HTTP service; forwards each response unchanged. */
public final class PlainServiceClient implements TargetClient {
    private final HttpClient mClient;
    private final TargetRequests mRequests;

    /**
     * Creates a client.
     *
     * @param events receives events for the control thread; invoked on the client's IO thread, or
     *     on the thread of {@link #apply} after the client was closed
     * @throws NullPointerException if an argument is null
     * @throws IOException if the IO thread cannot be started
     */
    public PlainServiceClient(TargetClientOptions options, Consumer<TargetEvent> events)
            throws IOException {
        Objects.requireNonNull(events, "events");
        mClient = new HttpClient("service-client", options.http());
        mRequests = new TargetRequests(mClient, events);
    }

    @Override
    public void apply(TargetEffect effect) {
        if (!mClient.execute(() -> applyOnIoThread(effect))) {
            mRequests.refuse(effect);
        }
    }

    private void applyOnIoThread(TargetEffect effect) {
        if (effect instanceof TargetEffect.SendRequest send) {
            Payload payload = send.work().payload();
            mRequests.start(
                    send,
                    new HttpRequest(
                            payload.method(),
                            payload.path(),
                            TargetRequests.headers(send.work()),
                            payload.body()),
                    new PlainValidator());
        } else if (effect instanceof TargetEffect.CancelRequest cancel) {
            mRequests.cancel(cancel.correlationId());
        } else if (effect instanceof TargetEffect.SetResponseReading read) {
            mRequests.setReading(read);
        }
    }

    @Override
    public void close() {
        mClient.close();
    }

    @Override
    public void start() {}

    /** Accepts every response whose HTTP framing is complete. */
    private static final class PlainValidator implements TargetRequests.ResponseValidator {
        @Override
        public void part(ByteString data) {}

        @Override
        public String headFault(int status, Map<String, String> headers) {
            return "";
        }

        @Override
        public long tokensUsed() {
            return -1;
        }

        @Override
        public boolean isComplete() {
            return true;
        }
    }
}
