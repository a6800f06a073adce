package ebonygw.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import ebonygw.http.BodySummary;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpFailure;
import ebonygw.http.HttpRequest;
import ebonygw.http.HttpResponseHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/** Blocking client of the administration API, for the command line. */
final class AdminClient implements Closeable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    // Longer than the server's own timeout, so that its timeout response arrives.
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private final String mToken;
    private final HttpClient mClient;

    /**
     * Creates a client.
     *
     * @throws IllegalArgumentException if the endpoint is not {@code http://HOST:PORT}
     * @throws IOException if the HTTP client cannot be created
     */
    AdminClient(URI endpoint, String token) throws IOException {
        mToken = Objects.requireNonNull(token, "token");
        if (!"http".equals(endpoint.getScheme()) || endpoint.getPort() < 0) {
            throw new IllegalArgumentException(
                    "invalid URL of the administration API, expected http://HOST:PORT: "
                            + endpoint);
        }
        InetSocketAddress server = new InetSocketAddress(endpoint.getHost(), endpoint.getPort());
        mClient = new HttpClient("administration", HttpClientOptions.of(server));
    }

    @Override
    public void close() {
        mClient.close();
    }

    /**
     * Sends a request and waits for the response.
     *
     * @param method HTTP method
     * @param path path and query
     * @param body request body, null if there is none
     * @throws IOException if no response arrives; its message states whether the change may have
     *     taken effect
     */
    AdminResponse send(String method, String path, JsonNode body) throws IOException {
        ByteString bytes =
                body == null
                        ? ByteString.EMPTY
                        : ByteString.copyFrom(MAPPER.writeValueAsBytes(body));
        Map<String, String> headers =
                Map.of("authorization", "Bearer " + mToken, "content-type", "application/json");
        ResponseCollector collector = new ResponseCollector(body != null);
        mClient.send(new HttpRequest(method, path, headers, bytes), TIMEOUT_NANOS, collector);
        try {
            return collector.mResponse.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Collects the parts of a response; the future completes when the response has ended. */
    private static final class ResponseCollector implements HttpResponseHandler {
        private final CompletableFuture<AdminResponse> mResponse = new CompletableFuture<>();
        private final boolean mIsChange;
        private ByteString mBody = ByteString.EMPTY;
        private int mStatus;

        ResponseCollector(boolean isChange) {
            mIsChange = isChange;
        }

        @Override
        public void ended(BodySummary body) {
            try {
                mResponse.complete(
                        new AdminResponse(mStatus, MAPPER.readTree(mBody.toByteArray())));
            } catch (IOException e) {
                mResponse.completeExceptionally(e);
            }
        }

        @Override
        public void failed(HttpFailure failure) {
            boolean mayHaveTakenEffect = failure.sent() && mIsChange;
            mResponse.completeExceptionally(
                    new IOException(
                            "no response from the administration API: "
                                    + failure.detail()
                                    + (mayHaveTakenEffect
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
