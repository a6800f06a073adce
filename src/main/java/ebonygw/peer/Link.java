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
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One connection to another process, from its first byte to its end.
 *
 * <p>The end that opened it says hello first. The end that decides on the pair's links says with
 * its next message that the link is taken; until then the other end does not count it as up.
 *
 * <p>All methods run on the transport's event loop, but for {@link #queue}, which any one thread
 * may call.
 */
final class Link extends SimpleChannelInboundHandler<Envelope> {
    private static final int FLUSH_MESSAGES = 256;
    private static final long UNWANTED_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PeerTransport mTransport;
    private final Optional<Member> mExpected;
    private final Queue<Message> mQueue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mQueued = new AtomicInteger();
    private final AtomicBoolean mScheduled = new AtomicBoolean();
    private Channel mChannel;
    private Envelope mHello;
    private Member mPeer;
    private boolean mClosed;
    private boolean mWantedHere;
    private boolean mWantedThere;
    private volatile long mSent;
    private volatile long mReceived;

    /**
     * Creates the handler of a connection.
     *
     * @param transport the owner
     * @param expected the process that was dialled, empty for an accepted connection
     */
    Link(PeerTransport transport, Optional<Member> expected) {
        mTransport = transport;
        mExpected = expected;
        mWantedHere = expected.isPresent();
        mWantedThere = expected.isEmpty();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context.channel();
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
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof IdleStateEvent idle)) {
            return;
        }
        if (idle.state() == IdleState.READER_IDLE) {
            close("idle", "");
        } else if (isUp()) {
            context.writeAndFlush(Envelope.getDefaultInstance());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (mClosed) {
            return;
        }
        try {
            if (isUp()) {
                receive(envelope);
            } else if (mHello != null) {
                establish();
                receive(envelope);
            } else {
                greet(envelope);
            }
        } catch (IllegalArgumentException malformed) {
            close("malformed", malformed.getMessage());
        }
    }

    /** Closes the connection and tells the transport; does nothing the second time. */
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
        mTransport.closed(this);
    }

    /** Sends what waits, then closes the connection. */
    void closeAfterFlush(String why) {
        if (mClosed || mChannel == null) {
            return;
        }
        drain();
        Envelope last = Envelope.getDefaultInstance();
        mChannel.writeAndFlush(last).addListener((ChannelFutureListener) done -> close(why, ""));
    }

    /** Returns the process that was dialled. */
    Optional<Member> expected() {
        return mExpected;
    }

    /** Returns whether the hello of the other process was accepted and the link not closed. */
    boolean isUp() {
        return mPeer != null && !mClosed;
    }

    /** Returns whether this process opened the connection. */
    boolean openedHere() {
        return mExpected.isPresent();
    }

    /** Returns the other process, null before its hello. */
    Member peer() {
        return mPeer;
    }

    /** Appends a message; over the bound the link is closed, since its order would break. */
    void queue(Message message) {
        int queued = mQueued.incrementAndGet();
        if (queued > mTransport.options().maxQueuedMessages()) {
            mChannel.eventLoop().execute(() -> close("overflow", "messages=" + queued));
            return;
        }
        mQueue.add(message);
        if (mScheduled.compareAndSet(false, true)) {
            mChannel.eventLoop().execute(this::drain);
        }
    }

    /** Returns how many messages were received. */
    long received() {
        return mReceived;
    }

    /** Returns how many messages were sent. */
    long sent() {
        return mSent;
    }

    /** Sets whether this end wants the link and tells the other; closed if neither does. */
    void wanted(boolean wanted) {
        if (mWantedHere != wanted) {
            mWantedHere = wanted;
            Envelope.Builder envelope = Envelope.newBuilder();
            envelope.getUseBuilder().setWanted(wanted);
            mChannel.writeAndFlush(envelope.build());
        }
        closeLaterIfUnwanted();
    }

    private void closeIfUnwanted() {
        if (!mWantedHere && !mWantedThere) {
            closeAfterFlush("not_wanted");
        }
    }

    private void closeLaterIfUnwanted() {
        if (!mWantedHere && !mWantedThere) {
            mChannel.eventLoop()
                    .schedule(this::closeIfUnwanted, UNWANTED_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void closeUnlessUp() {
        if (!isUp()) {
            close("no_hello", "");
        }
    }

    private void drain() {
        mScheduled.set(false);
        int unflushed = 0;
        for (Message message = mQueue.poll(); message != null; message = mQueue.poll()) {
            mQueued.decrementAndGet();
            if (mClosed) {
                continue;
            }
            if (!write(message)) {
                continue;
            }
            unflushed++;
            if (unflushed == FLUSH_MESSAGES || !mChannel.isWritable()) {
                flush();
                unflushed = 0;
            }
        }
        if (unflushed > 0 && !mClosed) {
            flush();
        }
    }

    private void establish() {
        mPeer = MemberValues.fromWire(mHello.getHello().getSelf());
        mTransport.established(this);
        receive(mHello);
    }

    private void flush() {
        mChannel.flush();
        if (!mChannel.isWritable() && !mClosed) {
            close("overflow", "bytes=" + mTransport.options().maxQueuedBytes());
        }
    }

    /** Takes the first message, which opens the link at once on the end that may decide it. */
    private void greet(Envelope envelope) {
        if (!envelope.hasHello()) {
            close("no_hello", envelope.getKindCase().toString());
            return;
        }
        if (envelope.getHello().getProtocolVersion() < MemberCodec.PROTOCOL_VERSION) {
            throw new IllegalArgumentException("protocol version missing");
        }
        Member peer = MemberValues.fromWire(envelope.getHello().getSelf());
        if (mExpected.isPresent() && !mExpected.get().id().equals(peer.id())) {
            close("other_process", peer.id().name());
            return;
        }
        Optional<String> rejection = mTransport.rejection(this, peer);
        if (rejection.isPresent()) {
            close(rejection.get(), peer.id() + "/" + peer.incarnation());
            return;
        }
        mHello = envelope;
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
            mWantedThere = envelope.getUse().getWanted();
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
        mSent++;
        return true;
    }
}
