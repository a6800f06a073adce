package ebonygw;

import ebonygw.admission.ShareMessage;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.AuthorityOptions;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.membership.MemberMessage.TargetLoad;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.membership.MemberState;
import ebonygw.membership.Membership;
import ebonygw.membership.MembershipView;
import ebonygw.membership.Role;
import ebonygw.membership.StopOptions;
import ebonygw.membership.StopPhase;
import ebonygw.membership.StopPlan;
import ebonygw.membership.TargetAuthority;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.RequestMessage;
import ebonygw.scheduling.SchedulerAction;
import ebonygw.scheduling.SchedulerOptions;
import ebonygw.scheduling.TargetScheduler;
import ebonygw.settings.SettingsMessage;
import ebonygw.settings.SettingsReplica;
import ebonygw.settings.SettingsReplicaOptions;
import ebonygw.settings.SettingsView;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The state machine of a target process, with events as input and effects as output.
 *
 * <p>Only this process sends work and orders to its target. The class holds no clock, socket,
 * thread or unseeded random source. The time of each event is an argument and must never decrease.
 * Not thread-safe: a single thread drives it.
 */
public final class TargetNode {
    /** Namespace of the ids of the authority's requests, unique within the process. */
    private static final int AUTHORITY_CALL_ID_NAMESPACE = 4;

    /** Minimum time between two load reports. */
    private static final long REPORT_INTERVAL_NANOS = 200_000_000L;

    /** Time between two load reports while the load does not change. */
    private static final long IDLE_REPORT_INTERVAL_NANOS = 1_000_000_000L;

    /** Maximum time between two reports that include the resident adapter versions. */
    private static final long FULL_REPORT_INTERVAL_NANOS = 30_000_000_000L;

    private final TargetNodeOptions mOptions;
    private final TargetOutbox mOut = new TargetOutbox();
    private final SettingsReplica mSettings;
    private final ProcessMembership mProcess;
    private final Membership mMembership;
    private final StopPlan mStopPlan;
    private final TargetAuthority mAuthority;
    private final LoadGrants mLoadGrants;
    private final TargetScheduler mScheduler;
    private final TargetAttempts mAttempts;

    /** Incarnations of the connected entry processes. */
    private final Map<NodeId, Long> mEntryIncarnations = new TreeMap<>();

    private Set<Member> mWantedConnections = Set.of();
    private TargetReport mLastReport;
    private long mReportSequence;
    private long mLastFullReportNanos = Long.MIN_VALUE / 2;
    private int mOpenOrders;
    private long mLastReportNanos = Long.MIN_VALUE / 2;
    private long mSettingsRevision = -1;
    private long mEngineStartedAtNanos = Long.MIN_VALUE;
    private boolean mReachable;
    private boolean mExited;

