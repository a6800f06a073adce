package ebonygw.request;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.NodeId;
import org.junit.jupiter.api.Test;

class RequestIdTest {
    @Test
    void theTextNamesEntryIncarnationAndSequence() {
        RequestId id = new RequestId(new NodeId("entry-1"), 36, 7);

        assertThat(id).hasToString("entry-1-10-7");
    }
}
