package ebonygw;

import ebonygw.admission.ShareLinks;
import ebonygw.admission.ShareMessage;
import ebonygw.admission.ShareNode;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.membership.MemberState;
import ebonygw.membership.Membership;
import ebonygw.membership.MembershipView;
import ebonygw.membership.StopOptions;
import ebonygw.membership.StopPhase;
import ebonygw.membership.StopPlan;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.RequestMessage;
import ebonygw.retry.RetryOptions;
import ebonygw.retry.RetryPolicy;
import ebonygw.routing.LinkSets;
import ebonygw.routing.Router;
import ebonygw.routing.RouterOptions;
import ebonygw.settings.SettingsMessage;
import ebonygw.settings.SettingsReplica;
import ebonygw.settings.SettingsReplicaOptions;
import ebonygw.settings.SettingsState;
import ebonygw.settings.SettingsView;
import ebonygw.settings.SettingsWriter;
import ebonygw.settings.StageGuard;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The state machine of an entry process, with events as input and effects as output.
 *
 * <p>It holds no clock, socket, thread or unseeded random source. The time of each event is an
 * argument and must never decrease. Not thread-safe: a single thread drives it.
 */
public final class EntryNode {
    /**
     * Maximum number of adapter versions whose prefetch is requested when one target process
     * leaves.
     */
    private static final int MAX_PREFETCHES = 16;

    /** After this wait the node is ready without shares, as other entries can lend it tokens. */
    private static final long MAX_SHARES_WAIT_NANOS = 10_000_000_000L;

    /** Time limit for handing over shares during a graceful stop. */
    private static final long HAND_OVER_TIMEOUT_NANOS = 10_000_000_000L;

    private final EntryNodeOptions mOptions;
    private final EntryOutbox mOut = new EntryOutbox();
    private final SettingsReplica mSettings;
    private final SettingsWriter mWriter;
    private final StageGuard mStageGuard;
    private final ProcessMembership mProcess;
    private final Membership mMembership;
    private final StopPlan mStopPlan;
    private final ShareNode mShares;
    private final Router mRouter;
    private final EntryRequests mRequests;

    /** The latest load report of each connected target process. */
    private final Map<NodeId, LatestReport> mReports = new HashMap<>();

    private Set<Member> mWantedConnections = Set.of();
    private long mSettingsRevision = -1;
    private long mSettingsReadyNanos;
    private boolean mSharesReady;
    private boolean mConnectionsChanged;
    private boolean mExited;

