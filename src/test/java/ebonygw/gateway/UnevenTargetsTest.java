package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UnevenTargetsTest {
    /** Load of the busiest target relative to the mean that was measured at a deployment. */
    private static final double MEASURED_SHARE = 2.36;

    private final TargetTable mTable = UnevenLoad.table(6);
    private final List<GatewayTarget> mTargets = List.copyOf(mTable.ofService("model"));

    private static UnevenLoad model(long seed, boolean reporting) {
        UnevenLoad load = new UnevenLoad(seed, 8, 12, false, reporting);
        for (int i = 0; i < 12; i++) {
            load.mTargets.get(i).mSlowness = i % 4 == 0 ? 1 / 0.55 : 1 / 1.2;
        }
        for (int i = 1; i < 3; i++) {
            long from = load.nowMillis() + 5_000 * i;
            load.mTargets.get(i).mDisturbance =
                    millis -> millis >= from && millis < from + 6_000 ? 5 : 1;
        }
        return finish(load, 20_000, 400);
    }

    private static UnevenLoad finish(UnevenLoad load, int millis, int perSecond) {
        load.run(millis, perSecond);
        load.run(3_000, 0.01);
        assertThat(load.dump().isEmpty()).isNotEqualTo(load.mReporting);
        return load;
    }

    private static UnevenLoad plain(long seed, boolean reporting) {
        UnevenLoad load = new UnevenLoad(seed, 8, 6, true, reporting);
        for (int i = 0; i < 6; i++) {
            long phase = 660 * i;
            load.mTargets.get(i).mDisturbance = millis -> (millis + phase) % 4_000 < 600 ? 2.5 : 1;
        }
        return finish(load, 10_000, 1_500);
    }

    /** Sends one request from each of 28 entries that have the same reports; counts by target. */
    private Map<GatewayTarget, Integer> choices(GatewayRequest request, boolean reporting) {
        ChooserOptions costs = ChooserOptions.defaults(GatewayFixture.KINGSTON);
        Map<GatewayTarget, Integer> counts = new HashMap<>();
        for (int seed = 0; seed < 28; seed++) {
            TargetSpeeds speeds = new TargetSpeeds(costs, mTable, seed, new GatewayOutbox());
            for (GatewayTarget target : mTargets) {
                speeds.onReport(target, reporting ? 100 : TargetLoad.NOT_REPORTED, 1);
            }
            TargetChooser chooser = new TargetChooser(costs, speeds);
            GatewayTarget chosen =
                    chooser.choose(request, 0, mTargets, Set.of(), "", 0, 2).target();
            counts.merge(chosen, 1, Integer::sum);
        }
        return counts;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void fewerChatsAreLateWhenTargetsOfUnevenSpeedReportHowLongWorkTakes(long seed) {
        UnevenLoad before = model(seed, false);
        UnevenLoad after = model(seed, true);

        assertThat(after.mLate).isLessThan(before.mLate);
        assertThat(after.largestShare()).isLessThan(MEASURED_SHARE);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void plainRequestsAvoidTargetsInTheirSlowPeriods(long seed) {
        UnevenLoad before = plain(seed, false);
        UnevenLoad after = plain(seed, true);

        assertThat(after.mLate).isLessThanOrEqualTo(before.mLate);
        assertThat(after.startMillis(0.95)).isLessThan(before.startMillis(0.95));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void twoEntriesDoNotSwingBetweenEqualTargets(long seed) {
        UnevenLoad load = new UnevenLoad(seed, 2, 6, true, true);
        for (int i = 0; i < 40; i++) {
            assertThat(load.largestShareOf(200, 1_000)).isLessThan(MEASURED_SHARE);
        }
    }

    @Test
    void entriesWithTheSameOldReportDoNotAllChooseTheSameTarget() {
        for (GatewayTarget target : mTargets.subList(1, 6)) {
            target.onLoad(new TargetLoad(1, 0, 96), 1);
        }
        GatewayRequest request = UnevenLoad.summary("r", "document");

        assertThat(choices(request, false)).hasSize(1);
        assertThat(choices(request, true)).hasSizeGreaterThan(3);
    }

    @Test
    void aPromptPartThatManyShareIsCopiedWhenItsTargetIsLoaded() {
        GatewayRequest request = UnevenLoad.summary("r", "document");
        mTargets.get(0).promptCache().onPromptSent("m0", request.promptParts().subList(0, 1));
        assertThat(choices(request, true)).containsOnlyKeys(mTargets.get(0));

        mTargets.get(0).onLoad(new TargetLoad(40, 0, 96), 1);
        assertThat(choices(request, false)).containsOnlyKeys(mTargets.get(0));
        assertThat(choices(request, true)).hasSizeGreaterThan(3);
    }

    @Test
    void aTargetThatReturnsGetsItsWorkGradually() {
        UnevenLoad load = new UnevenLoad(1, 4, 6, true, true);
        load.run(2_000, 600);
        UnevenLoad.Target restarted = load.mTargets.get(0);
        restarted.restart();
        load.largestShareOf(500, 600);
        // Its share of 300 requests would be 50.
        assertThat(restarted.mServed).isBetween(1L, 25L);

        load.run(5_000, 600);
        load.largestShareOf(500, 600);
        assertThat(restarted.mServed).isGreaterThan(25);
    }
}
