package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The settings as one process holds them: fed in order from the key-value service or from other
 * processes, and never moved back.
 *
 * <p>{@link #state()} and {@link #view()} may be read by any thread; everything else belongs to the
 * control thread. Times are in nanoseconds since the Unix epoch.
 */
public final class SettingsReplica {
    private static final long PEERS_HEARD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final SettingsReplicaOptions mOptions;
    private final PeerFeed mPeers;
    private final ServiceFeed mService;
    private volatile SettingsState mState = SettingsState.EMPTY;
    private volatile SettingsView mView = SettingsState.EMPTY.view();
    private boolean mReady;
    private long mFirstPeerNanos;
    private String mFault = "";
    private String mToldFault = "";

    /** Creates a replica without settings. */
    public SettingsReplica(SettingsReplicaOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        mPeers = new PeerFeed(this, options);
        mService = new ServiceFeed(this, mPeers, options);
    }

    /** Returns what keeps the replica from following the log, empty if nothing does. */
    public Optional<String> fault() {
        return mFault.isEmpty() ? Optional.empty() : Optional.of(mFault);
    }

    /** Returns a fault that came up since the last call, for a log line; empty if none did. */
    public Optional<String> newFault() {
        if (mFault.equals(mToldFault)) {
            return Optional.empty();
        }
        mToldFault = mFault;
        return fault();
    }

    /** Tells about how many processes the fleet has, which spreads out attempts in an outage. */
    public void onFleetSize(int processes) {
        mService.onFleetSize(processes);
    }

    /**
     * Takes the reply to a key-value call.
     *
     * @return whether it was a call of this replica
     */
    public boolean onKeyValueReply(long callId, KeyValueReply reply, long nowNanos, Outbox out) {
        boolean own = mService.onReply(callId, reply, nowNanos, out);
        settleReady(nowNanos);
        return own;
    }

    /** Takes a message of a process. */
    public void onMessage(NodeId from, SettingsMessage message, long nowNanos, Outbox out) {
        if (message instanceof SettingsMessage.WatcherAlive alive) {
            mService.onWatcherAlive(from, alive, nowNanos, out);
        } else {
            mPeers.onMessage(from, message, nowNanos, out);
        }
        settleReady(nowNanos);
    }

    /**
     * Learns that a link to a process is lost; an older incarnation than the present is ignored.
     */
    public void onPeerDown(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        mPeers.onPeerDown(peer, incarnation, nowNanos, out);
    }

    /** Learns from a heartbeat or hello which revision a process holds. */
    public void onPeerRevision(NodeId peer, long revision, long nowNanos, Outbox out) {
        mPeers.onPeerRevision(peer, revision, nowNanos, out);
        settleReady(nowNanos);
    }

    /** Learns that a link to a process is up. */
    public void onPeerUp(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        if (mFirstPeerNanos == 0) {
            mFirstPeerNanos = nowNanos;
        }
        mPeers.onPeerUp(peer, incarnation, out);
    }

    /** Lets time pass; due at least every 10 milliseconds. */
    public void onTick(long nowNanos, Outbox out) {
        mPeers.onTick(nowNanos, out);
        mService.onTick(nowNanos, out);
        settleReady(nowNanos);
    }

    /** Returns whether settings are held and no newer ones are known; stays true from then on. */
    public boolean ready() {
        return mReady;
    }

    /** Returns the present state, with its log and tree. */
    public SettingsState state() {
        return mState;
    }

    /** Returns the effective settings in force in this process. */
    public SettingsView view() {
        return mView;
    }

    /** Returns whether this process reads the key-value service for the others at present. */
    public boolean watching() {
        return mService.active();
    }

    /** Returns the source of identifiers of key-value calls. */
    CallIds callIds() {
        return mOptions.callIds();
    }

    /** Notes what keeps the replica from following the log. */
    void fault(String fault) {
        mFault = fault;
    }

    /** Takes a whole state if it is newer; returns whether it was. */
    boolean install(SettingsState state, NodeId source, Outbox out) {
        if (state.revision() <= mState.revision()) {
            return false;
        }
        publish(state, source, out);
        return true;
    }

    /**
     * Applies those changes that follow the present revision without a gap.
     *
     * @param changes in any order, repeated or not
     * @param source process that they came from, null for the key-value service
     * @return whether the revision moved on
     */
    boolean learn(List<LoggedChange> changes, NodeId source, Outbox out) {
        List<LoggedChange> ordered = new ArrayList<>(changes);
        ordered.sort(Comparator.comparingLong(LoggedChange::revision));
        SettingsState next = mState;
        for (LoggedChange change : ordered) {
            if (change.revision() != next.revision() + 1) {
                continue;
            }
            Either<List<Reason>, SettingsState> applied = next.apply(change);
            if (applied.isLeft()) {
                mFault = applied.getLeft().toString();
                break;
            }
            next = applied.get();
        }
        if (next == mState) {
            return false;
        }
        publish(next, source, out);
        return true;
    }

    /** Applies changes in their stored form, passing over those that cannot be read. */
    boolean learnStored(List<ByteString> stored, NodeId source, Outbox out) {
        List<LoggedChange> changes = new ArrayList<>();
        for (ByteString bytes : stored) {
            try {
                changes.add(SettingsJson.readLogged(bytes));
            } catch (IOException e) {
                mFault = "unreadable change: " + e.getMessage();
            }
        }
        return learn(changes, source, out);
    }

    private void publish(SettingsState next, NodeId source, Outbox out) {
        mState = next;
        mView = next.viewAt(mOptions.place());
        mFault = "";
        mPeers.offer(source, out);
    }

    private void settleReady(long nowNanos) {
        if (mReady || mState.revision() == 0) {
            return;
        }
        boolean heard = mFirstPeerNanos != 0 && nowNanos - mFirstPeerNanos >= PEERS_HEARD_NANOS;
        mReady = mService.caughtUp() || (heard && mPeers.caughtUp());
    }
}
