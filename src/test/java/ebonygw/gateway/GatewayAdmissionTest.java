package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.request.RefusalCode;
import org.junit.jupiter.api.Test;

class GatewayAdmissionTest {
    private final GatewayFixture mEntry = GatewayFixture.started();

    private RefusalCode refusal(String path, String key, int bodyBytes) {
        ByteString body = ByteString.copyFrom(new byte[bodyBytes]);
        long exchange = mEntry.submit(GatewayFixture.request("request-1", path, key, "", body));
        return mEntry.refusal(exchange).map(it -> it.code()).orElse(null);
    }

    @Test
    void aBodyOfTheMaxSizeIsAccepted() {
        assertThat(refusal("/look/1", GatewayFixture.KEY, GatewayFixture.MAX_BODY_BYTES)).isNull();
    }

    @Test
    void aBodyAboveTheMaxSizeIsRefused() {
        assertThat(refusal("/look/1", GatewayFixture.KEY, GatewayFixture.MAX_BODY_BYTES + 1))
                .isEqualTo(RefusalCode.TOO_LARGE);
    }

    @Test
    void aRequestWithoutAKeyIsRefusedOnARouteThatNeedsOne() {
        assertThat(refusal("/look/1", "", 0)).isEqualTo(RefusalCode.UNAUTHENTICATED);
    }

    // Guards against "no such route" from an entry that may have missed the change that added it.
    @Test
    void routesAndKeysThatAnUnconfirmedConfigurationLacksAreNotDenied() {
        mEntry.setStoreUp(false);
        mEntry.advance(GatewayFixture.MAX_SETTINGS_AGE_MILLIS);
        assertThat(refusal("/unknown/1", GatewayFixture.KEY, 0)).isEqualTo(RefusalCode.NOT_FOUND);

        mEntry.advance(1);
        assertThat(refusal("/unknown/2", GatewayFixture.KEY, 0)).isEqualTo(RefusalCode.NOT_READY);
        assertThat(refusal("/look/1", "unknown", 0)).isEqualTo(RefusalCode.NOT_READY);
        assertThat(refusal("/look/1", GatewayFixture.KEY, 0)).isNull();

        mEntry.setStoreUp(true);
        mEntry.advance(1_000);
        mEntry.tick();
        assertThat(refusal("/unknown/3", GatewayFixture.KEY, 0)).isEqualTo(RefusalCode.NOT_FOUND);
    }

    @Test
    void theRouteIsLookedUpBeforeTheKey() {
        assertThat(refusal("/unknown/1", "", 0)).isEqualTo(RefusalCode.NOT_FOUND);
    }
}
