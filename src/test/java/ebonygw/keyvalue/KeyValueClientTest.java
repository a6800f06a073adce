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

    private final BlockingQueue<KeyValueReply> mReplies = new LinkedBlockingQueue<>();
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
    void aTransactionWritesOnlyWhereItsConditionHolds() throws Exception {
        assertThat(call(create("/a/1", "x"))).isEqualTo(new KeyValueReply.Committed(2, true));
        assertThat(call(create("/a/1", "y"))).isEqualTo(new KeyValueReply.Committed(2, false));

        KeyValueReply found = call(new KeyValueCall.Range("/a/", "/a0", 0));

        assertThat(found)
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
        mClient.call(7, new KeyValueCall.Watch("/a/", "/a0", 1), mReplies::add);
        BlockingQueue<KeyValueReply> writes = new LinkedBlockingQueue<>();
        mClient.call(8, create("/a/1", "x"), writes::add);

        KeyValueReply.Changed changed = (KeyValueReply.Changed) next(mReplies);

        assertThat(changed.entries()).extracting(KeyValueReply.Entry::key).containsExactly("/a/1");
        mClient.call(7, new KeyValueCall.WatchCancel(), mReplies::add);
        assertThat(next(writes)).isInstanceOf(KeyValueReply.Committed.class);
        assertThat(call(create("/a/2", "x"))).isInstanceOf(KeyValueReply.Committed.class);
    }

    @Test
    void aWatchOfAServiceThatGoesDownFails() throws Exception {
        mClient.call(7, new KeyValueCall.Watch("/a/", "/a0", 1), mReplies::add);
        mClient.call(8, create("/a/1", "x"), reply -> {});
        assertThat(next(mReplies)).isInstanceOf(KeyValueReply.Changed.class);

        mService.faults(KeyValueFaults.DOWN);

        assertThat(next(mReplies)).isInstanceOf(KeyValueReply.Failed.class);
    }

    @Test
    void aLostAnswerIsReportedAsPossiblyInForce() throws Exception {
        mService.faults(new KeyValueFaults(false, 0, 0, 100));

        KeyValueReply.Failed failed = (KeyValueReply.Failed) call(create("/a/1", "x"));

        assertThat(failed.mayHaveTakenEffect()).isTrue();
    }

    @Test
    void aDeadEndpointIsPassedOver() throws Exception {
        URI dead;
        try (ServerSocket socket = new ServerSocket(0)) {
            dead = URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
        try (KeyValueClient client =
                new KeyValueClient(KeyValueClientOptions.of(List.of(dead, mService.endpoint())))) {
            client.call(1, create("/a/1", "x"), mReplies::add);

            assertThat(next(mReplies)).isEqualTo(new KeyValueReply.Committed(2, true));
        }
    }

    @Test
    void aCallToNoEndpointHasSurelyNoEffect() throws Exception {
        URI dead;
        try (ServerSocket socket = new ServerSocket(0)) {
            dead = URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
        try (KeyValueClient client = new KeyValueClient(KeyValueClientOptions.of(List.of(dead)))) {
            client.call(1, create("/a/1", "x"), mReplies::add);

            KeyValueReply.Failed failed = (KeyValueReply.Failed) next(mReplies);
            assertThat(failed.mayHaveTakenEffect()).isFalse();
        }
    }

    @Test
    void leasesAreGrantedKeptAndRevokedWithTheirKeys() throws Exception {
        KeyValueReply.Lease lease = (KeyValueReply.Lease) call(new KeyValueCall.LeaseGrant(60));
        call(
                new KeyValueCall.Transaction(
                        List.of(),
                        List.of(new Write("/l", ByteString.copyFromUtf8("x"), lease.leaseId()))));
        assertThat(call(new KeyValueCall.LeaseKeepAlive(lease.leaseId())))
                .isEqualTo(new KeyValueReply.Lease(lease.leaseId(), 60));

        call(new KeyValueCall.LeaseRevoke(lease.leaseId()));

        KeyValueReply.Found found = (KeyValueReply.Found) call(new KeyValueCall.Range("/l", "", 0));
        assertThat(found.entries()).isEmpty();
        assertThat(call(new KeyValueCall.LeaseKeepAlive(lease.leaseId())))
                .isEqualTo(new KeyValueReply.Lease(lease.leaseId(), 0));
    }

    private KeyValueReply call(KeyValueCall call) throws Exception {
        BlockingQueue<KeyValueReply> replies = new LinkedBlockingQueue<>();
        mClient.call(1, call, replies::add);
        return next(replies);
    }

    private static KeyValueCall create(String key, String value) {
        return new KeyValueCall.Transaction(
                List.of(new Compare(key, 0)),
                List.of(new Write(key, ByteString.copyFromUtf8(value), 0)));
    }

    private static KeyValueReply next(BlockingQueue<KeyValueReply> replies) throws Exception {
        KeyValueReply reply = replies.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(reply).isNotNull();
        return reply;
    }
}
