package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.http.HttpClient;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

class StoreClientTest {
    private final BlockingQueue<KeyValueReply> mReplies = new LinkedBlockingQueue<>();
    private StoreStandIn mStore;
    private XnioWorker mWorker;
    private StoreClient mClient;
    private long mCallId;

    @BeforeEach
    void start() throws IOException {
        mStore = new StoreStandIn();
        mWorker = HttpClient.worker("test");
        mClient =
                new StoreClient(
                        mWorker,
                        mStore.address(),
                        new StoreClient.WatchTimes(200, 1_000_000_000L, 0));
    }

    @AfterEach
    void stop() {
        mWorker.shutdown();
        mStore.close();
    }

    private void call(KeyValueCall call) {
        mClient.call(++mCallId, call, mReplies::add);
    }

    private KeyValueReply reply() throws InterruptedException {
        KeyValueReply reply = mReplies.poll(10, TimeUnit.SECONDS);
        assertThat(reply).isNotNull();
        return reply;
    }

    private static KeyValueCall write(String key, long modRevision) {
        return new KeyValueCall.Transaction(
                List.of(new KeyValueCall.Compare(key, modRevision)),
                List.of(new KeyValueCall.Write(key, ByteString.copyFromUtf8("v"), 0)));
    }

    @Test
    void thePagesOfARangeAreCombinedIntoOneReply() throws InterruptedException {
        mStore.setPageSize(2);
        for (int i = 0; i < 5; i++) {
            mStore.put("p/" + i, "v" + i);
        }
        mStore.put("q/0", "other");

        call(new KeyValueCall.Range("p/", "p0", 0));

        KeyValueReply.Found found = (KeyValueReply.Found) reply();
        assertThat(found.entries()).hasSize(5);
        assertThat(found.entries().get(4).value().toStringUtf8()).isEqualTo("v4");
    }

    @Test
    void aConditionalWriteReportsWhetherItsConditionHeld() throws InterruptedException {
        call(write("p/a", 0));
        assertThat(reply()).isEqualTo(new KeyValueReply.Committed(2, true));

        call(write("p/a", 0));

        assertThat(reply()).isEqualTo(new KeyValueReply.Committed(0, false));
    }

    @Test
    void aWatchContinuesWithoutEventsAndReportsRemovals() throws InterruptedException {
        call(new KeyValueCall.Watch("p/", "p0", 2));
        assertThat(((KeyValueReply.Changed) reply()).entries()).isEmpty();

        mStore.put("p/a", "v");
        mStore.remove("p/a");

        boolean removed = false;
        while (!removed) {
            removed =
                    ((KeyValueReply.Changed) reply())
                            .entries().stream().anyMatch(entry -> entry.value() == null);
        }
    }

    @Test
    void aWatchWithoutAResponseFailsWithinTheContactTime() throws Exception {
        PlatformSettings settings = PlatformSettings.parse("bounds.contact_ms=2000");
        try (SoakProxy proxy = new SoakProxy("127.0.0.1", 0, mStore.address())) {
            StoreClient client =
                    new StoreClient(
                            mWorker, proxy.address(), PlatformMain.entryWatchTimes(settings));
            client.call(1, new KeyValueCall.Range("p/", "p0", 0), mReplies::add);
            reply();
            proxy.setFault(SoakProxy.Fault.DROP_ALL, 0);
            long sentNanos = System.nanoTime();
            client.call(2, new KeyValueCall.Watch("p/", "p0", 2), mReplies::add);

            assertThat(reply()).isInstanceOf(KeyValueReply.Failed.class);
            assertThat(System.nanoTime() - sentNanos).isLessThan(TimeUnit.SECONDS.toNanos(2));
        }
    }

    @Test
    void aCompactedHistoryEndsTheWatch() throws InterruptedException {
        mStore.put("p/a", "v");
        mStore.compact();

        call(new KeyValueCall.Watch("p/", "p0", 1));

        assertThat(reply()).isInstanceOf(KeyValueReply.Compacted.class);
    }

    @Test
    void aWriteRefusedWith503HasNoEffect() throws InterruptedException {
        mStore.failWith(503);

        call(write("p/a", 0));

        assertThat(((KeyValueReply.Failed) reply()).mayHaveTakenEffect()).isFalse();
    }

    @Test
    void aWriteThatFailsWith500MayHaveTakenEffect() throws InterruptedException {
        mStore.failWith(500);

        call(write("p/a", 0));

        assertThat(((KeyValueReply.Failed) reply()).mayHaveTakenEffect()).isTrue();
    }
}