    /**
     * Creates a node that has no settings and knows no other process.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public EntryNode(EntryNodeOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        SplittableRandom random = new SplittableRandom(options.seed());
        Member self = options.self();
        mSettings =
                new SettingsReplica(
                        SettingsReplicaOptions.of(self.id(), self.locality(), random.split()));
        mSettings.onFleetSize(options.fleetSize());
        mProcess = new ProcessMembership(self, options.fleetSize(), random.split());
        mMembership = mProcess.members();
        mStopPlan =
                new StopPlan(
                        new StopOptions(
                                options.acceptNanos(),
                                options.stopTimeoutNanos(),
                                HAND_OVER_TIMEOUT_NANOS));
        mShares =
                new ShareNode(self.id(), self.incarnation(), self.locality(), options.loadStores());
        mRouter = new Router(RouterOptions.defaults(self.id(), self.locality()));
        mRequests =
                new EntryRequests(
                        options,
                        mSettings::view,
                        mShares,
                        mRouter,
                        new RetryPolicy(RetryOptions.defaults()),
                        mOut);
        mWriter = new SettingsWriter(mSettings, mRequests::uses);
        mStageGuard = new StageGuard(mSettings, mWriter, self.locality());
    }

    /** Returns the state as maps, lists, strings and numbers for JSON; contains no secrets. */
    public Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("self", mMembership.self().toString());
        dump.put("settingsRevision", mSettings.view().revision());
        dump.put("settingsFault", mSettings.fault().orElse(""));
        dump.put("settingsWatcher", mSettings.watching());
        dump.put("ready", ready());
        dump.put("phase", mStopPlan.phase());
        dump.put("requests", mRequests.dump());
        dump.put("members", members());
        dump.put("shares", mShares.dump());
        return dump;
    }

    /**
     * Handles one event.
     *
     * @param event the event
     * @param nowNanos the current time in nanoseconds since the Unix epoch
     * @param effects receives the effects in order, before this method returns
     */
    public void handle(EntryEvent event, long nowNanos, Consumer<EntryEffect> effects) {
        mOut.attach(effects);
        if (event instanceof EntryEvent.RequestReceived received) {
            mRequests.onRequest(
                    received.exchangeId(), received.request(), mSettings.ready(), nowNanos);
        } else if (event instanceof EntryEvent.CallerDisconnected disconnected) {
            mRequests.onCallerDisconnected(disconnected.exchangeId(), nowNanos);
        } else if (event instanceof EntryEvent.ResponsePartsConsumed consumed) {
            mRequests.onPartsConsumed(consumed.exchangeId(), consumed.parts());
        } else if (event instanceof EntryEvent.PeerMessageReceived received) {
            onMessage(received.peer(), received.incarnation(), received.message(), nowNanos);
        } else if (event instanceof EntryEvent.PeerUp up) {
            onPeerUp(up.peer(), up.incarnation(), nowNanos);
        } else if (event instanceof EntryEvent.PeerDown down) {
            onPeerDown(down.peer(), down.incarnation(), nowNanos);
        } else if (event instanceof EntryEvent.KeyValueResponseReceived response) {
            onKeyValueResponse(response.requestId(), response.response(), nowNanos);
        } else if (event instanceof EntryEvent.ChangeSubmitted submitted) {
            mWriter.submit(submitted.correlationId(), submitted.change(), nowNanos, mOut);
        } else if (event instanceof EntryEvent.HostListReceived received) {
            mMembership.onHostList(received.hosts(), nowNanos);
        } else if (event instanceof EntryEvent.StopRequested) {
            onStop(nowNanos);
        } else if (event instanceof EntryEvent.Tick) {
            onTick(nowNanos);
        }
        publish(nowNanos);
    }

    /**
     * Returns whether requests of callers are accepted: settings have been received, shares of the
     * customers' rates are available or have been waited for long enough, and no stop has begun.
     */
    public boolean ready() {
        return mSettings.ready() && mSharesReady && !mStopPlan.isStopping();
    }

    /** Returns the settings in force in this process with their tree and log; immutable. */
    public SettingsState settingsState() {
        return mSettings.state();
    }

    /** Returns the settings in force in this process; immutable. */
    public SettingsView settings() {
        return mSettings.view();
    }

    private List<String> members() {
        List<String> members = new ArrayList<>();
        for (Member member : mMembership.view().members()) {
            members.add(member.toString());
        }
        return members;
    }

    private void onKeyValueResponse(long requestId, KeyValueResponse response, long nowNanos) {
        boolean known =
                mWriter.onKeyValueResponse(requestId, response, nowNanos, mOut)
                        || mSettings.onKeyValueResponse(requestId, response, nowNanos, mOut)
                        || mProcess.onResponse(requestId, response, nowNanos)
                        || mShares.onKeyValueResponse(requestId, response, nowNanos, mOut);
        if (!known) {
            mOut.log("key_value_reply_unknown", "call", requestId);
        }
    }

    private void onMessage(NodeId from, long incarnation, Message message, long nowNanos) {
        if (message instanceof RequestMessage request) {
            mRequests.onMessage(from, incarnation, request, nowNanos);
        } else if (message instanceof MemberMessage member) {
            onMemberMessage(from, incarnation, member, nowNanos);
        } else if (message instanceof SettingsMessage settings) {
            mSettings.onMessage(from, settings, nowNanos, mOut);
        } else if (message instanceof ShareMessage share) {
            mShares.onMessage(from, incarnation, share, nowNanos, mOut);
        }
    }

    private void onMemberMessage(
            NodeId from, long incarnation, MemberMessage message, long nowNanos) {
        mMembership.onMessage(from, incarnation, message, nowNanos, mOut);
        if (message instanceof MemberMessage.TargetReport report) {
            onTargetReport(from, incarnation, report, nowNanos);
        } else if (message instanceof MemberMessage.TargetLoad load) {
            LatestReport last = mReports.get(from);
            if (last != null && last.incarnation() == incarnation) {
                onTargetReport(from, incarnation, last.report().with(load), nowNanos);
            }
        } else if (message instanceof MemberMessage.Heartbeat heartbeat) {
            mSettings.onPeerRevision(from, heartbeat.settingsRevision(), nowNanos, mOut);
        } else if (message instanceof MemberMessage.Hello hello) {
            mSettings.onPeerRevision(from, hello.settingsRevision(), nowNanos, mOut);
            if (hello.self().state() == MemberState.LEAVING) {
                prefetchOnSuccessors(from, nowNanos);
            }
        }
    }

    private void onPeerDown(NodeId peer, long incarnation, long nowNanos) {
        mReports.remove(peer);
        mMembership.onPeerDown(peer, incarnation, nowNanos);
        mSettings.onPeerDown(peer, incarnation, nowNanos, mOut);
        mShares.onPeerDown(peer, incarnation, nowNanos, mOut);
        mRequests.onPeerDown(peer, incarnation, nowNanos);
        mConnectionsChanged = true;
    }

    private void onPeerUp(NodeId peer, long incarnation, long nowNanos) {
        mRequests.onPeerUp(peer, incarnation, nowNanos);
        mMembership.onPeerUp(peer, incarnation, nowNanos, mOut);
        mSettings.onPeerUp(peer, incarnation, nowNanos, mOut);
        mShares.onPeerUp(peer, incarnation, nowNanos, mOut);
        mConnectionsChanged = true;
    }

    private void onTargetReport(
            NodeId from, long incarnation, MemberMessage.TargetReport report, long nowNanos) {
        LatestReport last = mReports.get(from);
        boolean older =
                last != null
                        && last.incarnation() == incarnation
                        && last.report().sequence() >= report.sequence();
        if (!older) {
            mReports.put(from, new LatestReport(incarnation, report));
            mRouter.onReport(from, incarnation, report, nowNanos);
        }
    }

    private void onStop(long nowNanos) {
        if (mStopPlan.isStopping()) {
            return;
        }
        mStopPlan.start(nowNanos);
        mMembership.leave(nowNanos, mOut);
        mOut.log("stop_started", "open_requests", mRequests.open());
    }

    private void onTick(long nowNanos) {
        mProcess.onTick(nowNanos, mOut);
        mSettings.onTick(nowNanos, mOut);
        mWriter.onTick(nowNanos, mOut);
        EntryCounts counts = mRequests.counts();
        mStageGuard.onCounts(counts.mReceived, counts.failuresNotCausedByCaller(), nowNanos, mOut);
        mShares.onTick(nowNanos, mOut);
        mSharesReady |= mShares.hasJoined() || sharesWaitElapsed(nowNanos);
        mRequests.onTick(nowNanos);
        if (mMembership.isSuperseded()) {
            onStop(nowNanos);
        }
        if (mStopPlan.isStopping() && !mExited) {
            advanceStop(nowNanos);
        }
    }

    /**
     * Requests a prefetch of the adapter versions that only a leaving target holds from the target
     * processes that requests for them are routed to from now on.
     */
    private void prefetchOnSuccessors(NodeId leaving, long nowNanos) {
        mRouter.handoverTargets(leaving, MAX_PREFETCHES, nowNanos)
                .forEach((adapter, next) -> mOut.send(next, new MemberMessage.Prefetch(adapter)));
    }

    /** Returns whether the maximum wait for shares since the first settings is over. */
    private boolean sharesWaitElapsed(long nowNanos) {
        if (!mSettings.ready()) {
            return false;
        }
        if (mSettingsReadyNanos == 0) {
            mSettingsReadyNanos = nowNanos;
        }
        return nowNanos - mSettingsReadyNanos >= MAX_SHARES_WAIT_NANOS;
    }

    /** Publishes the changes that the event has caused: settings, admissions and members. */
    private void publish(long nowNanos) {
        mSettings.newFault().ifPresent(fault -> mOut.log("settings_fault", "detail", fault));
        for (SettingsWriter.CompletedChange settled : mWriter.drain()) {
            mOut.effect(
                    new EntryEffect.ChangeCompleted(settled.correlationId(), settled.outcome()));
        }
        mRequests.applyAdmissionDecisions(nowNanos);
        long revision = mSettings.view().revision();
        if (revision != mSettingsRevision && mSettings.ready()) {
            mSettingsRevision = revision;
            mMembership.settingsRevision(revision);
            mMembership.announce(MemberState.LIVE, nowNanos, mOut);
            mShares.onSettings(mSettings.view(), nowNanos, mOut);
            mOut.log("settings_in_force", "revision", revision);
        }
        if (mMembership.changed() || mConnectionsChanged) {
            mConnectionsChanged = false;
            publishMembers(nowNanos);
        }
    }

    private void publishMembers(long nowNanos) {
        MembershipView view = mMembership.view();
        List<Member> connected = new ArrayList<>();
        for (Member member : view.members()) {
            if (mRequests.isConnected(member)) {
                connected.add(member);
            }
        }
        mRouter.onMembers(connected, nowNanos);
        mShares.onMembers(view.members(), nowNanos, mOut);
        Set<Member> connections = wantedConnections(view);
        if (!connections.equals(mWantedConnections)) {
            mWantedConnections = connections;
            mOut.effect(new EntryEffect.Links(connections));
        }
    }

    private Set<Member> wantedConnections(MembershipView view) {
        Member self = mOptions.self();
        Set<NodeId> wanted = new HashSet<>(mMembership.neighbours());
        wanted.addAll(
                LinkSets.choose(
                        self.id(),
                        self.locality(),
                        view.members(),
                        mOptions.maxTargetConnections()));
        wanted.addAll(ShareLinks.choose(self, view.members()));
        wanted.addAll(mRequests.targetsInUse());
        Set<Member> connections = new HashSet<>();
        for (NodeId id : wanted) {
            view.member(id)
                    .filter(member -> !id.equals(self.id()))
                    .ifPresent(member -> connections.add(member.withState(MemberState.LIVE)));
        }
        return connections;
    }

    private void advanceStop(long nowNanos) {
        StopPhase phase = mStopPlan.onTick(mRequests.open(), mShares.isHandedOver(), nowNanos);
        switch (phase) {
            case FINISHING -> mRequests.stop();
            case HANDING_OVER -> mShares.stop(nowNanos, mOut);
            case RELEASING -> mProcess.release(nowNanos, mOut);
            case DONE -> {
                mExited = true;
                mOut.log("stop_ended", "abandoned", mStopPlan.abandoned());
                mOut.effect(new EntryEffect.Exit());
            }
            default -> {
                return;
            }
        }
    }

    /**
     * The latest load report of a target process.
     *
     * @param incarnation incarnation of the target process
     * @param report the report
     */
    private record LatestReport(long incarnation, MemberMessage.TargetReport report) {}
}
