package ebonygw;

import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/** One process of a {@link NodeFleet}, entry or target, which can be frozen. */
abstract class FakeNode {
    final Member mSelf;
    final Map<NodeId, FakeNode> mLinks = new TreeMap<>();
    final Deque<Runnable> mInbox = new ArrayDeque<>();
    boolean mFrozen;
    boolean mDead;
    boolean mExited;
    long mStopAskedNanos = Long.MAX_VALUE;
    long mLastRevision;
    private final NodeFleet mFleet;
    private Message mHello;

    FakeNode(NodeFleet fleet, Member self) {
        mFleet = fleet;
        mSelf = self;
        mHello = new MemberMessage.Hello(self, 0);
    }

    abstract void askStop();

    abstract void down(FakeNode peer);

    abstract void replied(long callId, KeyValueReply reply);

    abstract long revision();

    abstract void said(FakeNode peer, Message message);

    abstract void tick();

    abstract void up(FakeNode peer);

    NodeFleet fleet() {
        return mFleet;
    }

    NodeId id() {
        return mSelf.id();
    }

    /** Breaks the link to a process; what is under way on it is lost. */
    void breakLink(FakeNode peer) {
        if (mLinks.remove(peer.id(), peer)) {
            mInbox.add(() -> down(peer));
        }
    }

    void link(FakeNode peer) {
        mLinks.put(peer.id(), peer);
        Message hello = peer.mHello;
        mInbox.add(
                () -> {
                    up(peer);
                    said(peer, hello);
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

    final void keyValue(long callId, KeyValueCall call) {
        mFleet.mService.call(
                mSelf.id().name() + mSelf.incarnation(),
                callId,
                call,
                mFleet.mNowNanos,
                reply -> mInbox.add(() -> replied(callId, reply)));
    }

    final void send(NodeId to, Message message) {
        if (message instanceof MemberMessage.Hello) {
            mHello = message;
        }
        FakeNode receiver = mLinks.get(to);
        if (receiver == null || receiver.mLinks.get(id()) != this) {
            return;
        }
        mFleet.sent(this, receiver, message);
        receiver.mInbox.add(
                () -> {
                    if (receiver.mLinks.get(id()) == this) {
                        receiver.said(this, message);
                    }
                });
    }
}
