package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.http.HttpClient;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.PrefixMirror;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.XnioWorker;

/** Mirrors of the store behind connections that stay open and no longer carry anything. */
class SilentStoreTest {
    private static final long TICK_MILLIS = 50;

    /** Bound of the platform for applying an acknowledged change. */
    private static final long APPLY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final BlockingQueue<Reply> mReplies = new LinkedBlockingQueue<>();
    private final KeyValueRequestIds mRequestIds = new KeyValueRequestIds(1);
    private final List<PrefixMirror> mMirrors =
            List.of(
                    new PrefixMirror("op/", mRequestIds),
                    new PrefixMirror("servers/", mRequestIds));
    private StoreStandIn mStore;
    private SoakProxy mProxy;
    private XnioWorker mWorker;
    private StoreClient mClient;

    private record Reply(long requestId, KeyValueResponse response) {}

    @BeforeEach
    void start() throws Exception {
        mStore = new StoreStandIn();
        mProxy = new SoakProxy("127.0.0.1", 0, mStore.address());
        mWorker = HttpClient.createWorker("test");
        mClient =
                new StoreClient(
                        mWorker,
                        mProxy.address(),
                        PlatformMain.entryWatchTimes(PlatformSettings.parse("")));
    }

    @AfterEach
    void stop() throws Exception {
        mWorker.shutdown();
        mProxy.close();
        mStore.close();
    }

    // Guards against a change that waits until each silent connection of a pool has timed out.
    @ParameterizedTest
    @CsvSource({"1, 1100", "3, 1600", "5, 1300", "8, 1900", "5, 20"})
    void aChangeIsSeenInTimeAlthoughAllOpenConnectionsAreSilent(
            int connections, long silentAfterMillis) throws Exception {
        run(TimeUnit.SECONDS.toNanos(1), "");
        openConnections(connections);
        mStore.put("servers/a", "v");
        run(TimeUnit.MILLISECONDS.toNanos(silentAfterMillis), "");
        mProxy.silence();
        run(TimeUnit.MILLISECONDS.toNanos(100), "");
        mStore.put("op/config", "v");

        assertThat(run(4 * APPLY_NANOS, "op/config")).isLessThan(APPLY_NANOS);
    }

    private void openConnections(int count) throws InterruptedException {
        CountDownLatch responses = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            mClient.send(
                    mRequestIds.next(),
                    new KeyValueRequest.Range("none/", "none0", 0),
                    response -> responses.countDown());
        }
        assertThat(responses.await(5, TimeUnit.SECONDS)).isTrue();
    }

    /** Drives the mirrors for a time or until a key changes; returns how long that took. */
    private long run(long nanos, String key) throws InterruptedException {
        Outbox out = new ClientOutbox();
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < nanos) {
            mMirrors.forEach(mirror -> mirror.onTick(System.nanoTime(), out));
            Reply reply = mReplies.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
            if (reply != null) {
                mMirrors.forEach(
                        mirror ->
                                mirror.onResponse(
                                        reply.requestId(), reply.response(), System.nanoTime()));
            }
            for (PrefixMirror mirror : mMirrors) {
                if (mirror.drainChanges().stream().anyMatch(it -> it.key().equals(key))) {
                    return System.nanoTime() - startNanos;
                }
            }
        }
        return nanos;
    }

    private final class ClientOutbox implements Outbox {
        @Override
        public void sendKeyValueRequest(long requestId, KeyValueRequest call) {
            mClient.send(requestId, call, response -> mReplies.add(new Reply(requestId, response)));
        }

        @Override
        public void send(NodeId to, Message message) {
            throw new AssertionError("unexpected message " + message);
        }
    }
}
