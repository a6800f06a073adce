package ebonygw.bench.capacity;

import ebonygw.admission.Admission;
import ebonygw.admission.ShareLinks;
import ebonygw.admission.ShareMessage;
import ebonygw.admission.ShareNode;
import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.settings.SettingsView;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Measures the cost of dividing customers' rates, per customer and per entry process. */
final class SharesCost {
    private static final int[] CUSTOMER_COUNTS = {8, 32, 128};
    private static final int[] ENTRY_COUNTS = {2, 4, 8};
    private static final int[] CONNECTION_FLEET_SIZES = {175, 350, 700};
    private static final int FEW_ENTRIES = 4;
    private static final int FEW_CUSTOMERS = 8;
    private static final long SECOND = 1_000_000_000L;
    private static final long TICK_NANOS = 50_000_000L;
    private static final int WARM_UP_SECONDS = 20;
    private static final int SECONDS = 20;
    private static final int ADMISSIONS = 20_000;

    /** Measures all slopes. */
    List<Slope> measure() {
        List<Slope.Sample> heap = new ArrayList<>();
        List<Slope.Sample> messages = new ArrayList<>();
        List<Slope.Sample> bytes = new ArrayList<>();
        List<Slope.Sample> cpu = new ArrayList<>();
        for (int customers : CUSTOMER_COUNTS) {
            heap.add(
                    new Slope.Sample(
                            customers,
                            Meter.heapBytes(() -> new Fleet(FEW_ENTRIES, customers).warmUp())
                                    / FEW_ENTRIES));
            Fleet fleet = new Fleet(FEW_ENTRIES, customers).warmUp();
            fleet.measure();
            messages.add(new Slope.Sample(customers, fleet.messagesPerSecond()));
            bytes.add(new Slope.Sample(customers, fleet.bytesPerSecond()));
            cpu.add(new Slope.Sample(customers, fleet.admissionNanos()));
        }
        List<Slope.Sample> byEntries = new ArrayList<>();
        for (int entries : ENTRY_COUNTS) {
            Fleet fleet = new Fleet(entries, FEW_CUSTOMERS).warmUp();
            fleet.measure();
            byEntries.add(new Slope.Sample(entries, fleet.bytesPerSecond()));
        }
        return List.of(
                maxShareConnections(),
                new Slope("shares heap", "bytes", "customer", heap),
                new Slope("shares messages", "messages/s", "active customer", messages),
                new Slope("shares sent bytes", "bytes/s", "active customer", bytes),
                new Slope("shares sent bytes, 8 customers", "bytes/s", "entry", byEntries),
                new Slope("shares admission, processor", "ns", "customer", cpu));
    }

    /**
     * Returns the maximum number of share connections of an entry process, opened by either end.
     */
    private static Slope maxShareConnections() {
        List<Slope.Sample> max = new ArrayList<>();
        for (int entries : CONNECTION_FLEET_SIZES) {
            List<Member> members = new ArrayList<>();
            for (int i = 0; i < entries; i++) {
                members.add(entry(i));
            }
            Map<NodeId, Set<NodeId>> connections = new HashMap<>();
            members.forEach(member -> connections.put(member.id(), new HashSet<>()));
            for (Member member : members) {
                for (NodeId other : ShareLinks.choose(member, members)) {
                    connections.get(member.id()).add(other);
                    connections.get(other).add(member.id());
                }
            }
            int count = connections.values().stream().mapToInt(Set::size).max().orElseThrow();
            max.add(new Slope.Sample(entries, count));
        }
        return new Slope("share links, most of one entry", "links", "entry", max);
    }

    private static Member entry(int number) {
        return new Member(
                new NodeId("entry-" + number),
                1,
                Role.ENTRY,
                MemberState.LIVE,
                new Locality("region-" + number % 3, "a"),
                "10.0.0.1:7400",
                "");
    }

