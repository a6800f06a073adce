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
    void theKeysOfAnExpiredLeaseAreDeleted() {
        long leaseId =
                ((KeyValueReply.Lease) mStore.execute(new KeyValueCall.LeaseGrant(5), 0)).leaseId();
        mStore.execute(put("/k", leaseId), 0);
        List<KeyValueReply> received = new ArrayList<>();
        mStore.watch(new KeyValueCall.Watch("/k", "", 0), received::add);

        mStore.advance(5 * SECOND_NANOS - 1);
        assertThat(received).isEmpty();
        mStore.advance(5 * SECOND_NANOS);

        assertThat(received)
                .containsExactly(
                        new KeyValueReply.Changed(
                                3, List.of(new KeyValueReply.Entry("/k", null, 3, 0))));
    }

    @Test
    void aWatchFromACompactedRevisionReportsTheCompaction() {
        mStore.execute(put("/k", 0), 0);
        mStore.execute(put("/k", 0), 0);
        mStore.compact(3);
        List<KeyValueReply> received = new ArrayList<>();

        mStore.watch(new KeyValueCall.Watch("/k", "", 2), received::add);

        assertThat(received).containsExactly(new KeyValueReply.Compacted(3));
    }

    @Test
    void aSlowWriteIsAppliedAfterItsTimeoutWasReported() {
        FaultyKeyValue service = new FaultyKeyValue(mStore, new SplittableRandom(1));
        service.faults(new KeyValueFaults(false, 3 * SECOND_NANOS, 0, 0));
        List<KeyValueReply> responses = new ArrayList<>();

        service.call("c", 1, put("/k", 0), 0, responses::add);
        service.advance(2 * SECOND_NANOS);

        assertThat(responses).containsExactly(new KeyValueReply.Failed(true, "timeout"));
        assertThat(mStore.revision()).isEqualTo(1);
        service.advance(3 * SECOND_NANOS);
        assertThat(mStore.revision()).isEqualTo(2);
    }

    @Test
    void aValueAboveTheSizeLimitIsRejected() {
        ByteString large = ByteString.copyFrom(new byte[MemoryKeyValue.MAX_VALUE_BYTES + 1]);

        KeyValueReply response =
                mStore.execute(
                        new KeyValueCall.Transaction(
                                List.of(new Compare("/k", 0)), List.of(new Write("/k", large, 0))),
                        0);

        assertThat(response).isEqualTo(new KeyValueReply.Failed(false, "value is too large"));
    }

    private static KeyValueCall put(String key, long leaseId) {
        return new KeyValueCall.Transaction(List.of(), List.of(new Write(key, VALUE, leaseId)));
    }
}
