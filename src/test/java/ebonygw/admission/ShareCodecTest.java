package ebonygw.admission;

import static ebonygw.admission.ShareTesting.A;
import static ebonygw.admission.ShareTesting.B;
import static ebonygw.admission.ShareTesting.LIMITS;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ebonygw.wire.SharesProtocol.SharesEnvelope;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShareCodecTest {
    @Test
    void everyMessageRoundTrips() {
        List<ShareMessage> messages =
                List.of(
                        new ShareMessage.Adopt(3, 4, A, List.of(A, B)),
                        new ShareMessage.Adopted(
                                3, 4, List.of(new ShareMessage.Holding("c", 5, 6))),
                        new ShareMessage.LoanRequest("c", 1, 2, 1),
                        new ShareMessage.Assign("c", 1, 2, 3, 4, 5, LIMITS),
                        new ShareMessage.Assigned("c", 1, 2, 3, 4, 5),
                        new ShareMessage.Demand("c", 1, 2, 3, 4, true),
                        new ShareMessage.LoanGrant("c", 1, 2, 3, List.of(A.id())),
                        new ShareMessage.Heartbeat(1, 2, -3),
                        new ShareMessage.HeartbeatAck(1, 2, 3),
                        new ShareMessage.LoanReturn("c", 1, 2, true));
        for (ShareMessage message : messages) {
            assertThat(ShareCodec.decode(ShareCodec.encode(message))).isEqualTo(message);
        }
    }

    @Test
    void anEnvelopeWithoutAMessageIsRejected() {
        assertThatThrownBy(() -> ShareCodec.decode(SharesEnvelope.getDefaultInstance()))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
