package ebonygw.keyvalue;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueReply.Entry;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixMirrorTest {
    private static final long MILLI = 1_000_000L;

    private final List<KeyValueCall> mCalls = new ArrayList<>();
    private final PrefixMirror mMirror = new PrefixMirror("p/", new CallIds(1));
    private final Outbox mOut =
            new Outbox() {
                @Override
                public void keyValue(long callId, KeyValueCall call) {
                    mCalls.add(call);
                    mLastCall = callId;
                }

                @Override
                public void send(NodeId to, Message message) {
                    throw new AssertionError("a mirror sends nothing");
                }
            };
    private long mLastCall;
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

    private void reply(KeyValueReply reply) {
        assertThat(mMirror.onReply(mLastCall, reply, mNowNanos)).isTrue();
    }

    private void load(Entry... entries) {
        advance(0);
        reply(new KeyValueReply.Found(10, List.of(entries), false));
        mMirror.drain();
        advance(25);
    }

    private void outage() {
        reply(new KeyValueReply.Failed(false, "down"));
        advance(1_000);
    }

    @Test
    void afterTheFirstReadChangesAreWatchedFromItsRevisionOn() {
        load(entry("p/a", 3));

        assertThat(mMirror.isLoaded()).isTrue();
        assertThat(mCalls.get(1)).isEqualTo(new KeyValueCall.Watch("p/", "p0", 11));
    }

    @Test
    void aRemovalWhileTheServiceIsUpIsSeenAtOnce() {
        load(entry("p/a", 3));

        reply(new KeyValueReply.Changed(12, List.of(removal("p/a", 12))));

        assertThat(mMirror.drain()).containsExactly(new PrefixMirror.Change("p/a", null));
    }

    @Test
    void anOlderValueDoesNotReplaceANewerOne() {
        load(entry("p/a", 9));

        reply(new KeyValueReply.Changed(12, List.of(entry("p/a", 8))));

        assertThat(mMirror.drain()).isEmpty();
    }

    @Test
    void aKeyThatLapsedDuringAnOutageIsKeptUntilItsHolderHadTimeToReturn() {
        load(entry("p/a", 3));
        outage();
        reply(new KeyValueReply.Changed(20, List.of(removal("p/a", 15))));

        advance(1_500);
        assertThat(mMirror.drain()).isEmpty();
        advance(1_000);

        assertThat(mMirror.drain()).containsExactly(new PrefixMirror.Change("p/a", null));
    }

    @Test
    void aKeyThatIsWrittenAgainAfterAnOutageIsNeverRemoved() {
        load(entry("p/a", 3));
        outage();
        reply(new KeyValueReply.Changed(20, List.of(removal("p/a", 15))));

        reply(new KeyValueReply.Changed(21, List.of(entry("p/a", 21))));
        advance(5_000);

        assertThat(mMirror.drain())
                .containsExactly(new PrefixMirror.Change("p/a", entry("p/a", 21)));
    }

    @Test
    void aLostHistoryIsReplacedByAWholeRead() {
        load(entry("p/a", 3), entry("p/b", 4));

        reply(new KeyValueReply.Compacted(50));
        advance(25);
        reply(new KeyValueReply.Found(60, List.of(entry("p/b", 55)), false));

        assertThat(mMirror.drain())
                .containsExactlyInAnyOrder(
                        new PrefixMirror.Change("p/b", entry("p/b", 55)),
                        new PrefixMirror.Change("p/a", null));
    }

    @Test
    void aReadWithoutAnAnswerIsMadeAgain() {
        advance(0);
        advance(2_100);
        advance(700);

        assertThat(mCalls).hasSize(2);
    }
}
