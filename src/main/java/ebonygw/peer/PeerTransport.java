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
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * Maintains the links to other processes: accepts and opens connections, performs the handshake and
 * transfers messages.
 *
 * <p>One event-loop thread does all reading and writing, so that the events of a process reach the
 * listener in order. {@link #send} may be called by one thread only, the control thread; the other
 * public methods are thread-safe.
 */
public final class PeerTransport implements AutoCloseable {
    private static final int LENGTH_BYTES = 4;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    /** A link that was up for longer than this resets the backoff of its process. */
    private static final long BACKOFF_RESET_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Member mSelf;
    private final PeerOptions mOptions;
    private final PeerCodec mCodec;
    private final Optional<PeerTls> mTls;
    private final RandomGenerator mRandom;
    private final PeerListener mListener;
    private final EventLoopGroup mLoop;
    private final Channel mServer;
    private final Map<NodeId, Link> mUpLinks = new ConcurrentHashMap<>();
    private final Set<Link> mLinks = ConcurrentHashMap.newKeySet();
    private final Map<NodeId, Dialer> mDialers = new HashMap<>();
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final LongAdder mFailedConnects = new LongAdder();
    private volatile MemberMessage.Hello mHello;
    private boolean mClosing;

    /**
     * Creates a transport and starts listening.
     *
     * @param self this process; the transport listens on its address, port 0 selects a free port
     * @param tls certificates for mutual TLS, empty for unencrypted links
     * @param random source of jitter, used on the event loop only
     * @param listener receives the events of the links on the event loop; if it blocks, reading
     *     stops on all links
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
        long interval = options.keepAliveNanos();
        mLoop.scheduleWithFixedDelay(this::checkLinks, interval, interval, TimeUnit.NANOSECONDS);
    }

    /** Sends the queued messages of all links, closes the links and stops listening; idempotent. */
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

    /** Returns a description of the links that are up, by name of the process, for diagnostics. */
    public Map<String, Object> dump() {
        Map<String, Object> links = new TreeMap<>();
        mUpLinks.forEach(
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

    /** Returns how many connections, opened or accepted, ended before their link was up. */
    public long failedConnects() {
        return mFailedConnects.sum();
    }

    /** Returns this process, with the port that it listens on. */
    public Member self() {
        return mSelf;
    }

    /**
     * Sends a message; it is dropped if no link to the process is up. Never blocks.
     *
     * <p>A {@link MemberMessage.Hello} also replaces the hello that this process sends on new
     * links.
     */
    public void send(NodeId to, Message message) {
        if (message instanceof MemberMessage.Hello hello) {
            mHello = hello;
        }
        Link link = mUpLinks.get(to);
        if (link != null && !mClosed.get()) {
            link.enqueue(message);
        }
    }

    /**
     * Sets the processes to maintain links to; replaces the previous set.
     *
     * <p>A link to any other process is closed, after its queued messages are sent, unless that
     * process wants it. This process itself is ignored in the set.
     *
     * @param members the processes with their addresses
     */
    public void setDesiredPeers(Set<Member> members) {
        Set<Member> desired = Set.copyOf(members);
        if (!mClosed.get()) {
            mLoop.execute(() -> setDesiredPeersNow(desired));
        }
    }

    /** Returns how many links are up. */
    public int size() {
        return mUpLinks.size();
    }

    PeerCodec codec() {
        return mCodec;
    }

    /**
     * Returns whether this process decides which links to another are kept; see {@link LinkRule}.
     */
    boolean decides(Member peer) {
        return LinkRule.decides(mSelf.id(), peer.id());
    }

    /** Returns the encoded hello of this process. */
    Envelope hello() {
        return mCodec.encode(mHello);
    }

    PeerListener listener() {
        return mListener;
    }

    /** Removes a closed link and schedules a new connection if the link is desired. */
    void onClosed(Link link) {
        mLinks.remove(link);
        Member peer = link.peer();
        if (peer == null) {
            mFailedConnects.increment();
        }
        if (peer != null && mUpLinks.remove(peer.id(), link)) {
            mListener.down(peer.id(), peer.incarnation());
            dialAfterBackoff(peer.id());
        }
        link.expected().ifPresent(expected -> dialEnded(expected.id(), link));
    }

    /** Registers a link that is now up, in place of any previous link to the same process. */
    void onEstablished(Link link) {
        Member peer = link.peer();
        Link previous = mUpLinks.remove(peer.id());
        if (previous != null) {
            mListener.down(peer.id(), previous.peer().incarnation());
            previous.close("replaced", "");
        }
        mUpLinks.put(peer.id(), link);
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
        link.setWanted(mDialers.containsKey(peer.id()));
    }

    PeerOptions options() {
        return mOptions;
    }

    /**
     * Returns the reason to reject a link to a process, empty if the link is acceptable.
     *
     * <p>Incarnations of processes whose links are down are not compared: the clock of a host may
     * have been set back between two starts of a process.
     */
    Optional<String> rejectionReason(Link link, Member peer) {
        if (peer.id().equals(mSelf.id())) {
            return Optional.of("own_name");
        }
        if (mClosing) {
            return Optional.of("stopping");
        }
        long minIncarnation = link.expected().map(Member::incarnation).orElse(Long.MIN_VALUE);
        if (peer.incarnation() < minIncarnation) {
            return Optional.of("old_incarnation");
        }
        Link up = mUpLinks.get(peer.id());
        if (up == null) {
            return Optional.empty();
        }
        boolean replaces =
                LinkRule.replaces(decides(peer), up.peer().incarnation(), peer.incarnation());
        return replaces ? Optional.empty() : Optional.of("second_link");
    }

    /**
     * Sends keep-alive messages and closes idle links. A single timer for all links, so that the
     * number of wake-ups does not grow with the number of links.
     */
    private void checkLinks() {
        long nowNanos = System.nanoTime();
        new ArrayList<>(mLinks).forEach(link -> link.checkActivity(nowNanos));
    }

    private void closeAll() {
        mClosing = true;
        mServer.close();
        mDialers.clear();
        new ArrayList<>(mLinks).forEach(link -> link.closeAfterFlush("stopping"));
    }

    private void dial(Dialer dialer) {
        dialer.mScheduled = false;
        boolean desired = mDialers.get(dialer.mPeer.id()) == dialer;
        if (!desired || dialer.mPendingLink != null || isLinked(dialer)) {
            return;
        }
        Link link = new Link(this, Optional.of(dialer.mPeer));
        dialer.mPendingLink = link;
        Bootstrap bootstrap = new Bootstrap().group(mLoop).channel(NioSocketChannel.class);
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        bootstrap.option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark());
        int timeout = (int) TimeUnit.NANOSECONDS.toMillis(mOptions.connectTimeoutNanos());
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout);
        bootstrap.handler(initializer(() -> link));
        bootstrap
                .connect(PeerAddresses.parse(dialer.mPeer.address()))
                .addListener(
                        (ChannelFuture done) -> {
                            if (!done.isSuccess()) {
                                link.close("unreachable", String.valueOf(done.cause()));
                            }
                        });
    }

    private void dialAfterBackoff(NodeId id) {
        Dialer dialer = mDialers.get(id);
        if (dialer == null || mClosing) {
            return;
        }
        if (dialer.mScheduled || dialer.mPendingLink != null || isLinked(dialer)) {
            return;
        }
        if (dialer.mUpSinceNanos != 0
                && System.nanoTime() - dialer.mUpSinceNanos > BACKOFF_RESET_NANOS) {
            dialer.mFailures = 0;
        }
        dialer.mUpSinceNanos = 0;
        dialer.mFailures++;
        dialer.mScheduled = true;
        long delayNanos =
                Backoff.waitNanos(
                        dialer.mFailures,
                        mOptions.initialBackoffNanos(),
                        mOptions.maxBackoffNanos(),
                        mRandom);
        mLoop.schedule(() -> dial(dialer), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void dialEnded(NodeId id, Link link) {
        Dialer dialer = mDialers.get(id);
        if (dialer != null && dialer.mPendingLink == link) {
            dialer.mPendingLink = null;
            dialAfterBackoff(id);
        }
    }

    /**
     * Connects to a newly desired process. The process of the pair that does not decide waits
     * first, so that two processes that desire each other usually open a single connection.
     */
    private void dialNew(Dialer dialer) {
        if (decides(dialer.mPeer)) {
            dial(dialer);
        } else {
            dialer.mScheduled = true;
            long delayNanos = mOptions.initialBackoffNanos();
            mLoop.schedule(() -> dial(dialer), delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private ChannelInitializer<SocketChannel> initializer(Supplier<Link> links) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                Link link = links.get();
                mLinks.add(link);
                ChannelPipeline pipeline = channel.pipeline();
                pipeline.addLast(link.new ReadTimeHandler());
                mTls.ifPresent(tls -> pipeline.addLast(tls.handler(channel, link.openedHere())));
                int maxBytes = mOptions.maxMessageBytes();
                pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(
                                maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
                pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
                pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
                pipeline.addLast(new ProtobufEncoder());
                pipeline.addLast(link);
            }
        };
    }

    /** Returns whether a link to the current or a later incarnation of the process is up. */
    private boolean isLinked(Dialer dialer) {
        Link up = mUpLinks.get(dialer.mPeer.id());
        return up != null && up.peer().incarnation() >= dialer.mPeer.incarnation();
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

    private void setDesiredPeersNow(Set<Member> members) {
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
            dialer.mPeer = member;
            if (!dialer.mScheduled && dialer.mPendingLink == null && !isLinked(dialer)) {
                dialNew(dialer);
            }
        }
        mDialers.keySet().retainAll(ids);
        for (Link link : new ArrayList<>(mLinks)) {
            if (link.isUp()) {
                link.setWanted(ids.contains(link.peer().id()));
            } else if (link.openedHere() && !ids.contains(link.expected().get().id())) {
                link.close("not_wanted", "");
            }
        }
    }

    private WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(mOptions.maxQueuedBytes() / 2, mOptions.maxQueuedBytes());
    }

    /** The state of the connection attempts to one desired process; event loop only. */
    private static final class Dialer {
        private Member mPeer;
        private Link mPendingLink;
        private boolean mScheduled;
        private int mFailures;
        private long mUpSinceNanos;

        Dialer(Member peer) {
            mPeer = peer;
        }
    }
}
