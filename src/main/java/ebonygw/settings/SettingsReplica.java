package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
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
 * The replica of the settings in one process. It applies changes in the order of their revisions,
 * as they arrive from the key-value service or from other processes; its revision never decreases.
 *
 * <p>{@link #state()} and {@link #view()} may be read by any thread; all other methods must be
 * called on the control thread. Times are in nanoseconds since the Unix epoch.
 */
public final class SettingsReplica {
    /** Time after the first connection within which peers report their revisions. */
    private static final long PEER_DISCOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final SettingsReplicaOptions mOptions;
    private final PeerFeed mPeerFeed;
    private final ServiceFeed mServiceFeed;
    private volatile SettingsState mState = SettingsState.EMPTY;
    private volatile SettingsView mView = SettingsState.EMPTY.view();
    private boolean mReady;
    private long mFirstPeerNanos;
    private String mFault = "";
    private String mReportedFault = "";

    /** Creates a replica without settings. */
    public SettingsReplica(SettingsReplicaOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        mPeerFeed = new PeerFeed(this, options);
        mServiceFeed = new ServiceFeed(this, mPeerFeed, options);
    }

    /** Returns why the replica cannot follow the log, empty if it can. */
    public Optional<String> fault() {
        return mFault.isEmpty() ? Optional.empty() : Optional.of(mFault);
    }

    /**
     * Returns the present fault if it changed since the last invocation, so that a caller logs each
     * fault once; empty if it did not change or was resolved.
     */
    public Optional<String> newFault() {
        if (mFault.equals(mReportedFault)) {
            return Optional.empty();
        }
        mReportedFault = mFault;
        return fault();
    }

    /**
     * Sets the approximate number of processes in the fleet, by which attempts to reach the service
     * are spread out in an outage.
     */
    public void onFleetSize(int processes) {
        mServiceFeed.onFleetSize(processes);
    }

    /**
     * Handles the response to a key-value request.
     *
     * @return whether the request was made by this replica
     */
    public boolean onKeyValueResponse(
            long requestId, KeyValueResponse response, long nowNanos, Outbox out) {
        boolean handled = mServiceFeed.onResponse(requestId, response, nowNanos, out);
        updateReady(nowNanos);
        return handled;
    }

    /** Handles a message from another process. */
    public void onMessage(NodeId from, SettingsMessage message, long nowNanos, Outbox out) {
        if (message instanceof SettingsMessage.WatcherAlive alive) {
            mServiceFeed.onWatcherAlive(from, alive, nowNanos, out);
        } else {
            mPeerFeed.onMessage(from, message, nowNanos, out);
        }
        updateReady(nowNanos);
    }

    /**
     * Handles the loss of the connection to a process; ignored unless it is to the incarnation that
     * is connected at present.
     */
    public void onPeerDown(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        mPeerFeed.onPeerDown(peer, incarnation, nowNanos, out);
    }

    /** Handles the revision that a process reports in a heartbeat or hello. */
    public void onPeerRevision(NodeId peer, long revision, long nowNanos, Outbox out) {
        mPeerFeed.onPeerRevision(peer, revision, nowNanos, out);
        updateReady(nowNanos);
    }

    /** Handles a new connection to a process. */
    public void onPeerUp(NodeId peer, long incarnation, long nowNanos, Outbox out) {
        if (mFirstPeerNanos == 0) {
            mFirstPeerNanos = nowNanos;
        }
        mPeerFeed.onPeerUp(peer, incarnation, out);
    }

    /** Runs what is due by time; must be called at least every 10 milliseconds. */
    public void onTick(long nowNanos, Outbox out) {
        mPeerFeed.onTick(nowNanos, out);
        mServiceFeed.onTick(nowNanos, out);
        updateReady(nowNanos);
    }

    /**
     * Returns whether the replica has had settings with no newer ones known; once true, stays true.
     */
    public boolean ready() {
        return mReady;
    }

    /** Returns the present state, with its tree and the retained log. */
    public SettingsState state() {
        return mState;
    }

    /** Returns the effective settings in force in this process. */
    public SettingsView view() {
        return mView;
    }

    /**
     * Returns whether this process is one of the watchers, which read the key-value service for the
     * fleet.
     */
    public boolean watching() {
        return mServiceFeed.isWatching();
    }

    /**
     * Applies the changes that follow the present revision without a gap; others are ignored.
     *
     * @param changes in any order, possibly with duplicates
     * @param source process that sent them, null for the key-value service
     * @return whether the revision increased
     */
    boolean applyChanges(List<LoggedChange> changes, NodeId source, Outbox out) {
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

    /**
     * Applies changes in their stored form; skips those that cannot be read and records a fault.
     */
    boolean applyStored(List<ByteString> stored, NodeId source, Outbox out) {
        List<LoggedChange> changes = new ArrayList<>();
        for (ByteString bytes : stored) {
            try {
                changes.add(SettingsJson.readLogged(bytes));
            } catch (IOException e) {
                mFault = "cannot read stored change: " + e.getMessage();
            }
        }
        return applyChanges(changes, source, out);
    }

    /** Returns the generator of identifiers of key-value requests. */
    KeyValueRequestIds requestIds() {
        return mOptions.requestIds();
    }

    /** Records why the replica cannot follow the log. */
    void fault(String fault) {
        mFault = fault;
    }

    /**
     * Replaces the whole state, such as from a snapshot, if the given one is newer; returns whether
     * it was.
     */
    boolean install(SettingsState state, NodeId source, Outbox out) {
        if (state.revision() <= mState.revision()) {
            return false;
        }
        publish(state, source, out);
        return true;
    }

    private void publish(SettingsState next, NodeId source, Outbox out) {
        mState = next;
        mView = next.viewAt(mOptions.locality());
        mFault = "";
        mPeerFeed.offer(source, out);
    }

    /**
     * Becomes ready when the whole log was read from the service, or when peers had time to report
     * their revisions and none is ahead.
     */
    private void updateReady(long nowNanos) {
        if (mReady || mState.revision() == 0) {
            return;
        }
        boolean peersReported =
                mFirstPeerNanos != 0 && nowNanos - mFirstPeerNanos >= PEER_DISCOVERY_NANOS;
        mReady = mServiceFeed.isCaughtUp() || (peersReported && mPeerFeed.isCaughtUp());
    }
}
