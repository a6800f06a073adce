package ebonygw;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.NodeId;
import ebonygw.request.RequestId;
import org.junit.jupiter.api.Test;

class SeenRequestsTest {
    private static final NodeId ENTRY = new NodeId("entry-1");

    private final SeenRequests mSeen = new SeenRequests(4);

    @Test
    void aDuplicateAttemptIsNotNew() {
        assertThat(mSeen.add(id(1, 1), 1)).isTrue();
        assertThat(mSeen.add(id(1, 1), 1)).isFalse();
        assertThat(mSeen.add(id(1, 1), 2)).isTrue();
    }

    @Test
    void anAttemptOfARequestThatLeftTheWindowCountsAsSeen() {
        for (int sequence = 1; sequence <= 6; sequence++) {
            mSeen.add(id(1, sequence), 1);
        }

        assertThat(mSeen.add(id(1, 1), 2)).isFalse();
        assertThat(mSeen.add(id(1, 6), 1)).isFalse();
        assertThat(mSeen.add(id(1, 7), 1)).isTrue();
    }

    @Test
    void anAttemptOfAnOlderIncarnationCountsAsSeen() {
        assertThat(mSeen.add(id(2, 1), 1)).isTrue();
        assertThat(mSeen.add(id(1, 9), 1)).isFalse();
        assertThat(mSeen.entryCount()).isEqualTo(1);
    }

    private static RequestId id(long incarnation, long sequence) {
        return new RequestId(ENTRY, incarnation, sequence);
    }
}
