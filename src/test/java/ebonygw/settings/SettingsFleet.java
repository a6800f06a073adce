package ebonygw.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import ebonygw.keyvalue.FaultInjectingKeyValueStore;
import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.wire.SettingsProtocol.SettingsEnvelope;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Settings replicas in a sparsely connected network and a key-value service, in virtual time.
 * Messages are delayed, lost and duplicated at random.
 */
final class SettingsFleet {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    private static final long STEP = 10 * MILLI;
    private static final long HEARTBEAT = SECOND;

    final FaultInjectingKeyValueStore mService;
    final Map<Long, ChangeOutcome> mOutcomes = new TreeMap<>();
    final Map<Long, String> mSubmitted = new TreeMap<>();
    long mNow = 1_700_000_000L * SECOND;
    int mLossPercent;
    int mDuplicatePercent;
    long mMaxLatency = 40 * MILLI;
    private final RandomGenerator mRandom;
    private final List<Node> mNodes = new ArrayList<>();
    private final Set<Link> mLinks = new HashSet<>();
    private final Set<Link> mCutLinks = new HashSet<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mSequence;
    private long mNextId = 1;
    private long mHeartbeatAt;

    /** Creates a ring of nodes with some connections across it. */
    SettingsFleet(int nodes, RandomGenerator random) {
        mRandom = random;
        mService = new FaultInjectingKeyValueStore(new InMemoryKeyValueStore(), random);
        for (int i = 0; i < nodes; i++) {
            mNodes.add(new Node(i));
        }
        for (int i = 0; i < nodes && nodes > 1; i++) {
            mLinks.add(Link.of(i, (i + 1) % nodes));
            if (i % 3 == 0 && nodes > 4) {
                mLinks.add(Link.of(i, (i + nodes / 2) % nodes));
            }
        }
        mLinks.removeIf(link -> link.a() == link.b());
        mLinks.forEach(this::linkUp);
    }

    void cut(int a, int b) {
        Link link = Link.of(a, b);
        if (mLinks.contains(link) && mCutLinks.add(link)) {
            mNodes.get(a).peerDown(mNodes.get(b));
            mNodes.get(b).peerDown(mNodes.get(a));
        }
    }

    void heal() {
        List<Link> cut = List.copyOf(mCutLinks);
        mCutLinks.clear();
        cut.forEach(this::linkUp);
        mNodes.forEach(node -> node.mReachesService = true);
        mLossPercent = 0;
        mDuplicatePercent = 0;
    }

    Node node(int index) {
        return mNodes.get(index);
    }

    List<Node> nodes() {
        return mNodes;
    }

    void restart(int index) {
        Node node = mNodes.get(index);
        for (Link link : mLinks) {
            if (link.touches(index) && !mCutLinks.contains(link)) {
                mNodes.get(link.other(index)).peerDown(node);
            }
        }
        mService.dropClient(node.mClient);
        node.start();
        for (Link link : mLinks) {
            if (link.touches(index) && !mCutLinks.contains(link)) {
                linkUp(link);
            }
        }
    }

    void run(long nanos) {
        long end = mNow + nanos;
        while (mNow < end) {
            mNow += STEP;
            while (!mEvents.isEmpty() && mEvents.peek().at() <= mNow) {
                mEvents.poll().action().run();
            }
            mService.advance(mNow);
            mNodes.forEach(Node::tick);
            if (mNow >= mHeartbeatAt) {
                mHeartbeatAt = mNow + HEARTBEAT;
                sendHeartbeats();
            }
        }
    }

    /** Submits a change and returns its correlation id. */
    long submit(int index, SettingsChange change) {
        long correlationId = mNextId++;
        Node node = mNodes.get(index);
        mSubmitted.put(correlationId, change.id());
        node.mWriter.submit(correlationId, change, mNow, node);
        return correlationId;
    }

    private void sendHeartbeats() {
        for (Link link : mLinks) {
            if (!mCutLinks.contains(link)) {
                sendHeartbeat(mNodes.get(link.a()), mNodes.get(link.b()));
                sendHeartbeat(mNodes.get(link.b()), mNodes.get(link.a()));
            }
        }
    }

    private void sendHeartbeat(Node from, Node to) {
        long revision = from.mReplica.state().revision();
        transmit(from, to, () -> to.mReplica.onPeerRevision(from.mId, revision, mNow, to));
    }

