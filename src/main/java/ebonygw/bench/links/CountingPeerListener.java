package ebonygw.bench.links;

import ebonygw.membership.MemberMessage;
import ebonygw.peer.PeerListener;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

/** Counts the messages on a connection, except hellos, and passes them to an optional handler. */
final class CountingPeerListener implements PeerListener {
    private final CountDownLatch mConnected = new CountDownLatch(1);
    private volatile Consumer<Message> mMessageHandler = message -> {};
    private volatile long mMessageCount;
    private volatile boolean mDisconnected;

    CountingPeerListener() {}

    /** Waits until the connection is established. */
    void awaitConnected() throws InterruptedException {
        mConnected.await();
    }

    /**
     * Busy-waits until at least {@code count} messages were received.
     *
     * @throws IllegalStateException if the connection is lost before that
     */
    void awaitMessageCount(long count) throws InterruptedException {
        while (mMessageCount < count) {
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            if (mDisconnected) {
                throw new IllegalStateException(
                        "connection lost after " + mMessageCount + " of " + count + " messages");
            }
            Thread.onSpinWait();
        }
    }

    @Override
    public void down(NodeId peer, long incarnation) {
        mDisconnected = true;
    }

    @Override
    public void message(NodeId peer, long incarnation, Message message) {
        if (!(message instanceof MemberMessage.Hello)) {
            mMessageCount = mMessageCount + 1;
            mMessageHandler.accept(message);
        }
    }

    /** Returns how many messages were received, hellos excluded. */
    long messageCount() {
        return mMessageCount;
    }

    /** Sets the handler of each further message. */
    void setMessageHandler(Consumer<Message> handler) {
        mMessageHandler = handler;
    }

    @Override
    public void up(NodeId peer, long incarnation) {
        mConnected.countDown();
    }
}
