package ebonygw;

import ebonygw.admission.ShareLinks;
import ebonygw.admission.ShareMessage;
import ebonygw.admission.ShareNode;
import ebonygw.keyvalue.KeyValueReply;
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
 * The state machine of an entry process: typed events in, typed effects out.
 *
 * <p>It holds no clock, socket, thread or unseeded random source; the time of each event is an
 * argument and must never step back. Not thread-safe: one thread drives it.
 */
public final class EntryNode {
    private static final int MAX_PREFETCHES = 16;
    private static final long SHARES_PATIENCE_NANOS = 10_000_000_000L;
    private static final long HAND_OVER_NANOS = 10_000_000_000L;

    private final EntryNodeOptions mOptions;
    private final EntryOutbox mOut = new EntryOutbox();
    private final SettingsReplica mSettings;
    private final SettingsWriter mWriter;
    private final StageGuard mStageGuard;
    private final ProcessMembership mProcess;
    private final Membership mMembership;
    private final StopPlan mStop;
    private final ShareNode mShares;
    private final Router mRouter;
    private final EntryRequests mRequests;
    private final Map<NodeId, Report> mReports = new HashMap<>();
    private Set<Member> mLinks = Set.of();
    private long mSettingsRevision = -1;
    private long mSettingsReadyNanos;
    private boolean mSharesReady;
    private boolean mLinksChanged;
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
        mStop =
                new StopPlan(
                        new StopOptions(
                                options.acceptNanos(),
                                options.stopTimeoutNanos(),
                                HAND_OVER_NANOS));
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

