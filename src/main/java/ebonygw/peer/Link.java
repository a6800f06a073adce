package ebonygw.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import ebonygw.membership.MemberValues;
import ebonygw.protocol.Message;
import ebonygw.wire.PeerProtocol.Envelope;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One connection to another process, from its opening to its close.
 *
 * <p>Handshake: The process that opened the connection sends its hello first, and the other process
 * responds with its own. The process that decides which links of the pair are kept (see {@link
 * LinkRule}) accepts the link by sending its next message; only then does the other process treat
 * the link as up.
 *
 * <p>All methods run on the transport's event loop, except {@link #enqueue}, which one other thread
 * may call.
 */
final class Link extends SimpleChannelInboundHandler<Envelope> {
    private static final int MAX_MESSAGES_PER_FLUSH = 256;

    /** How long a link that neither process wants stays open, in case one wants it again. */
    private static final long UNWANTED_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PeerTransport mTransport;
    private final Optional<Member> mExpected;
    private final Queue<Message> mQueue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mQueuedCount = new AtomicInteger();
    private final AtomicBoolean mDrainScheduled = new AtomicBoolean();
    private Channel mChannel;
    private Envelope mPeerHello;
    private Member mPeer;
    private boolean mClosed;
    private boolean mWantedLocally;
    private boolean mWantedByPeer;
    private long mReadNanos;
    private boolean mWrittenSinceCheck;
    private volatile long mSent;
    private volatile long mReceived;

    /**
     * Creates the handler of a connection.
     *
     * @param transport the transport that owns the link
     * @param expected the process that this process connects to, empty for an accepted connection
     */
    Link(PeerTransport transport, Optional<Member> expected) {
        mTransport = transport;
        mExpected = expected;
        mWantedLocally = expected.isPresent();
        mWantedByPeer = expected.isEmpty();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context.channel();
        mReadNanos = System.nanoTime();
        if (openedHere()) {
            context.writeAndFlush(mTransport.hello());
        }
        long timeout = mTransport.options().connectTimeoutNanos();
        context.executor().schedule(this::closeUnlessUp, timeout, TimeUnit.NANOSECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        close("peer_closed", "");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Throwable root =
                cause instanceof DecoderException && cause.getCause() != null
                        ? cause.getCause()
                        : cause;
        boolean malformed =
                root instanceof InvalidProtocolBufferException || root instanceof DecoderException;
        close(malformed ? "malformed" : "failed", root.toString());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (mClosed) {
            return;
        }
        try {
            if (isUp()) {
                receive(envelope);
            } else if (mPeerHello != null) {
                establish();
                receive(envelope);
            } else {
                handleHello(envelope);
            }
        } catch (IllegalArgumentException malformed) {
            close("malformed", malformed.getMessage());
        }
    }

    /**
     * Closes the link if nothing has been received for the idle timeout; otherwise sends a
     * keep-alive message if nothing has been written since the previous check.
     */
    void checkActivity(long nowNanos) {
        if (mClosed || mChannel == null) {
            return;
        }
        if (nowNanos - mReadNanos > mTransport.options().idleTimeoutNanos()) {
            close("idle", "");
        } else if (isUp() && !mWrittenSinceCheck) {
            mChannel.writeAndFlush(Envelope.getDefaultInstance());
        }
        mWrittenSinceCheck = false;
    }

    /** Closes the connection and notifies the transport; idempotent. */
    void close(String why, String detail) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        LogLine line =
                LogLine.of("link_closed")
                        .with("node", mTransport.self().id())
                        .with("why", why)
                        .with("opened_here", openedHere());
        line.with("peer", mPeer != null ? mPeer.id() : mExpected.map(Member::id).orElse(null));
        line.with("address", mChannel == null ? null : mChannel.remoteAddress());
        line.with("detail", detail).info();
        if (mChannel != null) {
            mChannel.close();
        }
        mTransport.onClosed(this);
    }

    /** Sends the queued messages, then closes the connection. */
    void closeAfterFlush(String why) {
        if (mClosed || mChannel == null) {
            return;
        }
        drain();
        Envelope last = Envelope.getDefaultInstance();
        mChannel.writeAndFlush(last).addListener((ChannelFutureListener) done -> close(why, ""));
    }

    /**
     * Queues a message. If the queue is full, closes the link: skipping the message would break the
     * ordering guarantee.
     */
    void enqueue(Message message) {
        int queued = mQueuedCount.incrementAndGet();
        if (queued > mTransport.options().maxQueuedMessages()) {
            mChannel.eventLoop().execute(() -> close("overflow", "messages=" + queued));
            return;
        }
        mQueue.add(message);
        if (mDrainScheduled.compareAndSet(false, true)) {
            mChannel.eventLoop().execute(this::drain);
        }
    }

    /** Returns the process that this process connects to, empty for an accepted connection. */
    Optional<Member> expected() {
        return mExpected;
    }

