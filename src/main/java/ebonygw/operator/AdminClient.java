package ebonygw.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import ebonygw.http.HttpAnswerSink;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpFailure;
import ebonygw.http.HttpRequest;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/** Client of the administration API, for the command line. Blocks. */
final class AdminClient implements Closeable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private final String mToken;
    private final HttpClient mClient;

    /**
     * Creates a client.
     *
     * @throws IllegalArgumentException if the endpoint is not {@code http://HOST:PORT}
     * @throws IOException if its thread cannot be started
     */
    AdminClient(URI endpoint, String token) throws IOException {
        mToken = Objects.requireNonNull(token, "token");
        if (!"http".equals(endpoint.getScheme()) || endpoint.getPort() < 0) {
            throw new IllegalArgumentException("not of the form http://HOST:PORT: " + endpoint);
        }
        InetSocketAddress server = new InetSocketAddress(endpoint.getHost(), endpoint.getPort());
        mClient = new HttpClient("administration", HttpClientOptions.of(server));
    }

    @Override
    public void close() {
        mClient.close();
    }

    /**
     * Sends a request and waits for its reply.
     *
     * @param method HTTP method
     * @param path path and query
     * @param body the body, null for none
     * @throws IOException if there is no reply; says whether the request may have taken effect
     */
    AdminReply send(String method, String path, JsonNode body) throws IOException {
        ByteString bytes =
                body == null
                        ? ByteString.EMPTY
                        : ByteString.copyFrom(MAPPER.writeValueAsBytes(body));
        Map<String, String> headers =
                Map.of("authorization", "Bearer " + mToken, "content-type", "application/json");
        Sink sink = new Sink(body != null);
        mClient.send(new HttpRequest(method, path, headers, bytes), TIMEOUT_NANOS, sink);
        try {
            return sink.mReply.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static final class Sink implements HttpAnswerSink {
        private final CompletableFuture<AdminReply> mReply = new CompletableFuture<>();
        private final boolean mWrites;
        private ByteString mBody = ByteString.EMPTY;
        private int mStatus;

        Sink(boolean writes) {
            mWrites = writes;
        }

        @Override
        public void ended() {
            try {
                mReply.complete(new AdminReply(mStatus, MAPPER.readTree(mBody.toByteArray())));
            } catch (IOException e) {
                mReply.completeExceptionally(e);
            }
        }

        @Override
        public void failed(HttpFailure failure) {
            boolean effect = failure.sent() && mWrites;
            mReply.completeExceptionally(
                    new IOException(
                            "no answer from the administration API: "
                                    + failure.detail()
                                    + (effect
                                            ? "; the change may have taken effect"
                                            : "; nothing was changed")));
        }

        @Override
        public void part(ByteString data) {
            mBody = mBody.concat(data);
        }

        @Override
        public void started(int status, Map<String, String> headers) {
            mStatus = status;
        }
    }
}