    /**
     * Creates a node that has no settings and knows no other process.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public TargetNode(TargetNodeOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        SplittableRandom random = new SplittableRandom(options.seed());
        Member self = options.self();
        mSettings =
                new SettingsReplica(
                        SettingsReplicaOptions.of(self.id(), self.locality(), random.split()));
        mSettings.onFleetSize(options.fleetSize());
        mProcess = new ProcessMembership(self, options.fleetSize(), random.split());
        mMembership = mProcess.members();
        mStopPlan = new StopPlan(new StopOptions(0, options.stopTimeoutNanos(), 0));
        mAuthority = authority(options, random.split());
        mLoadGrants = new LoadGrants(self, options.loadStore());
        mScheduler = new TargetScheduler(SchedulerOptions.defaults());
        mAttempts = new TargetAttempts(options, mSettings::view, mScheduler, mOut);
        mReachable = !options.model();
    }

    /** Returns the state as maps, lists, strings and numbers for JSON; contains no secrets. */
    public Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("self", mMembership.self().toString());
        dump.put("settingsRevision", mSettings.view().revision());
        dump.put("settingsFault", mSettings.fault().orElse(""));
        dump.put("settingsWatcher", mSettings.watching());
        dump.put("ready", ready());
        dump.put("reachable", mReachable);
        dump.put("phase", mStopPlan.phase());
        dump.put("fencingToken", mAuthority.token());
        dump.put("runs", mAttempts.dump());
        dump.put("report", String.valueOf(mLastReport));
        dump.put("entries", mEntryIncarnations.toString());
        return dump;
    }

    /**
     * Handles one event.
     *
     * @param event the event
     * @param nowNanos the current time in nanoseconds since the Unix epoch
     * @param effects receives the effects in order, before this method returns
     */
    public void handle(TargetEvent event, long nowNanos, Consumer<TargetEffect> effects) {
        mOut.attach(effects);
        if (onResponseProgress(event)) {
            return;
        }
        if (!onResponseEnd(event, nowNanos) && !onEngineEvent(event, nowNanos)) {
            onOtherEvent(event, nowNanos);
        }
        publish(nowNanos);
        runScheduler(nowNanos);
    }

    /**
     * Returns whether attempts are accepted: settings have been received, the target is reachable,
     * and no stop has begun.
     */
    public boolean ready() {
        return mSettings.ready() && mReachable && !mStopPlan.isStopping();
    }

    /** Returns the settings in force in this process; immutable. */
    public SettingsView settings() {
        return mSettings.view();
    }

    private void advanceStop(long nowNanos) {
        StopPhase phase = mStopPlan.onTick(mAttempts.openCount() + mOpenOrders, true, nowNanos);
        if (phase == StopPhase.RELEASING) {
            mProcess.release(nowNanos, mOut);
        } else if (phase == StopPhase.DONE) {
            mExited = true;
            mOut.log("stop_ended", "abandoned", mStopPlan.abandoned());
            mOut.effect(new TargetEffect.Exit());
        }
    }

    private TargetAuthority authority(TargetNodeOptions options, SplittableRandom random) {
        Member self = options.self();
        AuthorityOptions authority =
                new AuthorityOptions(
                        self.id().name(),
                        self,
                        options.engineChecksTokens(),
                        options.hostExclusive(),
                        options.maxOrderNanos());
        return new TargetAuthority(
                authority,
                mProcess.lease(),
                new KeyValueRequestIds(AUTHORITY_CALL_ID_NAMESPACE),
                mProcess.rateLimiter(),
                random);
    }

    private void execute(SchedulerAction action, long nowNanos) {
        if (action instanceof SchedulerAction.Start start) {
            mAttempts.start(start.work(), this::refusalByAuthority, nowNanos);
        } else if (action instanceof SchedulerAction.Refuse refuse) {
            mAttempts.refuse(refuse.work(), refuse.refusal());
        } else if (action instanceof SchedulerAction.Load load) {
            order(load, nowNanos);
        } else if (action instanceof SchedulerAction.Evict evict) {
            order(evict, nowNanos);
        }
    }

    private boolean onEngineEvent(TargetEvent event, long nowNanos) {
        if (event instanceof TargetEvent.EngineReported report) {
            onEngineReport(report, nowNanos);
        } else if (event instanceof TargetEvent.EngineUnreachable) {
            mReachable = false;
            mScheduler.onEngineUnreachable();
        } else if (event instanceof TargetEvent.OrderDone done) {
            onOrderDone(done, nowNanos);
        } else {
            return false;
        }
        return true;
    }

    private void onEngineReport(TargetEvent.EngineReported report, long nowNanos) {
        mReachable = true;
        boolean restarted = report.startedAtNanos() != mEngineStartedAtNanos;
        mEngineStartedAtNanos = report.startedAtNanos();
        if (restarted) {
            mLoadGrants.releaseUnusedGrants(nowNanos, mOut);
        }
        mAttempts.onEngineReport(report.running() + report.queued(), restarted, nowNanos);
        mScheduler.onEngineReport(
                report.slots(),
                report.maxBatch(),
                report.queued(),
                report.resident(),
                report.startedAtNanos(),
                nowNanos);
    }

    private void onKeyValueResponse(long requestId, KeyValueResponse response, long nowNanos) {
        boolean known =
                mSettings.onKeyValueResponse(requestId, response, nowNanos, mOut)
                        || mProcess.onResponse(requestId, response, nowNanos)
                        || mAuthority.onResponse(requestId, response, nowNanos);
        if (!known) {
            mOut.log("key_value_reply_unknown", "call", requestId);
        }
    }

    private void onMemberMessage(
            NodeId from, long incarnation, MemberMessage message, long nowNanos) {
        mMembership.onMessage(from, incarnation, message, nowNanos, mOut);
        if (message instanceof MemberMessage.Prefetch prefetch) {
            prefetch(prefetch.adapter(), nowNanos);
        } else if (message instanceof MemberMessage.Heartbeat heartbeat) {
            mSettings.onPeerRevision(from, heartbeat.settingsRevision(), nowNanos, mOut);
        } else if (message instanceof MemberMessage.Hello hello) {
            mSettings.onPeerRevision(from, hello.settingsRevision(), nowNanos, mOut);
            if (hello.self().role() == Role.ENTRY) {
                mEntryIncarnations.put(from, incarnation);
                sendReport(from);
            }
        }
    }

    private void onMessage(NodeId from, long incarnation, Message message, long nowNanos) {
        if (message instanceof RequestMessage request) {
            mAttempts.onMessage(from, incarnation, request, mSettings.ready(), nowNanos);
        } else if (message instanceof MemberMessage member) {
            onMemberMessage(from, incarnation, member, nowNanos);
        } else if (message instanceof SettingsMessage settings) {
            mSettings.onMessage(from, settings, nowNanos, mOut);
        } else if (message instanceof ShareMessage share) {
            mLoadGrants.onMessage(share, nowNanos, mOut);
        }
    }

    private void onOrderDone(TargetEvent.OrderDone done, long nowNanos) {
        mOpenOrders--;
        if (done.load()) {
            mLoadGrants.onOrderEnded(done.adapter(), nowNanos, mOut);
            mScheduler.onLoaded(done.adapter(), done.succeeded(), nowNanos);
        } else {
            mScheduler.onUnloaded(done.adapter(), done.succeeded(), nowNanos);
        }
        if (!done.succeeded()) {
            mOut.log(
                    "order_failed",
                    "adapter",
                    done.adapter(),
                    "load",
                    done.load(),
                    "detail",
                    done.detail());
        }
    }

    private void onOtherEvent(TargetEvent event, long nowNanos) {
        if (event instanceof TargetEvent.PeerMessageReceived received) {
            onMessage(received.peer(), received.incarnation(), received.message(), nowNanos);
        } else if (event instanceof TargetEvent.PeerUp up) {
            onPeerUp(up.peer(), up.incarnation(), nowNanos);
        } else if (event instanceof TargetEvent.PeerDown down) {
            onPeerDown(down.peer(), down.incarnation(), nowNanos);
        } else if (event instanceof TargetEvent.KeyValueResponseReceived response) {
            onKeyValueResponse(response.requestId(), response.response(), nowNanos);
        } else if (event instanceof TargetEvent.HostListReceived received) {
            mMembership.onHostList(received.hosts(), nowNanos);
        } else if (event instanceof TargetEvent.StopRequested) {
            onStop(nowNanos);
        } else if (event instanceof TargetEvent.Tick) {
            onTick(nowNanos);
        }
    }

    private void onPeerDown(NodeId peer, long incarnation, long nowNanos) {
        mEntryIncarnations.remove(peer, incarnation);
        mMembership.onPeerDown(peer, incarnation, nowNanos);
        mSettings.onPeerDown(peer, incarnation, nowNanos, mOut);
        mAttempts.onEntryDown(peer, incarnation, nowNanos);
    }

    private void onPeerUp(NodeId peer, long incarnation, long nowNanos) {
        mMembership.onPeerUp(peer, incarnation, nowNanos, mOut);
        mSettings.onPeerUp(peer, incarnation, nowNanos, mOut);
    }

    private boolean onResponseEnd(TargetEvent event, long nowNanos) {
        if (event instanceof TargetEvent.ResponseEnded completed) {
            mAttempts.onResponseEnded(completed.correlationId(), completed.tokensUsed(), nowNanos);
        } else if (event instanceof TargetEvent.RequestFailed failed) {
            mAttempts.onRequestFailed(failed.correlationId(), failed.refusal(), nowNanos);
        } else {
            return false;
        }
        return true;
    }

    /** Forwards the start or a part of a response, which changes no state that is published. */
    private boolean onResponseProgress(TargetEvent event) {
        if (event instanceof TargetEvent.ResponsePart part) {
            mAttempts.onResponsePart(part.correlationId(), part.data());
        } else if (event instanceof TargetEvent.ResponseStarted started) {
            mAttempts.onResponseStarted(
                    started.correlationId(), started.status(), started.headers());
        } else {
            return false;
        }
        return true;
    }

    private void onStop(long nowNanos) {
        if (mStopPlan.isStopping()) {
            return;
        }
        mStopPlan.start(nowNanos);
        mAttempts.stop();
        mScheduler.refuseAll(RefusalCode.STOPPING, "the target is leaving");
        mMembership.leave(nowNanos, mOut);
        mOut.log("stop_started", "open_attempts", mAttempts.openCount());
    }

    private void onTick(long nowNanos) {
        mProcess.onTick(nowNanos, mOut);
        mSettings.onTick(nowNanos, mOut);
        mAuthority.onTick(nowNanos, mOut);
        mLoadGrants.onTick(nowNanos, mOut);
        mAttempts.onTick(nowNanos);
        sendReports(nowNanos);
        if (mMembership.isSuperseded()) {
            onStop(nowNanos);
        }
        if (mStopPlan.isStopping() && !mExited) {
            advanceStop(nowNanos);
        }
    }

    private void order(SchedulerAction.Evict evict, long nowNanos) {
        OptionalLong token = mAuthority.tokenForOrder(mOptions.maxOrderNanos(), nowNanos);
        if (token.isPresent()) {
            mOpenOrders++;
            mOut.effect(new TargetEffect.Unload(evict.adapter(), token.getAsLong()));
        } else {
            mScheduler.onUnloaded(evict.adapter(), false, nowNanos);
        }
    }

    private void order(SchedulerAction.Load load, long nowNanos) {
        mLoadGrants.onOrdered(load.adapter());
        OptionalLong token = mAuthority.tokenForOrder(mOptions.maxOrderNanos(), nowNanos);
        if (token.isPresent()) {
            mOpenOrders++;
            mOut.effect(new TargetEffect.Load(load.adapter(), token.getAsLong()));
        } else {
            mLoadGrants.onOrderEnded(load.adapter(), nowNanos, mOut);
            mScheduler.onLoaded(load.adapter(), false, nowNanos);
        }
    }

    /** Loads an adapter version ahead of requests for it, unless it is not served here. */
    private void prefetch(AdapterVersion adapter, long nowNanos) {
        boolean served =
                mSettings
                        .view()
                        .adapter(adapter.adapter())
                        .filter(found -> found.model().equals(mOptions.self().serves()))
                        .filter(found -> found.versions().contains(adapter.version()))
                        .isPresent();
        if (served && mOptions.model() && !mStopPlan.isStopping()) {
            mScheduler.prefetch(adapter, nowNanos);
        }
    }

    /** Publishes the changes that the event has caused: settings, state and members. */
    private void publish(long nowNanos) {
        mSettings.newFault().ifPresent(fault -> mOut.log("settings_fault", "detail", fault));
        long revision = mSettings.view().revision();
        if (revision != mSettingsRevision && mSettings.ready()) {
            mSettingsRevision = revision;
            mMembership.settingsRevision(revision);
            mOut.log("settings_in_force", "revision", revision);
        }
        if (ready()) {
            mMembership.announce(MemberState.LIVE, nowNanos, mOut);
        }
        if (mMembership.changed()) {
            publishMembers(nowNanos);
        }
    }

    private void publishMembers(long nowNanos) {
        MembershipView view = mMembership.view();
        mLoadGrants.onMembers(view.members());
        Set<Member> connections = new HashSet<>();
        for (NodeId neighbour : mMembership.neighbours()) {
            view.member(neighbour)
                    .ifPresent(member -> connections.add(member.withState(MemberState.LIVE)));
        }
        if (!connections.equals(mWantedConnections)) {
            mWantedConnections = connections;
            mOut.effect(new TargetEffect.Links(connections));
        }
    }

    private Optional<Refusal> refusalByAuthority(long maxNanos, long nowNanos) {
        return mAuthority.mayRun(maxNanos, nowNanos)
                ? Optional.empty()
                : Optional.of(
                        Refusal.notRun(
                                RefusalCode.UNAVAILABLE, "no authority over the target now"));
    }

    /** Executes the scheduler's actions: starts attempts and orders loads and unloads. */
    private void runScheduler(long nowNanos) {
        boolean mayOrder = mAuthority.tokenForOrder(mOptions.maxOrderNanos(), nowNanos).isPresent();
        for (SchedulerAction action :
                mScheduler.next(nowNanos, () -> mayOrder && mLoadGrants.tryGrant(nowNanos, mOut))) {
            execute(action, nowNanos);
        }
    }

    private boolean sameResidency(TargetReport next) {
        return mLastReport != null
                && next.resident().equals(mLastReport.resident())
                && next.loading().equals(mLastReport.loading());
    }

    private void sendReport(NodeId entry) {
        if (mLastReport != null) {
            mOut.send(entry, mLastReport);
        }
    }

    /**
     * Sends the load to the entry processes at intervals, with the resident adapter versions if
     * they have changed or the last full report is too old.
     */
    private void sendReports(long nowNanos) {
        long age = nowNanos - mLastReportNanos;
        if (age < REPORT_INTERVAL_NANOS) {
            return;
        }
        TargetReport next = mScheduler.report(mReportSequence);
        if (next.equals(mLastReport) && age < IDLE_REPORT_INTERVAL_NANOS) {
            return;
        }
        mReportSequence++;
        mLastReportNanos = nowNanos;
        boolean full =
                !sameResidency(next)
                        || nowNanos - mLastFullReportNanos >= FULL_REPORT_INTERVAL_NANOS;
        mLastReport = mScheduler.report(mReportSequence);
        if (full) {
            mLastFullReportNanos = nowNanos;
        }
        Message message = full ? mLastReport : TargetLoad.of(mLastReport);
        for (NodeId entry : mEntryIncarnations.keySet()) {
            mOut.send(entry, message);
        }
    }
}
