package ebonygw;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/** A simulated entry or target process of a {@link NodeFleet}; it can be frozen and killed. */
abstract class FakeNode {
    final Member mSelf;
    final Map<NodeId, FakeNode> mConnections = new TreeMap<>();
    final Deque<Runnable> mInbox = new ArrayDeque<>();
    boolean mFrozen;
    boolean mDead;
    boolean mExited;
    long mStopRequestedNanos = Long.MAX_VALUE;
    long mLastRevision;
    private final NodeFleet mFleet;
    private Message mHello;

    FakeNode(NodeFleet fleet, Member self) {
        mFleet = fleet;
        mSelf = self;
        mHello = new MemberMessage.Hello(self, 0);
    }

    abstract void requestStop();

    abstract void down(FakeNode peer);

    abstract void keyValueResponse(long requestId, KeyValueResponse response);

    abstract long revision();

    abstract void received(FakeNode peer, Message message);

    abstract void tick();

    abstract void up(FakeNode peer);

    NodeFleet fleet() {
        return mFleet;
    }

    NodeId id() {
        return mSelf.id();
    }

    /** Breaks the connection to a process; messages in flight on it are lost. */
    void disconnect(FakeNode peer) {
        if (mConnections.remove(peer.id(), peer)) {
            mInbox.add(() -> down(peer));
        }
    }

    void connect(FakeNode peer) {
        mConnections.put(peer.id(), peer);
        Message hello = peer.mHello;
        mInbox.add(
                () -> {
                    up(peer);
                    received(peer, hello);
                });
    }

    void run() {
        if (mFrozen || mDead) {
            return;
        }
        while (!mInbox.isEmpty()) {
            mInbox.poll().run();
        }
        tick();
    }

    final void keyValue(long requestId, KeyValueRequest request) {
        mFleet.mKeyValue.submit(
                mSelf.id().name() + mSelf.incarnation(),
                requestId,
                request,
                mFleet.mNowNanos,
                response -> mInbox.add(() -> keyValueResponse(requestId, response)));
    }

    final void send(NodeId to, Message message) {
        if (message instanceof MemberMessage.Hello) {
            mHello = message;
        }
        FakeNode receiver = mConnections.get(to);
        if (receiver == null || receiver.mConnections.get(id()) != this) {
            return;
        }
        mFleet.sent(this, receiver, message);
        receiver.mInbox.add(
                () -> {
                    if (receiver.mConnections.get(id()) == this) {
                        receiver.received(this, message);
                    }
                });
    }
}
