package ebonygw.keyvalue;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixMirrorTest {
    private static final long MILLI = 1_000_000L;

    private final List<KeyValueRequest> mRequests = new ArrayList<>();
    private final PrefixMirror mMirror = new PrefixMirror("p/", new KeyValueRequestIds(1));
    private final Outbox mOut =
            new Outbox() {
                @Override
                public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
                    mRequests.add(request);
                    mLastRequestId = requestId;
                }

                @Override
                public void send(NodeId to, Message message) {
                    throw new AssertionError("a mirror must not send messages to other nodes");
                }
            };
    private long mLastRequestId;
    private long mNowNanos = 1_000_000 * MILLI;

    private static Entry entry(String key, long revision) {
        return new Entry(key, ByteString.copyFromUtf8("v" + revision), revision, 0);
    }

    private static Entry removal(String key, long revision) {
        return new Entry(key, null, revision, 0);
    }

    private void advance(long millis) {
        mNowNanos += millis * MILLI;
        mMirror.onTick(mNowNanos, mOut);
    }

    private void respond(KeyValueResponse response) {
        assertThat(mMirror.onResponse(mLastRequestId, response, mNowNanos)).isTrue();
    }

    /** Reads the entries at revision 10 and starts the watch. */
    private void loadMirror(Entry... entries) {
        advance(0);
        respond(new KeyValueResponse.RangeResult(10, List.of(entries), false));
        mMirror.drainChanges();
        advance(25);
    }

    /** Ends the watch with a failure and starts it again one second later. */
    private void simulateOutage() {
        respond(new KeyValueResponse.Failed(false, "down"));
        advance(1_000);
    }

    @Test
    void theWatchStartsAtTheRevisionAfterTheFirstRangeRead() {
        loadMirror(entry("p/a", 3));

        assertThat(mMirror.isLoaded()).isTrue();
        assertThat(mRequests.get(1)).isEqualTo(new KeyValueRequest.Watch("p/", "p0", 11));
    }

    @Test
    void aRemovalIsAppliedAtOnceWhileTheServiceIsAvailable() {
        loadMirror(entry("p/a", 3));

        respond(new KeyValueResponse.Changed(12, List.of(removal("p/a", 12))));

        assertThat(mMirror.drainChanges()).containsExactly(new PrefixMirror.Change("p/a", null));
    }

    @Test
    void anOlderValueDoesNotReplaceANewerOne() {
        loadMirror(entry("p/a", 9));

        respond(new KeyValueResponse.Changed(12, List.of(entry("p/a", 8))));

        assertThat(mMirror.drainChanges()).isEmpty();
    }

    // Guards against a removed key that an older write, received later, brings back for good.
    @Test
    void anOlderWriteDoesNotBringBackARemovedKey() {
        loadMirror(entry("p/a", 4));
        respond(new KeyValueResponse.Changed(13, List.of(removal("p/a", 13), entry("p/a", 12))));

        assertThat(mMirror.drainChanges()).containsExactly(new PrefixMirror.Change("p/a", null));
        respond(new KeyValueResponse.Changed(14, List.of(entry("p/a", 14))));
        assertThat(mMirror.drainChanges()).hasSize(1);
    }

    @Test
    void aKeyDeletedDuringAnOutageIsKeptUntilTheGracePeriodEnds() {
        loadMirror(entry("p/a", 3));
        simulateOutage();
        respond(new KeyValueResponse.Changed(20, List.of(removal("p/a", 15))));

        advance(1_500);
        assertThat(mMirror.drainChanges()).isEmpty();
        advance(1_000);

        assertThat(mMirror.drainChanges()).containsExactly(new PrefixMirror.Change("p/a", null));
    }

    @Test
    void aKeyRewrittenWithinTheGracePeriodIsNeverRemoved() {
        loadMirror(entry("p/a", 3));
        simulateOutage();
        respond(new KeyValueResponse.Changed(20, List.of(removal("p/a", 15))));

        respond(new KeyValueResponse.Changed(21, List.of(entry("p/a", 21))));
        advance(5_000);

        assertThat(mMirror.drainChanges())
                .containsExactly(new PrefixMirror.Change("p/a", entry("p/a", 21)));
    }

    @Test
    void aCompactedWatchIsReplacedByAFullRangeRead() {
        loadMirror(entry("p/a", 3), entry("p/b", 4));

        respond(new KeyValueResponse.Compacted(50));
        advance(25);
        respond(new KeyValueResponse.RangeResult(60, List.of(entry("p/b", 55)), false));

        assertThat(mMirror.drainChanges())
                .containsExactlyInAnyOrder(
                        new PrefixMirror.Change("p/b", entry("p/b", 55)),
                        new PrefixMirror.Change("p/a", null));
    }

    // Guards against keys that are kept, or values that are ignored, after a restore from a copy.
    @Test
    void afterARestoreLowerNumbersCountAsNewAndMissingKeysAsLost() {
        loadMirror(entry("p/a", 3), entry("p/b", 4));
        respond(new KeyValueResponse.Compacted(0));
        advance(25);

        Entry restored = entry("p/a", Revisions.of(1, 2));
        respond(new KeyValueResponse.RangeResult(Revisions.of(1, 5), List.of(restored), false));
        advance(0);

        assertThat(mMirror.drainChanges())
                .containsExactly(new PrefixMirror.Change("p/a", restored));
        assertThat(mRequests.get(mRequests.size() - 1))
                .isEqualTo(new KeyValueRequest.Watch("p/", "p0", Revisions.of(1, 6)));
        advance(2_000);
        assertThat(mMirror.drainChanges()).isEmpty();
        advance(500);
        assertThat(mMirror.drainChanges())
                .containsExactly(new PrefixMirror.Change("p/b", null, true));
    }

    @Test
    void aRangeReadWithoutAResponseIsRetried() {
        advance(0);
        advance(2_100); // past the time limit of the read, 2 s
        advance(700); // past the maximum retry delay, 600 ms

        assertThat(mRequests).hasSize(2);
    }
}