    private void linkUp(Link link) {
        Node a = mNodes.get(link.a());
        Node b = mNodes.get(link.b());
        a.mReplica.onPeerUp(b.mId, b.mIncarnation, mNow, a);
        b.mReplica.onPeerUp(a.mId, a.mIncarnation, mNow, b);
    }

    private void schedule(long delay, Runnable action) {
        mEvents.add(new Event(mNow + delay, mSequence++, action));
    }

    private void transmit(Node from, Node to, Runnable action) {
        Link link = Link.of(from.mIndex, to.mIndex);
        if (!mLinks.contains(link) || mCutLinks.contains(link)) {
            return;
        }
        long incarnation = to.mIncarnation;
        int copies = mRandom.nextInt(100) < mDuplicatePercent ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextInt(100) < mLossPercent) {
                continue;
            }
            schedule(
                    MILLI + mRandom.nextLong(mMaxLatency),
                    () -> {
                        if (to.mIncarnation == incarnation && !mCutLinks.contains(link)) {
                            action.run();
                        }
                    });
        }
    }

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private record Link(int a, int b) {
        static Link of(int a, int b) {
            return new Link(Math.min(a, b), Math.max(a, b));
        }

        int other(int index) {
            return index == a ? b : a;
        }

        boolean touches(int index) {
            return index == a || index == b;
        }
    }

    /** A process with a replica and a writer. */
    final class Node implements Outbox {
        final int mIndex;
        final NodeId mId;
        SettingsReplica mReplica;
        SettingsWriter mWriter;
        boolean mReachesService = true;
        private long mIncarnation;
        private String mClient;
        private long mLastRevision;

        Node(int index) {
            mIndex = index;
            mId = new NodeId("node-" + index);
            start();
        }

        @Override
        public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
            SettingsReplica replica = mReplica;
            if (!mReachesService) {
                if (!(request instanceof KeyValueRequest.WatchCancel)) {
                    schedule(
                            50 * MILLI,
                            () ->
                                    deliverResponse(
                                            replica,
                                            requestId,
                                            new KeyValueResponse.Failed(false, "cut")));
                }
                return;
            }
            mService.submit(
                    mClient,
                    requestId,
                    request,
                    mNow,
                    response -> {
                        if (mReachesService) {
                            deliverResponse(replica, requestId, response);
                        } else if (!(request instanceof KeyValueRequest.Watch)) {
                            boolean write = !(request instanceof KeyValueRequest.Range);
                            deliverResponse(
                                    replica, requestId, new KeyValueResponse.Failed(write, "cut"));
                        }
                    });
        }

        @Override
        public void send(NodeId to, Message message) {
            byte[] bytes = SettingsCodec.encode((SettingsMessage) message).toByteArray();
            Node receiver = mNodes.get(Integer.parseInt(to.name().substring(5)));
            transmit(this, receiver, () -> receiver.receive(mId, bytes));
        }

        private void peerDown(Node other) {
            mReplica.onPeerDown(other.mId, other.mIncarnation, mNow, this);
        }

        private void receive(NodeId from, byte[] bytes) {
            try {
                SettingsCodec.decode(SettingsEnvelope.parseFrom(bytes))
                        .ifPresent(message -> mReplica.onMessage(from, message, mNow, this));
            } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
            }
        }

        private void deliverResponse(
                SettingsReplica replica, long requestId, KeyValueResponse response) {
            if (replica != mReplica) {
                return;
            }
            if (!mReplica.onKeyValueResponse(requestId, response, mNow, this)) {
                mWriter.onKeyValueResponse(requestId, response, mNow, this);
            }
        }

        private void start() {
            mIncarnation++;
            mClient = mId + "/" + mIncarnation;
            mReplica =
                    new SettingsReplica(
                            new SettingsReplicaOptions(
                                    mId,
                                    new Locality(mIndex % 2 == 0 ? "kingston" : "mobay", "a"),
                                    new ebonygw.keyvalue.KeyValueRequestIds(1),
                                    mRandom,
                                    2,
                                    16,
                                    8));
            mWriter = new SettingsWriter(mReplica, version -> false);
            mLastRevision = 0;
        }

        private void tick() {
            mReplica.onTick(mNow, this);
            mWriter.onTick(mNow, this);
            mWriter.drain().forEach(s -> mOutcomes.put(s.correlationId(), s.outcome()));
            long revision = mReplica.view().revision();
            assertThat(revision).as("revision of %s", mId).isGreaterThanOrEqualTo(mLastRevision);
            assertThat(mReplica.state().revision()).isEqualTo(revision);
            mLastRevision = revision;
        }
    }
}
