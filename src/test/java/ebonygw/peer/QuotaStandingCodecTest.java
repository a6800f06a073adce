package ebonygw.peer;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.gateway.GatewayMessage;
import ebonygw.gateway.QuotaStanding;
import ebonygw.protocol.NodeId;
import java.util.List;
import org.junit.jupiter.api.Test;

class QuotaStandingCodecTest {
    @Test
    void aStandingIsCarriedAndItsAbsenceIsKept() {
        GatewayFamilyCodec codec = new GatewayFamilyCodec();
        for (QuotaStanding standing :
                List.of(QuotaStanding.NONE, new QuotaStanding(5_000, 0, -70_000))) {
            var tokens = new GatewayMessage.CustomerTokens("a", 3, 4, standing);
            var entry = new GatewayMessage.EntryUsage(new NodeId("b"), 1, 2, List.of(tokens));
            var usage = new GatewayMessage.Usage(true, List.of(entry));

            assertThat(codec.encode(usage).flatMap(codec::decode)).contains(usage);
        }
    }
}
