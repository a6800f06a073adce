package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.http.FloodingServer;
import ebonygw.http.HttpClient;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioWorker;

class StoreClientTest {
    private final BlockingQueue<KeyValueResponse> mReplies = new LinkedBlockingQueue<>();
    private StoreStandIn mStore;
    private XnioWorker mWorker;
    private StoreClient mClient;
    private long mCallId;

    @BeforeEach
    void start() throws IOException {
        mStore = new StoreStandIn();
        mWorker = HttpClient.createWorker("test");
        mClient =
                new StoreClient(
                        mWorker,
                        mStore.address(),
                        new StoreClient.WatchTimes(200, 500_000_000L, 1_000_000_000L, 0));
    }

    @AfterEach
    void stop() {
        mWorker.shutdown();
        mStore.close();
    }

    private void call(KeyValueRequest call) {
        mClient.send(++mCallId, call, mReplies::add);
    }

    private KeyValueResponse reply() throws InterruptedException {
        KeyValueResponse reply = mReplies.poll(10, TimeUnit.SECONDS);
        assertThat(reply).isNotNull();
        return reply;
    }

    private static KeyValueRequest write(String key, long modRevision) {
        return new KeyValueRequest.Transaction(
                List.of(new KeyValueRequest.Compare(key, modRevision)),
                List.of(new KeyValueRequest.Write(key, ByteString.copyFromUtf8("v"), 0)));
    }

    // Guards against a response of the store without end, after which a write may have taken
    // effect.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK~X-Filler: ",
                "HTTP/1.1 200 OK~Content-Length: 900000000~~{",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2;"
            })
    void aResponseWithoutEndIsAFailedCall(String start) throws Exception {
        try (FloodingServer flooding = new FloodingServer(start, "x")) {
            StoreClient client =
                    new StoreClient(
                            mWorker,
                            flooding.address(),
                            new StoreClient.WatchTimes(200, 500_000_000L, 1_000_000_000L, 0));
            client.send(1, new KeyValueRequest.Range("p/", "p0", 0), mReplies::add);
            assertThat(((KeyValueResponse.Failed) reply()).mayHaveTakenEffect()).isFalse();
            client.send(2, write("p/1", 0), mReplies::add);
            assertThat(((KeyValueResponse.Failed) reply()).mayHaveTakenEffect()).isTrue();

            for (int i = 0; i < 2; i++) {
                assertThat(flooding.sent().poll(10, TimeUnit.SECONDS))
                        .isLessThan(FloodingServer.MAX_ACCEPTED_BYTES);
            }
        }
    }

    @Test
    void thePagesOfARangeAreCombinedIntoOneReply() throws InterruptedException {
        mStore.setPageSize(2);
        for (int i = 0; i < 5; i++) {
            mStore.put("p/" + i, "v" + i);
        }
        mStore.put("q/0", "other");

        call(new KeyValueRequest.Range("p/", "p0", 0));

        KeyValueResponse.RangeResult found = (KeyValueResponse.RangeResult) reply();
        assertThat(found.entries()).hasSize(5);
        assertThat(found.entries().get(4).value().toStringUtf8()).isEqualTo("v4");
    }

    @Test
    void aConditionalWriteReportsWhetherItsConditionHeld() throws InterruptedException {
        call(write("p/a", 0));
        assertThat(reply()).isEqualTo(new KeyValueResponse.TransactionResult(2, true));

        call(write("p/a", 0));

        assertThat(reply()).isEqualTo(new KeyValueResponse.TransactionResult(0, false));
    }

    @Test
    void aWatchContinuesWithoutEventsAndReportsRemovals() throws InterruptedException {
        call(new KeyValueRequest.Watch("p/", "p0", 2));
        assertThat(((KeyValueResponse.Changed) reply()).entries()).isEmpty();

        mStore.put("p/a", "v");
        mStore.remove("p/a");

        boolean removed = false;
        while (!removed) {
            removed =
                    ((KeyValueResponse.Changed) reply())
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
            client.send(1, new KeyValueRequest.Range("p/", "p0", 0), mReplies::add);
            reply();
            proxy.setFault(SoakProxy.Fault.DROP_ALL, 0);
            long sentNanos = System.nanoTime();
            client.send(2, new KeyValueRequest.Watch("p/", "p0", 2), mReplies::add);

            assertThat(reply()).isInstanceOf(KeyValueResponse.Failed.class);
            assertThat(System.nanoTime() - sentNanos).isLessThan(TimeUnit.SECONDS.toNanos(2));
        }
    }

    @Test
    void aCompactedHistoryEndsTheWatch() throws InterruptedException {
        mStore.put("p/a", "v");
        mStore.compact();

        call(new KeyValueRequest.Watch("p/", "p0", 1));

        assertThat(reply()).isInstanceOf(KeyValueResponse.Compacted.class);
    }

    @Test
    void aWriteRefusedWith503HasNoEffect() throws InterruptedException {
        mStore.failWith(503);

        call(write("p/a", 0));

        assertThat(((KeyValueResponse.Failed) reply()).mayHaveTakenEffect()).isFalse();
    }

    @Test
    void aWriteThatFailsWith500MayHaveTakenEffect() throws InterruptedException {
        mStore.failWith(500);

        call(write("p/a", 0));

        assertThat(((KeyValueResponse.Failed) reply()).mayHaveTakenEffect()).isTrue();
    }
}
