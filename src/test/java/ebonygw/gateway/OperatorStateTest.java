package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse.Changed;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import ebonygw.keyvalue.KeyValueResponse.RangeResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OperatorStateTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(100);

    private final Map<String, StoreReader.WantedVersion> mVersions = new HashMap<>();
    private final List<Long> mInForce = new ArrayList<>();
    private final List<Long> mRequestIds = new ArrayList<>();
    private OperatorState mState;

    @BeforeEach
    void start() {
        GatewayOutbox out = new GatewayOutbox();
        out.setConsumer(
                effect -> {
                    if (effect instanceof GatewayEffect.KeyValue call) {
                        mRequestIds.add(call.requestId());
                    }
                });
        mState =
                new OperatorState(
                        new Reader(),
                        new KeyValueRequestIds(1),
                        out,
                        (settings, nowNanos) -> mInForce.add(settings.revision()));
        mState.onTick(NOW);
    }

    private static Entry entry(String key, long revision) {
        return new Entry(key, ByteString.EMPTY, revision, 0);
    }

    private long lastCallId() {
        return mRequestIds.get(mRequestIds.size() - 1);
    }

    private void respondWith(Entry... entries) {
        assertThat(
                        mState.onResponse(
                                lastCallId(), new RangeResult(9, List.of(entries), false), NOW))
                .isTrue();
        mState.onTick(NOW);
    }

    @Test
    void nothingIsInForceBeforeTheFirstConfiguration() {
        assertThat(mState.settings()).isNull();
        assertThat(mState.revision()).isZero();
        assertThat(mState.ageMillis(NOW)).isEqualTo(-1);
    }

    @Test
    void aNewerConfigurationComesIntoForceAndAnOlderOneIsIgnored() {
        respondWith(entry("op/config", 5));
        mState.onResponse(lastCallId(), new Changed(10, List.of(entry("op/config", 10))), NOW);
        mState.onResponse(lastCallId(), new Changed(10, List.of(entry("op/config", 7))), NOW);

        assertThat(mInForce).containsExactly(5L, 10L);
        assertThat(mState.revision()).isEqualTo(10);
        assertThat(mState.ageMillis(NOW + TimeUnit.SECONDS.toNanos(2))).isEqualTo(2_000);
    }

    @Test
    void aWantedVersionNeverDecreases() {
        mVersions.put("op/version/a", new StoreReader.WantedVersion("m/a", 4));
        respondWith(entry("op/version/a", 5));
        mVersions.put("op/version/a", new StoreReader.WantedVersion("m/a", 3));
        mState.onResponse(lastCallId(), new Changed(10, List.of(entry("op/version/a", 10))), NOW);

        assertThat(mState.wantedVersion("m/a")).isEqualTo(4);
        assertThat(mState.wantedVersion("m/b")).isZero();
    }

    @Test
    void aMalformedConfigurationLeavesThePreviousOneInForce() {
        respondWith(entry("op/config", 5));
        mState.onResponse(lastCallId(), new Changed(10, List.of(entry("op/broken", 10))), NOW);

        assertThat(mInForce).containsExactly(5L);
    }

    // Guards against a configuration that is skipped in silence while the store confirms the next.
    @Test
    void aStateThatLacksANewerConfigurationIsNotConfirmed() {
        respondWith(entry("op/config", 5));
        mState.onResponse(lastCallId(), new Changed(10, List.of(entry("op/broken", 10))), NOW);
        long laterNanos = NOW + TimeUnit.SECONDS.toNanos(4);

        mState.onResponse(lastCallId(), new Changed(10, List.of()), laterNanos);
        assertThat(mState.ageMillis(laterNanos)).isEqualTo(4_000);
        mState.onResponse(
                lastCallId(), new Changed(11, List.of(entry("op/config", 11))), laterNanos);
        assertThat(mState.ageMillis(laterNanos)).isZero();
    }

    @Test
    void responsesToOtherRequestsAreNotHandled() {
        assertThat(
                        mState.onResponse(
                                lastCallId() + 1_000, new RangeResult(9, List.of(), false), NOW))
                .isFalse();
    }

    private final class Reader implements StoreReader {
        @Override
        public String operatorPrefix() {
            return "op/";
        }

        @Override
        public Optional<GatewaySettings> settings(Entry entry) {
            if (entry.key().equals("op/broken")) {
                throw new IllegalArgumentException("broken");
            }
            return entry.key().equals("op/config")
                    ? Optional.of(GatewayFixture.settings(entry.modRevision(), 0, 0))
                    : Optional.empty();
        }

        @Override
        public Optional<TargetRecord> target(Entry entry) {
            return Optional.empty();
        }

        @Override
        public String targetPrefix() {
            return "servers/";
        }

        @Override
        public Optional<WantedVersion> wantedVersion(Entry entry) {
            return Optional.ofNullable(mVersions.get(entry.key()));
        }
    }
}
