package ebonygw;

import ebonygw.admission.ShareMessage;
import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueReply;
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
 * The state machine of a target process: typed events in, typed effects out.
 *
 * <p>It alone sends work and orders to its target. It holds no clock, socket, thread or unseeded
 * random source; the time of each event is an argument and must never step back. Not thread-safe:
 * one thread drives it.
 */
public final class TargetNode {
    private static final int AUTHORITY_CALL_OWNER = 4;
    private static final long REPORT_INTERVAL_NANOS = 200_000_000L;
    private static final long IDLE_REPORT_INTERVAL_NANOS = 1_000_000_000L;
    private static final long WHOLE_INTERVAL_NANOS = 30_000_000_000L;

    private final TargetNodeOptions mOptions;
    private final TargetOutbox mOut = new TargetOutbox();
    private final SettingsReplica mSettings;
    private final ProcessMembership mProcess;
    private final Membership mMembership;
    private final StopPlan mStop;
    private final TargetAuthority mAuthority;
    private final LoadGrants mLoads;
    private final TargetScheduler mScheduler;
    private final TargetRuns mRuns;
    private final Map<NodeId, Long> mEntries = new TreeMap<>();
    private Set<Member> mLinks = Set.of();
    private TargetReport mLastReport;
    private long mReportSequence;
    private long mWholeNanos = Long.MIN_VALUE / 2;
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
        mStop = new StopPlan(new StopOptions(0, options.stopTimeoutNanos(), 0));
        mAuthority = authority(options, random.split());
        mLoads = new LoadGrants(self, options.loadStore());
        mScheduler = new TargetScheduler(SchedulerOptions.defaults());
        mRuns = new TargetRuns(options, mSettings::view, mScheduler, mOut);
        mReachable = !options.model();
    }

    /** Returns the state as JSON-able maps, lists, strings and numbers, free of secrets. */
    public Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("self", mMembership.self().toString());
        dump.put("settingsRevision", mSettings.view().revision());
        dump.put("settingsFault", mSettings.fault().orElse(""));
        dump.put("settingsWatcher", mSettings.watching());
        dump.put("ready", ready());
        dump.put("reachable", mReachable);
        dump.put("phase", mStop.phase());
        dump.put("fencingToken", mAuthority.token());
        dump.put("runs", mRuns.dump());
        dump.put("report", String.valueOf(mLastReport));
        dump.put("entries", mEntries.toString());
        return dump;
    }

    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowNanos the present time in nanoseconds since the Unix epoch
     * @param effects takes the effects in order, during the call
     */
    public void handle(TargetEvent event, long nowNanos, Consumer<TargetEffect> effects) {
        mOut.attach(effects);
        if (onAnswerUnderWay(event)) {
            return;
        }
        if (!onAnswer(event, nowNanos) && !onEngine(event, nowNanos)) {
            onOther(event, nowNanos);
        }
        publish(nowNanos);
        pump(nowNanos);
    }

    /** Returns whether requests can be taken. */
    public boolean ready() {
        return mSettings.ready() && mReachable && !mStop.isStopping();
    }

    /** Returns the settings in force here; an immutable value. */
    public SettingsView settings() {
        return mSettings.view();
    }

    private TargetAuthority authority(TargetNodeOptions options, SplittableRandom random) {
        Member self = options.self();
        AuthorityOptions authority =
                new AuthorityOptions(
                        self.id().name(),
                        self,
                        options.engineChecksTokens(),
                        options.hostExclusive(),
                        options.longestOrderNanos());
        return new TargetAuthority(
                authority,
                mProcess.lease(),
                new CallIds(AUTHORITY_CALL_OWNER),
                mProcess.budget(),
                random);
    }

    private void act(SchedulerAction action, long nowNanos) {
        if (action instanceof SchedulerAction.Start start) {
            mRuns.start(start.work(), this::mayNotRun, nowNanos);
        } else if (action instanceof SchedulerAction.Refuse refuse) {
            mRuns.refuse(refuse.work(), refuse.refusal());
        } else if (action instanceof SchedulerAction.Load load) {
            order(load, nowNanos);
        } else if (action instanceof SchedulerAction.Evict evict) {
            order(evict, nowNanos);
        }
    }

    private Optional<Refusal> mayNotRun(long longestNanos, long nowNanos) {
        return mAuthority.mayRun(longestNanos, nowNanos)
                ? Optional.empty()
                : Optional.of(
                        Refusal.notRun(
                                RefusalCode.UNAVAILABLE, "no authority over the target now"));
    }

    private boolean onAnswer(TargetEvent event, long nowNanos) {
        if (event instanceof TargetEvent.AnswerEnded ended) {
            mRuns.answerEnded(ended.call(), ended.tokensUsed(), nowNanos);
        } else if (event instanceof TargetEvent.AnswerFailed failed) {
            mRuns.answerFailed(failed.call(), failed.refusal(), nowNanos);
        } else {
            return false;
        }
        return true;
    }

    /** Passes the start or a part of an answer on, which changes nothing that is decided here. */
    private boolean onAnswerUnderWay(TargetEvent event) {
        if (event instanceof TargetEvent.AnswerPart part) {
            mRuns.answerPart(part.call(), part.data());
        } else if (event instanceof TargetEvent.AnswerStarted started) {
            mRuns.answerStarted(started.call(), started.status(), started.headers());
        } else {
            return false;
        }
        return true;
    }

    private boolean onEngine(TargetEvent event, long nowNanos) {
        if (event instanceof TargetEvent.EngineReported report) {
            onReport(report, nowNanos);
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

    private void onKeyValue(long callId, KeyValueReply reply, long nowNanos) {
        boolean known =
                mSettings.onKeyValueReply(callId, reply, nowNanos, mOut)
                        || mProcess.onReply(callId, reply, nowNanos)
                        || mAuthority.onReply(callId, reply, nowNanos);
        if (!known) {
            mOut.log("key_value_reply_unknown", "call", callId);
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
                mEntries.put(from, incarnation);
                sendReport(from);
            }
        }
    }

    private void onMessage(NodeId from, long incarnation, Message message, long nowNanos) {
        if (message instanceof RequestMessage request) {
            mRuns.onMessage(from, incarnation, request, mSettings.ready(), nowNanos);
        } else if (message instanceof MemberMessage member) {
            onMemberMessage(from, incarnation, member, nowNanos);
        } else if (message instanceof SettingsMessage settings) {
            mSettings.onMessage(from, settings, nowNanos, mOut);
        } else if (message instanceof ShareMessage share) {
            mLoads.onMessage(share, nowNanos, mOut);
        }
    }

    private void onOrderDone(TargetEvent.OrderDone done, long nowNanos) {
        mOpenOrders--;
        if (done.load()) {
            mLoads.ended(done.adapter(), nowNanos, mOut);
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

    private void onOther(TargetEvent event, long nowNanos) {
        if (event instanceof TargetEvent.PeerSaid said) {
            onMessage(said.peer(), said.incarnation(), said.message(), nowNanos);
        } else if (event instanceof TargetEvent.PeerUp up) {
            onPeerUp(up.peer(), up.incarnation(), nowNanos);
        } else if (event instanceof TargetEvent.PeerDown down) {
            onPeerDown(down.peer(), down.incarnation(), nowNanos);
        } else if (event instanceof TargetEvent.KeyValueReplied replied) {
            onKeyValue(replied.callId(), replied.reply(), nowNanos);
        } else if (event instanceof TargetEvent.HostsListed listed) {
            mMembership.onHostList(listed.hosts(), nowNanos);
        } else if (event instanceof TargetEvent.StopAsked) {
            onStop(nowNanos);
        } else if (event instanceof TargetEvent.Tick) {
            onTick(nowNanos);
        }
    }

    private void onPeerDown(NodeId peer, long incarnation, long nowNanos) {
        mEntries.remove(peer, incarnation);
        mMembership.onPeerDown(peer, incarnation, nowNanos);
        mSettings.onPeerDown(peer, incarnation, nowNanos, mOut);
        mRuns.entryGone(peer, incarnation, nowNanos);
    }

    private void onPeerUp(NodeId peer, long incarnation, long nowNanos) {
        mMembership.onPeerUp(peer, incarnation, nowNanos, mOut);
        mSettings.onPeerUp(peer, incarnation, nowNanos, mOut);
    }

    private void onReport(TargetEvent.EngineReported report, long nowNanos) {
        mReachable = true;
        boolean restarted = report.startedAtNanos() != mEngineStartedAtNanos;
        mEngineStartedAtNanos = report.startedAtNanos();
        if (restarted) {
            mLoads.reset(nowNanos, mOut);
        }
        mRuns.onReport(report.running() + report.queued(), restarted, nowNanos);
        mScheduler.onEngineReport(
                report.slots(),
                report.maxBatch(),
                report.queued(),
                report.resident(),
                report.startedAtNanos(),
                nowNanos);
    }

    private void onStop(long nowNanos) {
        if (mStop.isStopping()) {
            return;
        }
        mStop.start(nowNanos);
        mRuns.stop();
        mScheduler.refuseAll(RefusalCode.STOPPING, "the target is leaving");
        mMembership.leave(nowNanos, mOut);
        mOut.log("stop_started", "open_attempts", mRuns.open());
    }

    private void onTick(long nowNanos) {
        mProcess.onTick(nowNanos, mOut);
        mSettings.onTick(nowNanos, mOut);
        mAuthority.onTick(nowNanos, mOut);
        mLoads.onTick(nowNanos, mOut);
        mRuns.tick(nowNanos);
        report(nowNanos);
        if (mMembership.isSuperseded()) {
            onStop(nowNanos);
        }
        if (mStop.isStopping() && !mExited) {
            stopFurther(nowNanos);
        }
    }

    private void order(SchedulerAction.Evict evict, long nowNanos) {
        OptionalLong token = mAuthority.tokenForOrder(mOptions.longestOrderNanos(), nowNanos);
        if (token.isPresent()) {
            mOpenOrders++;
            mOut.effect(new TargetEffect.Unload(evict.adapter(), token.getAsLong()));
        } else {
            mScheduler.onUnloaded(evict.adapter(), false, nowNanos);
        }
    }

    private void order(SchedulerAction.Load load, long nowNanos) {
        mLoads.ordered(load.adapter());
        OptionalLong token = mAuthority.tokenForOrder(mOptions.longestOrderNanos(), nowNanos);
        if (token.isPresent()) {
            mOpenOrders++;
            mOut.effect(new TargetEffect.Load(load.adapter(), token.getAsLong()));
        } else {
            mLoads.ended(load.adapter(), nowNanos, mOut);
            mScheduler.onLoaded(load.adapter(), false, nowNanos);
        }
    }

    /** Loads an adapter version ahead of work if it is served here and the process stays. */
    private void prefetch(AdapterVersion adapter, long nowNanos) {
        boolean served =
                mSettings
                        .view()
                        .adapter(adapter.adapter())
                        .filter(found -> found.model().equals(mOptions.self().serves()))
                        .filter(found -> found.versions().contains(adapter.version()))
                        .isPresent();
        if (served && mOptions.model() && !mStop.isStopping()) {
            mScheduler.prefetch(adapter, nowNanos);
        }
    }

    /** Passes on what the event has changed. */
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
        mLoads.onMembers(view.members());
        Set<Member> links = new HashSet<>();
        for (NodeId neighbour : mMembership.neighbours()) {
            view.member(neighbour)
                    .ifPresent(member -> links.add(member.withState(MemberState.LIVE)));
        }
        if (!links.equals(mLinks)) {
            mLinks = links;
            mOut.effect(new TargetEffect.Links(links));
        }
    }

    /** Starts what can run now and orders what has to be loaded. */
    private void pump(long nowNanos) {
        boolean mayOrder =
                mAuthority.tokenForOrder(mOptions.longestOrderNanos(), nowNanos).isPresent();
        for (SchedulerAction action :
                mScheduler.next(nowNanos, () -> mayOrder && mLoads.grant(nowNanos, mOut))) {
            act(action, nowNanos);
        }
    }

    /** Tells the entries the load at intervals, and the residency when it has changed. */
    private void report(long nowNanos) {
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
        boolean whole = !sameResidency(next) || nowNanos - mWholeNanos >= WHOLE_INTERVAL_NANOS;
        mLastReport = mScheduler.report(mReportSequence);
        if (whole) {
            mWholeNanos = nowNanos;
        }
        Message message = whole ? mLastReport : TargetLoad.of(mLastReport);
        for (NodeId entry : mEntries.keySet()) {
            mOut.send(entry, message);
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

    private void stopFurther(long nowNanos) {
        StopPhase phase = mStop.onTick(mRuns.open() + mOpenOrders, true, nowNanos);
        if (phase == StopPhase.RELEASING) {
            mProcess.release(nowNanos, mOut);
        } else if (phase == StopPhase.DONE) {
            mExited = true;
            mOut.log("stop_ended", "abandoned", mStop.abandoned());
            mOut.effect(new TargetEffect.Exit());
        }
    }
}
