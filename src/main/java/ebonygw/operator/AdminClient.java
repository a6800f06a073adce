package ebonygw.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import ebonygw.keyvalue.HttpExchanges;
import java.io.Closeable;
import java.io.IOException;
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
    private static final int MAX_ANSWER_BYTES = 256 * 1024 * 1024;

    private final URI mEndpoint;
    private final String mToken;
    private final HttpExchanges mExchanges = new HttpExchanges();

    AdminClient(URI endpoint, String token) throws IOException {
        mEndpoint = Objects.requireNonNull(endpoint, "endpoint");
        mToken = Objects.requireNonNull(token, "token");
    }

    @Override
    public void close() {
        mExchanges.close();
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
        byte[] bytes = body == null ? new byte[0] : MAPPER.writeValueAsBytes(body);
        CompletableFuture<AdminReply> reply = new CompletableFuture<>();
        mExchanges.send(
                new HttpExchanges.Request(
                        mEndpoint,
                        method,
                        path,
                        Map.of("Authorization", "Bearer " + mToken),
                        bytes,
                        TIMEOUT_NANOS,
                        MAX_ANSWER_BYTES),
                new Listener(reply, body != null));
        try {
            return reply.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private record Listener(CompletableFuture<AdminReply> reply, boolean writes)
            implements HttpExchanges.Listener {
        @Override
        public void answered(int status, byte[] body) {
            try {
                reply.complete(new AdminReply(status, MAPPER.readTree(body)));
            } catch (IOException e) {
                reply.completeExceptionally(e);
            }
        }

        @Override
        public void failed(boolean sent, String detail) {
            String effect =
                    sent && writes ? "; the change may have taken effect" : "; nothing was changed";
            reply.completeExceptionally(
                    new IOException("no answer from the administration API: " + detail + effect));
        }
    }
}
