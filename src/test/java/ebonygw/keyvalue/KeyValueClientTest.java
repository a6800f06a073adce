package ebonygw.keyvalue;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall.Compare;
import ebonygw.keyvalue.KeyValueCall.Write;
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

    private final BlockingQueue<KeyValueReply> mResponses = new LinkedBlockingQueue<>();
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
        assertThat(send(create("/a/1", "x"))).isEqualTo(new KeyValueReply.Committed(2, true));
        assertThat(send(create("/a/1", "y"))).isEqualTo(new KeyValueReply.Committed(2, false));

        KeyValueReply response = send(new KeyValueCall.Range("/a/", "/a0", 0));

        assertThat(response)
                .isEqualTo(
                        new KeyValueReply.Found(
                                2,
                                List.of(
                                        new KeyValueReply.Entry(
                                                "/a/1", ByteString.copyFromUtf8("x"), 2, 0)),
                                false));
    }

    @Test
    void aWatchReportsChangesUntilItIsCancelled() throws Exception {
        mClient.call(7, new KeyValueCall.Watch("/a/", "/a0", 1), mResponses::add);
        BlockingQueue<KeyValueReply> writes = new LinkedBlockingQueue<>();
        mClient.call(8, create("/a/1", "x"), writes::add);

        KeyValueReply.Changed changed = (KeyValueReply.Changed) next(mResponses);

        assertThat(changed.entries()).extracting(KeyValueReply.Entry::key).containsExactly("/a/1");
        mClient.call(7, new KeyValueCall.WatchCancel(), mResponses::add);
        assertThat(next(writes)).isInstanceOf(KeyValueReply.Committed.class);
        assertThat(send(create("/a/2", "x"))).isInstanceOf(KeyValueReply.Committed.class);
    }

    @Test
    void aWatchFailsWhenTheServiceGoesDown() throws Exception {
        mClient.call(7, new KeyValueCall.Watch("/a/", "/a0", 1), mResponses::add);
        mClient.call(8, create("/a/1", "x"), response -> {});
        assertThat(next(mResponses)).isInstanceOf(KeyValueReply.Changed.class);

        mService.faults(KeyValueFaults.DOWN);

        assertThat(next(mResponses)).isInstanceOf(KeyValueReply.Failed.class);
    }

    @Test
    void aWriteWhoseResponseIsLostIsReportedAsPossiblyApplied() throws Exception {
        mService.faults(new KeyValueFaults(false, 0, 0, 100));

        KeyValueReply.Failed failed = (KeyValueReply.Failed) send(create("/a/1", "x"));

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
            client.call(1, create("/a/1", "x"), mResponses::add);

            assertThat(next(mResponses)).isEqualTo(new KeyValueReply.Committed(2, true));
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
            client.call(1, create("/a/1", "x"), mResponses::add);

            KeyValueReply.Failed failed = (KeyValueReply.Failed) next(mResponses);
            assertThat(failed.mayHaveTakenEffect()).isFalse();
        }
    }

    @Test
    void leasesAreGrantedKeptAliveAndRevokedWithTheirKeys() throws Exception {
        KeyValueReply.Lease lease = (KeyValueReply.Lease) send(new KeyValueCall.LeaseGrant(60));
        send(
                new KeyValueCall.Transaction(
                        List.of(),
                        List.of(new Write("/l", ByteString.copyFromUtf8("x"), lease.leaseId()))));
        assertThat(send(new KeyValueCall.LeaseKeepAlive(lease.leaseId())))
                .isEqualTo(new KeyValueReply.Lease(lease.leaseId(), 60));

        send(new KeyValueCall.LeaseRevoke(lease.leaseId()));

        KeyValueReply.Found found = (KeyValueReply.Found) send(new KeyValueCall.Range("/l", "", 0));
        assertThat(found.entries()).isEmpty();
        assertThat(send(new KeyValueCall.LeaseKeepAlive(lease.leaseId())))
                .isEqualTo(new KeyValueReply.Lease(lease.leaseId(), 0));
    }

    private KeyValueReply send(KeyValueCall request) throws Exception {
        BlockingQueue<KeyValueReply> responses = new LinkedBlockingQueue<>();
        mClient.call(1, request, responses::add);
        return next(responses);
    }

    private static KeyValueCall create(String key, String value) {
        return new KeyValueCall.Transaction(
                List.of(new Compare(key, 0)),
                List.of(new Write(key, ByteString.copyFromUtf8(value), 0)));
    }

    private static KeyValueReply next(BlockingQueue<KeyValueReply> responses) throws Exception {
        KeyValueReply response = responses.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(response).isNotNull();
        return response;
    }
}
