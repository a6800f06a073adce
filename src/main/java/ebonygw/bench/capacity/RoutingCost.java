package ebonygw.bench.capacity;

import com.google.protobuf.ByteString;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage.TargetLoad;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Payload;
import ebonygw.request.RequestId;
import ebonygw.request.Work;
import ebonygw.routing.Outcome;
import ebonygw.routing.Router;
import ebonygw.routing.RouterOptions;
import ebonygw.settings.AdapterSettings;
import ebonygw.settings.RouteSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Measures the cost of routing per connected target, adapter and request. */
final class RoutingCost {
    private static final int[] TARGET_COUNTS = {16, 64, 256};
    private static final int[] ADAPTER_COUNTS = {1_000, 4_000, 16_000};
    private static final int[] RESIDENT_ADAPTER_COUNTS = {4, 16, 64};
    private static final long SECOND = 1_000_000_000L;
    private static final int ITERATIONS = 20_000;
    private static final int CONNECTED_TARGETS = 64;
    private static final Locality LOCALITY = new Locality("region-0", "region-0-a");
    private static final RouteSettings ROUTE =
            new RouteSettings("chat", "", false, "model", "", true, 60 * SECOND, 0, 1, Set.of());

    private long mNow = 1_000 * SECOND;
    private long mSequence;

    /** Measures all slopes. */
    List<Slope> measure() {
        List<Slope.Sample> heap = new ArrayList<>();
        List<Slope.Sample> choose = new ArrayList<>();
        for (int targets : TARGET_COUNTS) {
            heap.add(new Slope.Sample(targets, Meter.heapBytes(() -> router(targets))));
            Router router = router(targets);
            choose.add(
                    new Slope.Sample(
                            targets, Meter.cpuNanos(ITERATIONS, () -> route(router, 1_000))));
        }
        List<Slope.Sample> demand = new ArrayList<>();
        for (int adapters : ADAPTER_COUNTS) {
            demand.add(
                    new Slope.Sample(
                            adapters,
                            Meter.heapBytes(
                                    () -> {
                                        Router router = router(CONNECTED_TARGETS);
                                        for (int i = 0; i < adapters; i++) {
                                            route(router, adapters);
                                        }
                                        return router;
                                    })));
        }
        List<Slope> slopes = new ArrayList<>();
        slopes.add(new Slope("router heap", "bytes", "linked target", heap));
        slopes.add(new Slope("router choice, processor", "ns", "linked target", choose));
        slopes.add(new Slope("router heap of demand", "bytes", "adapter asked for", demand));
        slopes.addAll(measureReports());
        return slopes;
    }

    private static Member target(int number) {
        return new Member(
                new NodeId("target-" + number),
                1,
                Role.TARGET,
                MemberState.LIVE,
                LOCALITY,
                "10.0.0.1:7400",
                "model");
    }

    private static TargetReport report(int target, long sequence, int resident) {
        List<AdapterVersion> loaded = new ArrayList<>();
        for (int i = 0; i < resident; i++) {
            loaded.add(new AdapterVersion("adapter-" + (target * 31 + i), "v1"));
        }
        return new TargetReport(sequence, 3, 2, 8, 900, loaded, List.of());
    }

    private List<Slope> measureReports() {
        List<Slope.Sample> cpu = new ArrayList<>();
        List<Slope.Sample> bytes = new ArrayList<>();
        List<Slope.Sample> loads = new ArrayList<>();
        for (int resident : RESIDENT_ADAPTER_COUNTS) {
            Router router = router(CONNECTED_TARGETS);
            long[] sequence = {1};
            cpu.add(
                    new Slope.Sample(
                            resident,
                            Meter.cpuNanos(
                                    2_000,
                                    () -> {
                                        mNow += SECOND / 1_000;
                                        int target = (int) (sequence[0]++ % CONNECTED_TARGETS);
                                        router.onReport(
                                                target(target).id(),
                                                1,
                                                report(target, sequence[0], resident),
                                                mNow);
                                    })));
            bytes.add(new Slope.Sample(resident, Meter.wireBytes(report(1, 9_999, resident))));
            TargetLoad load = TargetLoad.of(report(1, 9_999, resident));
            loads.add(new Slope.Sample(resident, Meter.wireBytes(load)));
        }
        return List.of(
                new Slope("target load, bytes", "bytes", "resident adapter", loads),
                new Slope("target report, processor", "ns", "resident adapter", cpu),
                new Slope("target report, bytes", "bytes", "resident adapter", bytes));
    }

    private Router router(int targets) {
        Router router = new Router(RouterOptions.defaults(new NodeId("entry-0"), LOCALITY));
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            members.add(target(i));
        }
        router.onMembers(members, mNow);
        for (int i = 0; i < targets; i++) {
            router.onReport(target(i).id(), 1, report(i, 1, 16), mNow);
        }
        return router;
    }

    private void route(Router router, int adapters) {
        mNow += SECOND / 1_000;
        Work work = work((int) (mSequence % adapters));
        String name = work.adapter().orElseThrow().adapter();
        AdapterSettings adapter = new AdapterSettings(name, "", "model", Set.of("v1"), "v1");
        Optional<NodeId> target =
                router.choose(work, ROUTE, adapter, Set.of(), mNow + 60 * SECOND, mNow);
        NodeId chosen = target.orElseThrow();
        router.onSent(chosen, work, mNow);
        router.onOutcome(chosen, work, new Outcome.Completed(SECOND / 10), mNow);
    }

    private Work work(int adapter) {
        return new Work(
                new RequestId(new NodeId("entry-0"), 1, ++mSequence),
                1,
                "customer-1",
                "key-1",
                "chat",
                Optional.of(new AdapterVersion("adapter-" + adapter, "v1")),
                true,
                0,
                200,
                200,
                mSequence,
                true,
                new Payload("POST", "/v1/completions", Map.of(), ByteString.EMPTY));
    }
}
