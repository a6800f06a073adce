package ebonygw.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.routing.RouterOptions;
import ebonygw.spillover.SpilloverOptions;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SpilloverCostsTest {
    private static final Locality HERE = GatewayFixture.KINGSTON;
    private static final Locality OTHER = new Locality(HERE.region(), "kgn-b");
    private static final int TICKS = 1_000;

    private final ChooserOptions mCosts = ChooserOptions.defaults(HERE);
    private final TargetTable mTable =
            new TargetTable(RouterOptions.defaults(new NodeId("e"), HERE));
    private final GatewayTarget mLocal = put("t1", HERE);
    private final GatewayTarget mRemote = put("t2", OTHER);
    private final GatewayOutbox mOut = new GatewayOutbox();
    private long mNow = TimeUnit.SECONDS.toNanos(100);

    private GatewayTarget put(String id, Locality locality) {
        return mTable.put(GatewayFixture.replica(id, "10.2.0." + id + ":80", locality), 0);
    }

    /** Returns how many of the requests of 10 s, with loads of both targets, leave. */
    private int left(TargetLoad local, Optional<TargetLoad> remote, double cap) {
        TargetSpeeds speeds = new TargetSpeeds(mCosts, mTable, 1, mOut);
        SpilloverCosts spillover =
                new SpilloverCosts(
                        SpilloverOptions.ofMillis(100, 1_000, cap), HERE, new FleetSize(), mOut);
        TargetChooser chooser =
                new TargetChooser(mCosts, Optional.of(speeds), Optional.of(spillover));
        int left = 0;
        for (int i = 0; i < TICKS; i++) {
            mNow += TimeUnit.MILLISECONDS.toNanos(10);
            mLocal.onLoad(local, mNow);
            remote.ifPresent(it -> mRemote.onLoad(it, mNow));
            speeds.onReport(mLocal, 100, mNow);
            GatewayTarget chosen =
                    chooser.choose(
                                    UnevenLoad.summary("r" + i, "d" + i),
                                    0,
                                    List.copyOf(mTable.ofService("model")),
                                    Set.of(),
                                    "",
                                    1_000,
                                    mNow)
                            .target();
            left += chosen == mRemote ? 1 : 0;
        }
        return left;
    }

    private static TargetLoad load(int running, int queued) {
        return new TargetLoad(running, queued, 96);
    }

    @Test
    void aFractionLeavesAFullDataCentreForAnIdleOneAndNothingLeavesAnIdleOne() {
        assertThat(left(load(0, 0), Optional.of(load(0, 0)), 0)).isZero();
        assertThat(left(load(90, 20), Optional.of(load(0, 0)), 0))
                .isBetween(TICKS / 10, TICKS * 9 / 10);
    }

    @Test
    void nothingLeavesWithoutAReportOrWhenBothAreFullOrUnderACapOfAnUncertainFleet() {
        assertThat(left(load(90, 20), Optional.empty(), 0)).isZero();
        assertThat(left(load(96, 40), Optional.of(load(96, 20)), 0)).isZero();
        assertThat(left(load(90, 20), Optional.of(load(0, 0)), 1e9)).isZero();
    }

    @Test
    void requestsLeaveWhenTheTargetsOfTheDataCentreAreGone() {
        mLocal.avoidUntil(Long.MAX_VALUE, mNow);

        assertThat(left(load(0, 0), Optional.empty(), 0)).isEqualTo(TICKS);
    }

    /** Guards against a refusal of a request that waits elsewhere when the cap is used up. */
    @Test
    void aRequestThatWaitsElsewhereReturnsWhenTheCapIsUsedUp() {
        for (GatewayTarget target : List.of(mLocal, mRemote)) {
            target.setLoader(GatewayFixture.loader(target.record().host()));
            target.onLoaderUp();
        }
        mOut.setConsumer(effect -> {});
        TargetSpeeds speeds = new TargetSpeeds(mCosts, mTable, 1, mOut);
        SpilloverOptions capped = SpilloverOptions.ofMillis(100, 1_000, 1e6);
        TargetChooser chooser =
                new TargetChooser(
                        mCosts,
                        Optional.of(speeds),
                        Optional.of(new SpilloverCosts(capped, HERE, new FleetSize(), mOut)));
        speeds.onReport(mLocal, 100, mNow);
        mLocal.onOpenAdapterSlots(0);
        GatewayRequest request = GatewayFixture.request("r", "/ask/1", GatewayFixture.KEY, "m0/a7");
        List<GatewayTarget> targets = List.of(mLocal, mRemote);

        assertThat(chooser.choose(request, 0, targets, Set.of(), "t2", 0, mNow).target())
                .isSameAs(mLocal);
    }
}
