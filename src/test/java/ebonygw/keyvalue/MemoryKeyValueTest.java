package ebonygw.keyvalue;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueCall.Compare;
import ebonygw.keyvalue.KeyValueCall.Write;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class MemoryKeyValueTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final ByteString VALUE = ByteString.copyFromUtf8("v");

    private final MemoryKeyValue mStore = new MemoryKeyValue();

    @Test
    void aLeaseThatIsNotKeptTakesItsKeysWithIt() {
        long lease =
                ((KeyValueReply.Lease) mStore.execute(new KeyValueCall.LeaseGrant(5), 0)).leaseId();
        mStore.execute(put("/k", lease), 0);
        List<KeyValueReply> seen = new ArrayList<>();
        mStore.watch(new KeyValueCall.Watch("/k", "", 0), seen::add);

        mStore.advance(5 * SECOND_NANOS - 1);
        assertThat(seen).isEmpty();
        mStore.advance(5 * SECOND_NANOS);

        assertThat(seen)
                .containsExactly(
                        new KeyValueReply.Changed(
                                3, List.of(new KeyValueReply.Entry("/k", null, 3, 0))));
    }

    @Test
    void aWatchOfCompactedChangesSaysSo() {
        mStore.execute(put("/k", 0), 0);
        mStore.execute(put("/k", 0), 0);
        mStore.compact(3);
        List<KeyValueReply> seen = new ArrayList<>();

        mStore.watch(new KeyValueCall.Watch("/k", "", 2), seen::add);

        assertThat(seen).containsExactly(new KeyValueReply.Compacted(3));
    }

    @Test
    void aSlowWriteTakesEffectAfterItsTimeoutWasReported() {
        FaultyKeyValue service = new FaultyKeyValue(mStore, new SplittableRandom(1));
        service.faults(new KeyValueFaults(false, 3 * SECOND_NANOS, 0, 0));
        List<KeyValueReply> replies = new ArrayList<>();

        service.call("c", 1, put("/k", 0), 0, replies::add);
        service.advance(2 * SECOND_NANOS);

        assertThat(replies).containsExactly(new KeyValueReply.Failed(true, "timeout"));
        assertThat(mStore.revision()).isEqualTo(1);
        service.advance(3 * SECOND_NANOS);
        assertThat(mStore.revision()).isEqualTo(2);
    }

    @Test
    void aValueAboveTheLimitIsRefused() {
        ByteString large = ByteString.copyFrom(new byte[MemoryKeyValue.MAX_VALUE_BYTES + 1]);

        KeyValueReply reply =
                mStore.execute(
                        new KeyValueCall.Transaction(
                                List.of(new Compare("/k", 0)), List.of(new Write("/k", large, 0))),
                        0);

        assertThat(reply).isEqualTo(new KeyValueReply.Failed(false, "value is too large"));
    }

    private static KeyValueCall put(String key, long lease) {
        return new KeyValueCall.Transaction(List.of(), List.of(new Write(key, VALUE, lease)));
    }
}
