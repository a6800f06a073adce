package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Payload;
import ebonygw.request.RequestId;
import ebonygw.request.Work;
import java.util.Map;
import java.util.Optional;

/** Creates work items for tests. */
public final class WorkFixtures {
    private static final Payload EMPTY_PAYLOAD =
            new Payload("POST", "/", Map.of(), ByteString.EMPTY);

    private WorkFixtures() {}

    /** Returns a non-idempotent request to a plain service. */
    public static Work serviceRequest(long sequence) {
        return work(sequence, "customer", Optional.empty(), false, 0, 0, 1);
    }

    /** Returns a model request for version 1 of an adapter, with 100 tokens. */
    public static Work modelRequest(long sequence, String customer, String adapter) {
        return work(
                sequence, customer, Optional.of(new AdapterVersion(adapter, "1")), true, 0, 50, 50);
    }

    /** Returns work with the given values of the fields that affect scheduling. */
    public static Work work(
            long sequence,
            String customer,
            Optional<AdapterVersion> adapter,
            boolean idempotent,
            int priority,
            long promptTokens,
            long maxTokens) {
        return new Work(
                new RequestId(new NodeId("entry"), 1, sequence),
                1,
                customer,
                "key",
                "route",
                adapter,
                idempotent,
                priority,
                promptTokens,
                maxTokens,
                0,
                false,
                EMPTY_PAYLOAD);
    }
}
