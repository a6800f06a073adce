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

/** What the division of customers' rates costs for each customer and each entry process. */
final class SharesCost {
    private static final int[] CUSTOMERS = {8, 32, 128};
    private static final int[] ENTRIES = {2, 4, 8};
    private static final int[] MESH = {175, 350, 700};
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
        for (int customers : CUSTOMERS) {
            heap.add(
                    new Slope.Sample(
                            customers,
                            Meter.heapBytes(() -> new Fleet(FEW_ENTRIES, customers).warm())
                                    / FEW_ENTRIES));
            Fleet fleet = new Fleet(FEW_ENTRIES, customers).warm();
            fleet.measure();
            messages.add(new Slope.Sample(customers, fleet.messagesPerSecond()));
            bytes.add(new Slope.Sample(customers, fleet.bytesPerSecond()));
            cpu.add(new Slope.Sample(customers, fleet.admissionNanos()));
        }
        List<Slope.Sample> byEntries = new ArrayList<>();
        for (int entries : ENTRIES) {
            Fleet fleet = new Fleet(entries, FEW_CUSTOMERS).warm();
            fleet.measure();
            byEntries.add(new Slope.Sample(entries, fleet.bytesPerSecond()));
        }
        return List.of(
                shareLinks(),
                new Slope("shares heap", "bytes", "customer", heap),
                new Slope("shares messages", "messages/s", "active customer", messages),
                new Slope("shares sent bytes", "bytes/s", "active customer", bytes),
                new Slope("shares sent bytes, 8 customers", "bytes/s", "entry", byEntries),
                new Slope("shares admission, processor", "ns", "customer", cpu));
    }

    /** Returns the links of the entry process that has most, counting those opened to it. */
    private static Slope shareLinks() {
        List<Slope.Sample> most = new ArrayList<>();
        for (int entries : MESH) {
            List<Member> members = new ArrayList<>();
            for (int i = 0; i < entries; i++) {
                members.add(entry(i));
            }
            Map<NodeId, Set<NodeId>> links = new HashMap<>();
            members.forEach(member -> links.put(member.id(), new HashSet<>()));
            for (Member member : members) {
                for (NodeId other : ShareLinks.choose(member, members)) {
                    links.get(member.id()).add(other);
                    links.get(other).add(member.id());
                }
            }
            int count = links.values().stream().mapToInt(Set::size).max().orElseThrow();
            most.add(new Slope.Sample(entries, count));
        }
        return new Slope("share links, most of one entry", "links", "entry", most);
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

    /** Entry processes whose customers ask once a second at each, with messages at once. */
    private static final class Fleet {
        private final InMemoryKeyValueStore mService = new InMemoryKeyValueStore();
        private final Map<NodeId, ShareNode> mNodes = new HashMap<>();
        private final Map<NodeId, Member> mMembers = new HashMap<>();
        private final Deque<Runnable> mEvents = new ArrayDeque<>();
        private final int mCustomers;
        private long mNow = 1_000 * SECOND;
        private long mTicket;
        private long mMessages;
        private long mBytes;

        Fleet(int entries, int customers) {
            mCustomers = customers;
            for (int i = 0; i < entries; i++) {
                Member member = entry(i);
                Locality place = member.locality();
                mMembers.put(member.id(), member);
                mNodes.put(member.id(), new ShareNode(member.id(), 1, place, List.of()));
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
                        ask(any.getValue(), (int) (mTicket % mCustomers), out);
                        mEvents.clear();
                    });
        }

        double bytesPerSecond() {
            return (double) mBytes / SECONDS / mNodes.size();
        }

        void measure() {
            mMessages = 0;
            mBytes = 0;
            pass(SECONDS);
        }

        double messagesPerSecond() {
            return (double) mMessages / SECONDS / mNodes.size();
        }

        Fleet warm() {
            pass(WARM_UP_SECONDS);
            return this;
        }

        private void ask(ShareNode node, int customer, Outbox out) {
            long ticket = mTicket++;
            String name = "c" + customer;
            if (node.admit(ticket, name, 100, mNow + SECOND, mNow, out).outcome()
                    == Admission.Outcome.ADMITTED) {
                node.settle(ticket, name, 100, 80, mNow, out);
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
                public void sendKeyValueRequest(long callId, KeyValueRequest call) {
                    if (call instanceof KeyValueRequest.Watch
                            || call instanceof KeyValueRequest.WatchCancel) {
                        return;
                    }
                    mEvents.add(
                            () ->
                                    mNodes.get(from)
                                            .onKeyValueResponse(
                                                    callId,
                                                    mService.execute(call, mNow),
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

        private void pass(int seconds) {
            long end = mNow + seconds * SECOND;
            int ticks = 0;
            while (mNow < end) {
                mNow += TICK_NANOS;
                boolean asks = ++ticks % (SECOND / TICK_NANOS) == 0;
                mNodes.forEach(
                        (id, node) -> {
                            Outbox out = outbox(id);
                            for (int i = 0; asks && i < mCustomers; i++) {
                                ask(node, i, out);
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
