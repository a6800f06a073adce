package ebonygw.peer;

import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.wire.PeerProtocol.Envelope;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Holds the links to other processes: listens, dials, checks hellos and carries messages.
 *
 * <p>One event-loop thread does all reading and writing, so that what the listener hears about a
 * process is in order. {@link #send} is for one thread, the control thread; the other public
 * methods are thread-safe.
 */
public final class PeerTransport implements AutoCloseable {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_REMEMBERED_INCARNATIONS = 1 << 16;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;
    private static final long STEADY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Member mSelf;
    private final PeerOptions mOptions;
    private final PeerCodec mCodec;
    private final Optional<PeerTls> mTls;
    private final RandomGenerator mRandom;
    private final PeerListener mListener;
    private final EventLoopGroup mLoop;
    private final Channel mServer;
    private final Map<NodeId, Link> mUp = new ConcurrentHashMap<>();
    private final Set<Link> mAll = ConcurrentHashMap.newKeySet();
    private final Map<NodeId, Dialer> mDialers = new HashMap<>();
    private final Map<NodeId, Long> mIncarnations = new RecentIncarnations();
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final LongAdder mRefused = new LongAdder();
    private volatile MemberMessage.Hello mHello;
    private boolean mClosing;

    /**
     * Starts to listen.
     *
     * @param self this process; its address is where to listen, port 0 for any free one
     * @param options bounds and times
     * @param codec translates the messages
     * @param tls certificates of both ends, empty for links without encryption
     * @param random source of jitter, used on the event loop only
     * @param listener hears of the links on the event loop; if it blocks, all reading waits
     * @throws IllegalArgumentException if the address is not {@code ip:port}
     * @throws IllegalStateException if the address cannot be listened on
     */
    public PeerTransport(
            Member self,
            PeerOptions options,
            PeerCodec codec,
            Optional<PeerTls> tls,
            RandomGenerator random,
            PeerListener listener) {
        mOptions = Objects.requireNonNull(options, "options");
        mCodec = Objects.requireNonNull(codec, "codec");
        mTls = Objects.requireNonNull(tls, "tls");
        mRandom = Objects.requireNonNull(random, "random");
        mListener = Objects.requireNonNull(listener, "listener");
        InetSocketAddress address = PeerAddresses.parse(self.address());
        mLoop =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("peer-io", true), NioIoHandler.newFactory());
        ChannelFuture bound = server().bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            mLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            throw new IllegalStateException("cannot listen on " + self.address(), bound.cause());
        }
        mServer = bound.channel();
        int port = ((InetSocketAddress) mServer.localAddress()).getPort();
        mSelf = PeerAddresses.withPort(self, port);
        mHello = new MemberMessage.Hello(mSelf, 0);
    }

    /** Sends what waits on all links, closes them and stops listening; idempotent. */
    @Override
    public void close() {
        if (!mClosed.compareAndSet(false, true)) {
            return;
        }
        mLoop.execute(this::closeAll);
        mLoop.shutdownGracefully(
                CLOSE_TIMEOUT_MILLIS / 20, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (!mLoop.terminationFuture().awaitUninterruptibly(2 * CLOSE_TIMEOUT_MILLIS)) {
            LogLine.of("peer_close_overrun").warn();
        }
    }

    /** Returns the links that are up, by name of the process, for people. */
    public Map<String, Object> dump() {
        Map<String, Object> links = new TreeMap<>();
        mUp.forEach(
                (id, link) ->
                        links.put(
                                id.name(),
                                Map.of(
                                        "incarnation", link.peer().incarnation(),
                                        "address", link.peer().address(),
                                        "openedHere", link.openedHere(),
                                        "sent", link.sent(),
                                        "received", link.received())));
        return links;
    }

    /**
     * Sets the processes to hold links to; replaces the former set.
     *
     * <p>Links that this process opened to others are closed after what waits on them is sent;
     * links opened by the other end stay. This process itself is ignored.
     *
     * @param members the processes with their addresses
     */
    public void links(Set<Member> members) {
        Set<Member> wanted = Set.copyOf(members);
        if (!mClosed.get()) {
            mLoop.execute(() -> want(wanted));
        }
    }

    /** Returns how many links were closed before they were up. */
    public long refused() {
        return mRefused.sum();
    }

    /** Returns this process with the address that it listens on. */
    public Member self() {
        return mSelf;
    }

    /**
     * Sends a message; it is lost if no link to the process is up.
     *
     * <p>A hello also becomes the first message of links to come. Never blocks.
     */
    public void send(NodeId to, Message message) {
        if (message instanceof MemberMessage.Hello hello) {
            mHello = hello;
        }
        Link link = mUp.get(to);
        if (link != null && !mClosed.get()) {
            link.queue(message);
        }
    }

    /** Returns how many links are up. */
    public int size() {
        return mUp.size();
    }

    /** Forgets a closed link and dials again if it is wanted. */
    void closed(Link link) {
        mAll.remove(link);
        Member peer = link.peer();
        if (peer == null) {
            mRefused.increment();
        }
        if (peer != null && mUp.remove(peer.id(), link)) {
            mListener.down(peer.id(), peer.incarnation());
            dialAgain(peer.id());
        }
        link.expected().ifPresent(expected -> dialEnded(expected.id(), link));
    }

    /** Returns the codec. */
    PeerCodec codec() {
        return mCodec;
    }

    /** Returns whether this process decides on links to another. */
    boolean decides(Member peer) {
        return LinkRule.decides(mSelf.id(), peer.id());
    }

    /** Takes a link whose hello was accepted, in place of a former one. */
    void established(Link link) {
        Member peer = link.peer();
        Link former = mUp.remove(peer.id());
        if (former != null) {
            mListener.down(peer.id(), former.peer().incarnation());
            former.close("replaced", "");
        }
        mIncarnations.put(peer.id(), peer.incarnation());
        mUp.put(peer.id(), link);
        Dialer dialer = mDialers.get(peer.id());
        if (dialer != null) {
            dialer.mUpSinceNanos = System.nanoTime();
        }
        LogLine.of("link_up")
                .with("node", mSelf.id())
                .with("peer", peer.id())
                .with("incarnation", peer.incarnation())
                .with("address", peer.address())
                .with("opened_here", link.openedHere())
                .info();
        mListener.up(peer.id(), peer.incarnation());
        link.wanted(mDialers.containsKey(peer.id()));
    }

    /** Returns this process's hello. */
    Envelope hello() {
        return mCodec.encode(mHello);
    }

    /** Returns who hears of the links. */
    PeerListener listener() {
        return mListener;
    }

    /** Returns the options. */
    PeerOptions options() {
        return mOptions;
    }

    /** Returns why a link to a process is not taken, empty if it is. */
    Optional<String> rejection(Link link, Member peer) {
        if (peer.id().equals(mSelf.id())) {
            return Optional.of("own_name");
        }
        if (mClosing) {
            return Optional.of("stopping");
        }
        long least = link.expected().map(Member::incarnation).orElse(Long.MIN_VALUE);
        least = Math.max(least, mIncarnations.getOrDefault(peer.id(), Long.MIN_VALUE));
        if (peer.incarnation() < least) {
            return Optional.of("old_incarnation");
        }
        Link up = mUp.get(peer.id());
        if (up == null) {
            return Optional.empty();
        }
        boolean replaces =
                LinkRule.replaces(decides(peer), up.peer().incarnation(), peer.incarnation());
        return replaces ? Optional.empty() : Optional.of("second_link");
    }

    private void closeAll() {
        mClosing = true;
        mServer.close();
        mDialers.clear();
        new ArrayList<>(mAll).forEach(link -> link.closeAfterFlush("stopping"));
    }

    private void dial(Dialer dialer) {
        dialer.mScheduled = false;
        boolean wanted = mDialers.get(dialer.mMember.id()) == dialer;
        if (!wanted || dialer.mDialled != null || isServed(dialer)) {
            return;
        }
        Link link = new Link(this, Optional.of(dialer.mMember));
        dialer.mDialled = link;
        Bootstrap bootstrap = new Bootstrap().group(mLoop).channel(NioSocketChannel.class);
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        bootstrap.option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark());
        int timeout = (int) TimeUnit.NANOSECONDS.toMillis(mOptions.connectTimeoutNanos());
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout);
        bootstrap.handler(initializer(() -> link));
        bootstrap
                .connect(PeerAddresses.parse(dialer.mMember.address()))
                .addListener(
                        (ChannelFuture done) -> {
                            if (!done.isSuccess()) {
                                link.close("unreachable", String.valueOf(done.cause()));
                            }
                        });
    }

    private void dialAgain(NodeId id) {
        Dialer dialer = mDialers.get(id);
        if (dialer == null || mClosing) {
            return;
        }
        if (dialer.mScheduled || dialer.mDialled != null || isServed(dialer)) {
            return;
        }
        if (dialer.mUpSinceNanos != 0 && System.nanoTime() - dialer.mUpSinceNanos > STEADY_NANOS) {
            dialer.mFailures = 0;
        }
        dialer.mUpSinceNanos = 0;
        dialer.mFailures++;
        dialer.mScheduled = true;
        long wait =
                Backoff.waitNanos(
                        dialer.mFailures,
                        mOptions.backoffFirstNanos(),
                        mOptions.backoffMostNanos(),
                        mRandom);
        mLoop.schedule(() -> dial(dialer), wait, TimeUnit.NANOSECONDS);
    }

    private void dialEnded(NodeId id, Link link) {
        Dialer dialer = mDialers.get(id);
        if (dialer != null && dialer.mDialled == link) {
            dialer.mDialled = null;
            dialAgain(id);
        }
    }

    /** Dials a new process; of two that dial each other, the one with the greater name waits. */
    private void dialFirst(Dialer dialer) {
        if (decides(dialer.mMember)) {
            dial(dialer);
        } else {
            dialer.mScheduled = true;
            long wait = mOptions.backoffFirstNanos();
            mLoop.schedule(() -> dial(dialer), wait, TimeUnit.NANOSECONDS);
        }
    }

    private ChannelInitializer<SocketChannel> initializer(Supplier<Link> links) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                Link link = links.get();
                mAll.add(link);
                ChannelPipeline pipeline = channel.pipeline();
                pipeline.addLast(
                        new IdleStateHandler(
                                mOptions.idleTimeoutNanos(),
                                mOptions.keepAliveNanos(),
                                0,
                                TimeUnit.NANOSECONDS));
                mTls.ifPresent(tls -> pipeline.addLast(tls.handler(channel, link.openedHere())));
                int most = mOptions.maxMessageBytes();
                pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(most, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
                pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
                pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
                pipeline.addLast(new ProtobufEncoder());
                pipeline.addLast(link);
            }
        };
    }

    private boolean isServed(Dialer dialer) {
        Link up = mUp.get(dialer.mMember.id());
        return up != null && up.peer().incarnation() >= dialer.mMember.incarnation();
    }

    private ServerBootstrap server() {
        return new ServerBootstrap()
                .group(mLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(initializer(() -> new Link(this, Optional.empty())));
    }

    private void want(Set<Member> members) {
        if (mClosing) {
            return;
        }
        Set<NodeId> ids = new HashSet<>();
        for (Member member : members) {
            if (member.id().equals(mSelf.id())) {
                continue;
            }
            ids.add(member.id());
            Dialer dialer = mDialers.computeIfAbsent(member.id(), id -> new Dialer(member));
            dialer.mMember = member;
            if (!dialer.mScheduled && dialer.mDialled == null && !isServed(dialer)) {
                dialFirst(dialer);
            }
        }
        mDialers.keySet().retainAll(ids);
        for (Link link : new ArrayList<>(mAll)) {
            if (link.isUp()) {
                link.wanted(ids.contains(link.peer().id()));
            } else if (link.openedHere() && !ids.contains(link.expected().get().id())) {
                link.close("not_wanted", "");
            }
        }
    }

    private WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(mOptions.maxQueuedBytes() / 2, mOptions.maxQueuedBytes());
    }

    /** The attempts to connect to one wanted process. */
    private static final class Dialer {
        private Member mMember;
        private Link mDialled;
        private boolean mScheduled;
        private int mFailures;
        private long mUpSinceNanos;

        Dialer(Member member) {
            mMember = member;
        }
    }

    /** The greatest incarnation seen of each process, bounded by forgetting the oldest entries. */
    private static final class RecentIncarnations extends LinkedHashMap<NodeId, Long> {
        private static final long serialVersionUID = 1L;

        RecentIncarnations() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeId, Long> eldest) {
            return size() > MAX_REMEMBERED_INCARNATIONS;
        }
    }
}
