package ebonygw.keyvalue;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequest.Compare;
import ebonygw.keyvalue.KeyValueRequest.Write;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class InMemoryKeyValueStoreTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final ByteString VALUE = ByteString.copyFromUtf8("v");

    private final InMemoryKeyValueStore mStore = new InMemoryKeyValueStore();

    @Test
    void theKeysOfAnExpiredLeaseAreDeleted() {
        long leaseId =
                ((KeyValueResponse.Lease) mStore.execute(new KeyValueRequest.LeaseGrant(5), 0))
                        .leaseId();
        mStore.execute(put("/k", leaseId), 0);
        List<KeyValueResponse> received = new ArrayList<>();
        mStore.watch(new KeyValueRequest.Watch("/k", "", 0), received::add);

        mStore.advance(5 * SECOND_NANOS - 1);
        assertThat(received).isEmpty();
        mStore.advance(5 * SECOND_NANOS);

        assertThat(received)
                .containsExactly(
                        new KeyValueResponse.Changed(
                                3, List.of(new KeyValueResponse.Entry("/k", null, 3, 0))));
    }

    @Test
    void aWatchFromACompactedRevisionReportsTheCompaction() {
        mStore.execute(put("/k", 0), 0);
        mStore.execute(put("/k", 0), 0);
        mStore.compact(3);
        List<KeyValueResponse> received = new ArrayList<>();

        mStore.watch(new KeyValueRequest.Watch("/k", "", 2), received::add);

        assertThat(received).containsExactly(new KeyValueResponse.Compacted(3));
    }

    @Test
    void aSlowWriteIsAppliedAfterItsTimeoutWasReported() {
        FaultInjectingKeyValueStore service =
                new FaultInjectingKeyValueStore(mStore, new SplittableRandom(1));
        service.setFaults(new KeyValueFaults(false, 3 * SECOND_NANOS, 0, 0));
        List<KeyValueResponse> responses = new ArrayList<>();

        service.submit("c", 1, put("/k", 0), 0, responses::add);
        service.advance(2 * SECOND_NANOS);

        assertThat(responses).containsExactly(new KeyValueResponse.Failed(true, "timeout"));
        assertThat(mStore.revision()).isEqualTo(1);
        service.advance(3 * SECOND_NANOS);
        assertThat(mStore.revision()).isEqualTo(2);
    }

    @Test
    void aValueAboveTheSizeLimitIsRejected() {
        ByteString large = ByteString.copyFrom(new byte[InMemoryKeyValueStore.MAX_VALUE_BYTES + 1]);

        KeyValueResponse response =
                mStore.execute(
                        new KeyValueRequest.Transaction(
                                List.of(new Compare("/k", 0)), List.of(new Write("/k", large, 0))),
                        0);

        assertThat(response).isEqualTo(new KeyValueResponse.Failed(false, "value is too large"));
    }

    private static KeyValueRequest put(String key, long leaseId) {
        return new KeyValueRequest.Transaction(List.of(), List.of(new Write(key, VALUE, leaseId)));
    }
}
