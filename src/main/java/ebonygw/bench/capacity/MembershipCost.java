package ebonygw.bench.capacity;

import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.membership.MemberState;
import ebonygw.membership.Membership;
import ebonygw.membership.MembershipOptions;
import ebonygw.protocol.NodeId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Measures the cost of the membership per known process, connection and change. */
final class MembershipCost {
    private static final int[] PROCESS_COUNTS = {800, 3_200, 12_800};
    private static final int[] CONNECTION_COUNTS = {16, 64, 256};
    private static final long SECOND = 1_000_000_000L;
    private static final long TICK_NANOS = 10_000_000L;
    private static final int SECONDS = 20;
    private static final int CHANGES = 20;

    private final CountingOutbox mOut = new CountingOutbox();
    private long mNow = 1_000 * SECOND;

    /** Measures all slopes. */
    List<Slope> measure() {
        List<Slope.Sample> heap = new ArrayList<>();
        List<Slope.Sample> cpu = new ArrayList<>();
        List<Slope.Sample> bytes = new ArrayList<>();
        List<Slope.Sample> neighbours = new ArrayList<>();
        List<Slope.Sample> messages = new ArrayList<>();
        for (int size : PROCESS_COUNTS) {
            heap.add(new Slope.Sample(size, Meter.heapBytes(() -> filled(size))));
            Membership membership = filled(size);
            connectNeighbours(membership);
            neighbours.add(new Slope.Sample(size, membership.neighbours().size()));
            measureChanges(membership, size, cpu, messages, bytes);
        }
        List<Slope> slopes = new ArrayList<>();
        slopes.add(new Slope("membership heap", "bytes", "process", heap));
        slopes.add(new Slope("membership neighbours", "links", "process", neighbours));
        slopes.add(new Slope("membership change, processor", "ns", "process", cpu));
        slopes.add(new Slope("membership change, messages", "messages", "process", messages));
        slopes.add(new Slope("membership change, sent bytes", "bytes", "process", bytes));
        slopes.addAll(measureConnections());
        return slopes;
    }

    private void connectNeighbours(Membership membership) {
        for (NodeId neighbour : membership.neighbours()) {
            membership.onPeerUp(neighbour, 1, mNow, mOut);
        }
    }

    private static Membership empty() {
        Member self = Members.member(0, 1, MemberState.LIVE);
        return new Membership(MembershipOptions.of(self), new SplittableRandom(1));
    }

    private Membership filled(int size) {
        Membership membership = empty();
        membership.onPresence(Members.members(size), List.of(), false, mNow);
        membership.view();
        return membership;
    }

    private void measureChanges(
            Membership membership,
            int size,
            List<Slope.Sample> cpu,
            List<Slope.Sample> messages,
            List<Slope.Sample> bytes) {
        NodeId from = membership.neighbours().iterator().next();
        mOut.reset();
        int[] nextNumber = {1};
        double nanos =
                Meter.cpuNanos(
                        CHANGES,
                        () -> {
                            int number = 1 + nextNumber[0] % (size - 1);
                            Member changed =
                                    Members.member(number, 1 + nextNumber[0]++, MemberState.LIVE);
                            membership.onMessage(
                                    from,
                                    1,
                                    new MemberMessage.MemberUpdates(List.of(changed), true),
                                    mNow,
                                    mOut);
                            mNow += SECOND / 10;
                            membership.onTick(mNow, mOut);
                            membership.view();
                        });
        cpu.add(new Slope.Sample(size, nanos));
        double count = nextNumber[0] - 1;
        messages.add(new Slope.Sample(size, mOut.messages() / count));
        bytes.add(new Slope.Sample(size, mOut.bytes() / count));
    }

    private List<Slope> measureConnections() {
        List<Slope.Sample> cpu = new ArrayList<>();
        List<Slope.Sample> bytes = new ArrayList<>();
        List<Slope.Sample> messages = new ArrayList<>();
        for (int connections : CONNECTION_COUNTS) {
            Membership membership = filled(PROCESS_COUNTS[1]);
            for (int number = 1; number <= connections; number++) {
                NodeId peer = Members.member(number, 1, MemberState.LIVE).id();
                membership.onPeerUp(peer, 1, mNow, mOut);
            }
            mOut.reset();
            double nanos =
                    Meter.cpuNanos(
                            (int) (SECONDS * SECOND / TICK_NANOS),
                            () -> {
                                mNow += TICK_NANOS;
                                membership.onTick(mNow, mOut);
                            });
            // The meter runs the ticks in five rounds.
            double seconds = 5.0 * SECONDS;
            cpu.add(new Slope.Sample(connections, nanos * SECOND / TICK_NANOS));
            messages.add(new Slope.Sample(connections, mOut.messages() / seconds));
            bytes.add(new Slope.Sample(connections, mOut.bytes() / seconds));
        }
        return List.of(
                new Slope("membership idle, processor", "ns/s", "link", cpu),
                new Slope("membership idle, messages", "messages/s", "link", messages),
                new Slope("membership idle, sent bytes", "bytes/s", "link", bytes));
    }
}