    /** Returns the state as JSON-able maps, lists, strings and numbers, free of secrets. */
    public Map<String, Object> dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("self", mMembership.self().toString());
        dump.put("settingsRevision", mSettings.view().revision());
        dump.put("settingsFault", mSettings.fault().orElse(""));
        dump.put("settingsWatcher", mSettings.watching());
        dump.put("ready", ready());
        dump.put("phase", mStop.phase());
        dump.put("requests", mRequests.dump());
        dump.put("members", members());
        dump.put("shares", mShares.dump());
        return dump;
    }

    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowNanos the present time in nanoseconds since the Unix epoch
     * @param effects takes the effects in order, during the call
     */
    public void handle(EntryEvent event, long nowNanos, Consumer<EntryEffect> effects) {
        mOut.attach(effects);
        if (event instanceof EntryEvent.CallerAsked asked) {
            mRequests.ask(asked.exchange(), asked.request(), mSettings.ready(), nowNanos);
        } else if (event instanceof EntryEvent.CallerGone gone) {
            mRequests.gone(gone.exchange(), nowNanos);
        } else if (event instanceof EntryEvent.CallerTook took) {
            mRequests.took(took.exchange(), took.parts());
        } else if (event instanceof EntryEvent.PeerSaid said) {
            onMessage(said.peer(), said.incarnation(), said.message(), nowNanos);
        } else if (event instanceof EntryEvent.PeerUp up) {
            onPeerUp(up.peer(), up.incarnation(), nowNanos);
        } else if (event instanceof EntryEvent.PeerDown down) {
            onPeerDown(down.peer(), down.incarnation(), nowNanos);
        } else if (event instanceof EntryEvent.KeyValueReplied replied) {
            onKeyValue(replied.callId(), replied.reply(), nowNanos);
        } else if (event instanceof EntryEvent.ChangeSubmitted submitted) {
            mWriter.submit(submitted.ticket(), submitted.change(), nowNanos, mOut);
        } else if (event instanceof EntryEvent.HostsListed listed) {
            mMembership.onHostList(listed.hosts(), nowNanos);
        } else if (event instanceof EntryEvent.StopAsked) {
            onStop(nowNanos);
        } else if (event instanceof EntryEvent.Tick) {
            onTick(nowNanos);
        }
        publish(nowNanos);
    }

    /**
     * Returns whether callers are welcome: settings are held, shares of the customers' rates can be
     * had, and no stop was asked for.
     */
    public boolean ready() {
        return mSettings.ready() && mSharesReady && !mStop.isStopping();
    }

    /** Returns the settings in force here with their tree and log; an immutable value. */
    public SettingsState settingsState() {
        return mSettings.state();
    }

    /** Returns the settings in force here; an immutable value. */
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

    private void onKeyValue(long callId, KeyValueReply reply, long nowNanos) {
        boolean known =
                mWriter.onKeyValueReply(callId, reply, nowNanos, mOut)
                        || mSettings.onKeyValueReply(callId, reply, nowNanos, mOut)
                        || mProcess.onReply(callId, reply, nowNanos)
                        || mShares.onKeyValueReply(callId, reply, nowNanos, mOut);
        if (!known) {
            mOut.log("key_value_reply_unknown", "call", callId);
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
            onReport(from, incarnation, report, nowNanos);
        } else if (message instanceof MemberMessage.TargetLoad load) {
            Report last = mReports.get(from);
            if (last != null && last.incarnation() == incarnation) {
                onReport(from, incarnation, last.report().with(load), nowNanos);
            }
        } else if (message instanceof MemberMessage.Heartbeat heartbeat) {
            mSettings.onPeerRevision(from, heartbeat.settingsRevision(), nowNanos, mOut);
        } else if (message instanceof MemberMessage.Hello hello) {
            mSettings.onPeerRevision(from, hello.settingsRevision(), nowNanos, mOut);
            if (hello.self().state() == MemberState.LEAVING) {
                prefetchAfter(from, nowNanos);
            }
        }
    }

    private void onPeerDown(NodeId peer, long incarnation, long nowNanos) {
        mReports.remove(peer);
        mMembership.onPeerDown(peer, incarnation, nowNanos);
        mSettings.onPeerDown(peer, incarnation, nowNanos, mOut);
        mShares.onPeerDown(peer, incarnation, nowNanos, mOut);
        mRequests.linkDown(peer, incarnation, nowNanos);
        mLinksChanged = true;
    }

    private void onPeerUp(NodeId peer, long incarnation, long nowNanos) {
        mRequests.linkUp(peer, incarnation, nowNanos);
        mMembership.onPeerUp(peer, incarnation, nowNanos, mOut);
        mSettings.onPeerUp(peer, incarnation, nowNanos, mOut);
        mShares.onPeerUp(peer, incarnation, nowNanos, mOut);
        mLinksChanged = true;
    }

    private void onReport(
            NodeId from, long incarnation, MemberMessage.TargetReport report, long nowNanos) {
        Report last = mReports.get(from);
        boolean older =
                last != null
                        && last.incarnation() == incarnation
                        && last.report().sequence() >= report.sequence();
        if (!older) {
            mReports.put(from, new Report(incarnation, report));
            mRouter.onReport(from, incarnation, report, nowNanos);
        }
    }

    private void onStop(long nowNanos) {
        if (mStop.isStopping()) {
            return;
        }
        mStop.start(nowNanos);
        mMembership.leave(nowNanos, mOut);
        mOut.log("stop_started", "open_requests", mRequests.open());
    }

    private void onTick(long nowNanos) {
        mProcess.onTick(nowNanos, mOut);
        mSettings.onTick(nowNanos, mOut);
        mWriter.onTick(nowNanos, mOut);
        EntryCounts counts = mRequests.counts();
        mStageGuard.onCounts(counts.mAsked, counts.refusedOrBroken(), nowNanos, mOut);
        mShares.onTick(nowNanos, mOut);
        mSharesReady |= mShares.hasJoined() || waitedForShares(nowNanos);
        mRequests.tick(nowNanos);
        if (mMembership.isSuperseded()) {
            onStop(nowNanos);
        }
        if (mStop.isStopping() && !mExited) {
            stopFurther(nowNanos);
        }
    }

    /** Asks the next homes of what a leaving target holds to load it before work comes. */
    private void prefetchAfter(NodeId leaving, long nowNanos) {
        mRouter.homesAfter(leaving, MAX_PREFETCHES, nowNanos)
                .forEach((adapter, home) -> mOut.send(home, new MemberMessage.Prefetch(adapter)));
    }

    /** Returns whether shares have been waited for long enough: others can still lend tokens. */
    private boolean waitedForShares(long nowNanos) {
        if (!mSettings.ready()) {
            return false;
        }
        if (mSettingsReadyNanos == 0) {
            mSettingsReadyNanos = nowNanos;
        }
        return nowNanos - mSettingsReadyNanos >= SHARES_PATIENCE_NANOS;
    }

    /** Passes on what the event has changed. */
    private void publish(long nowNanos) {
        mSettings.newFault().ifPresent(fault -> mOut.log("settings_fault", "detail", fault));
        for (SettingsWriter.Settled settled : mWriter.drain()) {
            mOut.effect(new EntryEffect.ChangeSettled(settled.ticket(), settled.outcome()));
        }
        mRequests.admissions(nowNanos);
        long revision = mSettings.view().revision();
        if (revision != mSettingsRevision && mSettings.ready()) {
            mSettingsRevision = revision;
            mMembership.settingsRevision(revision);
            mMembership.announce(MemberState.LIVE, nowNanos, mOut);
            mShares.onSettings(mSettings.view(), nowNanos, mOut);
            mOut.log("settings_in_force", "revision", revision);
        }
        if (mMembership.changed() || mLinksChanged) {
            mLinksChanged = false;
            publishMembers(nowNanos);
        }
    }

    private void publishMembers(long nowNanos) {
        MembershipView view = mMembership.view();
        List<Member> linked = new ArrayList<>();
        for (Member member : view.members()) {
            if (mRequests.linked(member)) {
                linked.add(member);
            }
        }
        mRouter.onMembers(linked, nowNanos);
        mShares.onMembers(view.members(), nowNanos, mOut);
        Set<Member> links = links(view);
        if (!links.equals(mLinks)) {
            mLinks = links;
            mOut.effect(new EntryEffect.Links(links));
        }
    }

    private Set<Member> links(MembershipView view) {
        Member self = mOptions.self();
        Set<NodeId> wanted = new HashSet<>(mMembership.neighbours());
        wanted.addAll(
                LinkSets.choose(self.id(), self.locality(), view.members(), mOptions.maxLinks()));
        wanted.addAll(ShareLinks.choose(self, view.members()));
        wanted.addAll(mRequests.targetsInUse());
        Set<Member> links = new HashSet<>();
        for (NodeId id : wanted) {
            view.member(id)
                    .filter(member -> !id.equals(self.id()))
                    .ifPresent(member -> links.add(member.withState(MemberState.LIVE)));
        }
        return links;
    }

    private void stopFurther(long nowNanos) {
        StopPhase phase = mStop.onTick(mRequests.open(), mShares.handedOver(), nowNanos);
        switch (phase) {
            case FINISHING -> mRequests.stop();
            case HANDING_OVER -> mShares.stop(nowNanos, mOut);
            case RELEASING -> mProcess.release(nowNanos, mOut);
            case DONE -> {
                mExited = true;
                mOut.log("stop_ended", "abandoned", mStop.abandoned());
                mOut.effect(new EntryEffect.Exit());
            }
            default -> {
                return;
            }
        }
    }

    /**
     * The newest report of a target.
     *
     * @param incarnation incarnation of its process
     * @param report the report
     */
    private record Report(long incarnation, MemberMessage.TargetReport report) {}
}