    /** Returns whether the link was accepted and is not closed. */
    boolean isUp() {
        return mPeer != null && !mClosed;
    }

    /** Returns whether this process opened the connection. */
    boolean openedHere() {
        return mExpected.isPresent();
    }

    /** Returns the other process, null before the link is up. */
    Member peer() {
        return mPeer;
    }

    /** Returns how many messages were received. */
    long received() {
        return mReceived;
    }

    /** Returns how many messages were sent. */
    long sent() {
        return mSent;
    }

    /**
     * Sets whether this process wants the link and notifies the other process. A link that neither
     * wants is closed after a delay.
     */
    void setWanted(boolean wanted) {
        if (mWantedLocally != wanted) {
            mWantedLocally = wanted;
            Envelope.Builder envelope = Envelope.newBuilder();
            envelope.getUseBuilder().setWanted(wanted);
            mChannel.writeAndFlush(envelope.build());
        }
        closeLaterIfUnwanted();
    }

    private void closeIfUnwanted() {
        if (!mWantedLocally && !mWantedByPeer) {
            closeAfterFlush("not_wanted");
        }
    }

    private void closeLaterIfUnwanted() {
        if (!mWantedLocally && !mWantedByPeer) {
            mChannel.eventLoop()
                    .schedule(this::closeIfUnwanted, UNWANTED_GRACE_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void closeUnlessUp() {
        if (!isUp()) {
            close("no_hello", "");
        }
    }

    private void drain() {
        mDrainScheduled.set(false);
        int unflushed = 0;
        for (Message message = mQueue.poll(); message != null; message = mQueue.poll()) {
            mQueuedCount.decrementAndGet();
            if (mClosed) {
                continue;
            }
            if (!write(message)) {
                continue;
            }
            unflushed++;
            if (unflushed == MAX_MESSAGES_PER_FLUSH || !mChannel.isWritable()) {
                flush();
                unflushed = 0;
            }
        }
        if (unflushed > 0 && !mClosed) {
            flush();
        }
    }

    private void establish() {
        mPeer = MemberValues.fromWire(mPeerHello.getHello().getSelf());
        mTransport.onEstablished(this);
        receive(mPeerHello);
    }

    private void flush() {
        mChannel.flush();
        if (!mChannel.isWritable() && !mClosed) {
            close("overflow", "bytes=" + mTransport.options().maxQueuedBytes());
        }
    }

    /**
     * Handles the first message, which must be a hello. The link is up at once on the process that
     * decides and on the one that opened the connection; otherwise on the next message.
     */
    private void handleHello(Envelope envelope) {
        if (!envelope.hasHello()) {
            close("no_hello", envelope.getKindCase().toString());
            return;
        }
        if (envelope.getHello().getProtocolVersion() < MemberCodec.PROTOCOL_VERSION) {
            throw new IllegalArgumentException(
                    "hello with protocol version "
                            + envelope.getHello().getProtocolVersion()
                            + ", minimum "
                            + MemberCodec.PROTOCOL_VERSION);
        }
        Member peer = MemberValues.fromWire(envelope.getHello().getSelf());
        if (mExpected.isPresent() && !mExpected.get().id().equals(peer.id())) {
            close("other_process", peer.id().name());
            return;
        }
        Optional<String> rejection = mTransport.rejectionReason(this, peer);
        if (rejection.isPresent()) {
            close(rejection.get(), peer.id() + "/" + peer.incarnation());
            return;
        }
        mPeerHello = envelope;
        boolean decides = mTransport.decides(peer);
        if (!openedHere()) {
            mChannel.writeAndFlush(mTransport.hello());
        } else if (decides) {
            mChannel.writeAndFlush(Envelope.getDefaultInstance());
        }
        if (openedHere() || decides) {
            establish();
        }
    }

    private void receive(Envelope envelope) {
        mReceived++;
        if (envelope.hasUse()) {
            mWantedByPeer = envelope.getUse().getWanted();
            closeLaterIfUnwanted();
            return;
        }
        Optional<Message> message = mTransport.codec().decode(envelope);
        if (message.isPresent()) {
            mTransport.listener().message(mPeer.id(), mPeer.incarnation(), message.get());
        }
    }

    private boolean write(Message message) {
        Envelope envelope;
        try {
            envelope = mTransport.codec().encode(message);
        } catch (IllegalArgumentException unknown) {
            LogLine.of("message_unsendable").with("detail", unknown.getMessage()).error();
            return false;
        }
        mChannel.write(envelope, mChannel.voidPromise());
        mWrittenSinceCheck = true;
        mSent++;
        return true;
    }

    /** Records when bytes were last received, also those of a message that is not complete yet. */
    final class ReadTimeHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            mReadNanos = System.nanoTime();
            context.fireChannelRead(bytes);
        }
    }
}
