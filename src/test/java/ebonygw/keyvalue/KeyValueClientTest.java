package ebonygw.keyvalue;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest.Compare;
import ebonygw.keyvalue.KeyValueRequest.Write;
import ebonygw.standin.KeyValueStandIn;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class KeyValueClientTest {
    private static final long WAIT_SECONDS = 20;

    private final BlockingQueue<KeyValueResponse> mResponses = new LinkedBlockingQueue<>();
    private KeyValueStandIn mService;
    private KeyValueClient mClient;

    @AfterEach
    void stop() {
        mClient.close();
        mService.close();
    }

    @BeforeEach
    void start() throws Exception {
        mService = new KeyValueStandIn(new InetSocketAddress("127.0.0.1", 0), 1);
        mClient = new KeyValueClient(KeyValueClientOptions.of(List.of(mService.endpoint())));
    }

    @Test
    void aTransactionIsAppliedOnlyIfItsConditionsHold() throws Exception {
        assertThat(send(create("/a/1", "x")))
                .isEqualTo(new KeyValueResponse.TransactionResult(2, true));
        assertThat(send(create("/a/1", "y")))
                .isEqualTo(new KeyValueResponse.TransactionResult(2, false));

        KeyValueResponse response = send(new KeyValueRequest.Range("/a/", "/a0", 0));

        assertThat(response)
                .isEqualTo(
                        new KeyValueResponse.RangeResult(
                                2,
                                List.of(
                                        new KeyValueResponse.Entry(
                                                "/a/1", ByteString.copyFromUtf8("x"), 2, 0)),
                                false));
    }

    @Test
    void aWatchReportsChangesUntilItIsCancelled() throws Exception {
        mClient.send(7, new KeyValueRequest.Watch("/a/", "/a0", 1), mResponses::add);
        BlockingQueue<KeyValueResponse> writes = new LinkedBlockingQueue<>();
        mClient.send(8, create("/a/1", "x"), writes::add);

        KeyValueResponse.Changed changed = (KeyValueResponse.Changed) next(mResponses);

        assertThat(changed.entries())
                .extracting(KeyValueResponse.Entry::key)
                .containsExactly("/a/1");
        mClient.send(7, new KeyValueRequest.WatchCancel(), mResponses::add);
        assertThat(next(writes)).isInstanceOf(KeyValueResponse.TransactionResult.class);
        assertThat(send(create("/a/2", "x")))
                .isInstanceOf(KeyValueResponse.TransactionResult.class);
    }

    @Test
    void aWatchFailsWhenTheServiceGoesDown() throws Exception {
        mClient.send(7, new KeyValueRequest.Watch("/a/", "/a0", 1), mResponses::add);
        mClient.send(8, create("/a/1", "x"), response -> {});
        assertThat(next(mResponses)).isInstanceOf(KeyValueResponse.Changed.class);

        mService.setFaults(KeyValueFaults.DOWN);

        assertThat(next(mResponses)).isInstanceOf(KeyValueResponse.Failed.class);
    }

    @Test
    void aWriteWhoseResponseIsLostIsReportedAsPossiblyApplied() throws Exception {
        mService.setFaults(new KeyValueFaults(false, 0, 0, 100));

        KeyValueResponse.Failed failed = (KeyValueResponse.Failed) send(create("/a/1", "x"));

        assertThat(failed.mayHaveTakenEffect()).isTrue();
    }

    @Test
    void aRequestIsSentToTheNextEndpointIfTheFirstIsUnreachable() throws Exception {
        URI unreachable;
        try (ServerSocket socket = new ServerSocket(0)) {
            unreachable = URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
        try (KeyValueClient client =
                new KeyValueClient(
                        KeyValueClientOptions.of(List.of(unreachable, mService.endpoint())))) {
            client.send(1, create("/a/1", "x"), mResponses::add);

            assertThat(next(mResponses)).isEqualTo(new KeyValueResponse.TransactionResult(2, true));
        }
    }

    @Test
    void aWriteThatReachedNoEndpointIsReportedAsNotApplied() throws Exception {
        URI unreachable;
        try (ServerSocket socket = new ServerSocket(0)) {
            unreachable = URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
        try (KeyValueClient client =
                new KeyValueClient(KeyValueClientOptions.of(List.of(unreachable)))) {
            client.send(1, create("/a/1", "x"), mResponses::add);

            KeyValueResponse.Failed failed = (KeyValueResponse.Failed) next(mResponses);
            assertThat(failed.mayHaveTakenEffect()).isFalse();
        }
    }

    @Test
    void leasesAreGrantedKeptAliveAndRevokedWithTheirKeys() throws Exception {
        KeyValueResponse.Lease lease =
                (KeyValueResponse.Lease) send(new KeyValueRequest.LeaseGrant(60));
        send(
                new KeyValueRequest.Transaction(
                        List.of(),
                        List.of(new Write("/l", ByteString.copyFromUtf8("x"), lease.leaseId()))));
        assertThat(send(new KeyValueRequest.LeaseKeepAlive(lease.leaseId())))
                .isEqualTo(new KeyValueResponse.Lease(lease.leaseId(), 60));

        send(new KeyValueRequest.LeaseRevoke(lease.leaseId()));

        KeyValueResponse.RangeResult found =
                (KeyValueResponse.RangeResult) send(new KeyValueRequest.Range("/l", "", 0));
        assertThat(found.entries()).isEmpty();
        assertThat(send(new KeyValueRequest.LeaseKeepAlive(lease.leaseId())))
                .isEqualTo(new KeyValueResponse.Lease(lease.leaseId(), 0));
    }

    private KeyValueResponse send(KeyValueRequest request) throws Exception {
        BlockingQueue<KeyValueResponse> responses = new LinkedBlockingQueue<>();
        mClient.send(1, request, responses::add);
        return next(responses);
    }

    private static KeyValueRequest create(String key, String value) {
        return new KeyValueRequest.Transaction(
                List.of(new Compare(key, 0)),
                List.of(new Write(key, ByteString.copyFromUtf8(value), 0)));
    }

    private static KeyValueResponse next(BlockingQueue<KeyValueResponse> responses)
            throws Exception {
        KeyValueResponse response = responses.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(response).isNotNull();
        return response;
    }
}
