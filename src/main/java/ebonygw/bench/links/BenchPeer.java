package ebonygw.bench.links;

import ebonygw.membership.MemberMessage;
import ebonygw.peer.PeerListener;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

/** Counts messages of a link, and answers them if asked to. */
final class BenchPeer implements PeerListener {
    private final CountDownLatch mUp = new CountDownLatch(1);
    private volatile Consumer<Message> mEcho = message -> {};
    private volatile long mCount;
    private volatile boolean mDown;

    BenchPeer() {}

    /** Waits until so many messages have come. */
    void awaitCount(long count) throws InterruptedException {
        while (mCount < count) {
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            if (mDown) {
                throw new IllegalStateException("the link was lost");
            }
            Thread.onSpinWait();
        }
    }

    /** Waits until the link is up. */
    void awaitUp() throws InterruptedException {
        mUp.await();
    }

    /** Returns how many messages have come, without hellos. */
    long count() {
        return mCount;
    }

    @Override
    public void down(NodeId peer, long incarnation) {
        mDown = true;
    }

    /** Sets what is done with each message to come. */
    void echo(Consumer<Message> echo) {
        mEcho = echo;
    }

    @Override
    public void message(NodeId peer, long incarnation, Message message) {
        if (!(message instanceof MemberMessage.Hello)) {
            mCount = mCount + 1;
            mEcho.accept(message);
        }
    }

    @Override
    public void up(NodeId peer, long incarnation) {
        mUp.countDown();
    }
}