    /**
     * Simulates entry processes. Each customer sends one request per second to each process, and
     * messages are delivered without delay.
     */
    private static final class Fleet {
        private final InMemoryKeyValueStore mKeyValue = new InMemoryKeyValueStore();
        private final Map<NodeId, ShareNode> mNodes = new HashMap<>();
        private final Map<NodeId, Member> mMembers = new HashMap<>();
        private final Deque<Runnable> mEvents = new ArrayDeque<>();
        private final int mCustomers;
        private long mNow = 1_000 * SECOND;
        private long mNextRequestId;
        private long mMessages;
        private long mBytes;

        Fleet(int entries, int customers) {
            mCustomers = customers;
            for (int i = 0; i < entries; i++) {
                Member member = entry(i);
                Locality locality = member.locality();
                mMembers.put(member.id(), member);
                mNodes.put(member.id(), new ShareNode(member.id(), 1, locality, List.of()));
            }
            SettingsView settings = new SettingsCost().state(customers, 0).view();
            mNodes.forEach((id, node) -> join(id, node, settings));
        }

        double admissionNanos() {
            Map.Entry<NodeId, ShareNode> any = mNodes.entrySet().iterator().next();
            Outbox out = outbox(any.getKey());
            return Meter.cpuNanos(
                    ADMISSIONS,
                    () -> {
                        mNow += SECOND / ADMISSIONS;
                        sendRequest(any.getValue(), (int) (mNextRequestId % mCustomers), out);
                        mEvents.clear();
                    });
        }

        double bytesPerSecond() {
            return (double) mBytes / SECONDS / mNodes.size();
        }

        void measure() {
            mMessages = 0;
            mBytes = 0;
            runFor(SECONDS);
        }

        double messagesPerSecond() {
            return (double) mMessages / SECONDS / mNodes.size();
        }

        Fleet warmUp() {
            runFor(WARM_UP_SECONDS);
            return this;
        }

        private void sendRequest(ShareNode node, int customer, Outbox out) {
            long requestId = mNextRequestId++;
            String name = "c" + customer;
            if (node.admit(requestId, name, 100, mNow + SECOND, mNow, out).outcome()
                    == Admission.Outcome.ADMITTED) {
                node.settle(requestId, name, 100, 80, mNow, out);
            }
            node.decisions();
        }

        private void join(NodeId id, ShareNode node, SettingsView settings) {
            Outbox out = outbox(id);
            node.onSettings(settings, mNow, out);
            node.onMembers(mMembers.values(), mNow, out);
            for (NodeId other : mNodes.keySet()) {
                if (!other.equals(id)) {
                    node.onPeerUp(other, 1, mNow, out);
                }
            }
        }

        private Outbox outbox(NodeId from) {
            return new Outbox() {
                @Override
                public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
                    if (request instanceof KeyValueRequest.Watch
                            || request instanceof KeyValueRequest.WatchCancel) {
                        return;
                    }
                    mEvents.add(
                            () ->
                                    mNodes.get(from)
                                            .onKeyValueResponse(
                                                    requestId,
                                                    mKeyValue.execute(request, mNow),
                                                    mNow,
                                                    this));
                }

                @Override
                public void send(NodeId to, Message message) {
                    mMessages++;
                    mBytes += Meter.wireBytes(message);
                    mEvents.add(() -> deliver(from, to, message));
                }
            };
        }

        private void deliver(NodeId from, NodeId to, Message message) {
            ShareNode node = mNodes.get(to);
            if (node != null) {
                node.onMessage(from, 1, (ShareMessage) message, mNow, outbox(to));
            }
        }

        private void runFor(int seconds) {
            long end = mNow + seconds * SECOND;
            int ticks = 0;
            while (mNow < end) {
                mNow += TICK_NANOS;
                boolean sendsRequests = ++ticks % (SECOND / TICK_NANOS) == 0;
                mNodes.forEach(
                        (id, node) -> {
                            Outbox out = outbox(id);
                            for (int i = 0; sendsRequests && i < mCustomers; i++) {
                                sendRequest(node, i, out);
                            }
                            node.onTick(mNow, out);
                            node.decisions();
                        });
                while (!mEvents.isEmpty()) {
                    mEvents.poll().run();
                }
            }
        }
    }
}
