package ebonygw.gateway;

import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.keyvalue.PrefixMirror;
import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.routing.RouterOptions;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The state machine of an entry that forwards to targets directly: typed events in, typed effects
 * out.
 *
 * <p>It holds no clock, socket, thread or unseeded random source; the time of each event is an
 * argument and must never step back. Not thread-safe: one thread drives it.
 */
public final class GatewayNode {
    private static final int CALL_OWNER = 7;

    /** Time between two messages that tell the other entries of charged tokens. */
    private static final long USAGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** How long after the last accepted request refusals may still be on their way. */
    private static final long LAST_ANSWERS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final GatewayOptions mOptions;
    private final GatewayOutbox mOut = new GatewayOutbox();
    private final CallIds mCallIds = new CallIds(CALL_OWNER);
    private final OperatorState mOperator;
    private final PrefixMirror mTargetList;
    private final EntryDirectory mDirectory;
    private final FleetQuota mQuota;
    private final TargetTable mTargets;
    private final GatewayCalls mCalls;
    private final Map<NodeId, Long> mLinked = new HashMap<>();
    private Set<Member> mLinks = Set.of();
    private boolean mLinksChanged = true;
    private long mUsageSentNanos;
    private long mStopNanos = Long.MIN_VALUE;
    private boolean mExited;
    private boolean mResidencyChanged;

    /**
     * Creates a node that has no configuration and knows no target.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public GatewayNode(GatewayOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        Member self = options.self();
        mOperator = new OperatorState(options.reader(), mCallIds, mOut, this::onSettings);
        mTargetList = new PrefixMirror(options.reader().targetPrefix(), mCallIds);
        mDirectory = new EntryDirectory(self, mCallIds, new SplittableRandom(options.seed()));
        mQuota = new FleetQuota(options.quotaToleranceTokens(), options.quotaOverage());
        mTargets = new TargetTable(RouterOptions.defaults(self.id(), self.locality()));
        mCalls = new GatewayCalls(options, mOperator, mTargets, mQuota, mOut);
    }

    /** Returns the state as JSON-able maps, lists, strings and numbers, free of secrets. */
    public Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("ready", ready());
        dump.put("revision", mOperator.revision());
        dump.put("open", mCalls.open());
        dump.put("links", mLinked.size());
        dump.put("entries", mDirectory.entries().size());
        Map<String, Object> ages = new LinkedHashMap<>();
        ages.put("configurationMillis", mOperator.ageMillis(nowNanos));
        ages.put("targetsMillis", mTargetList.ageMillis(nowNanos));
        dump.put("ages", ages);
        dump.put("counts", Map.copyOf(mCalls.counts()));
        dump.put("quota", mQuota.dump());
        dump.put("wantedVersions", mOperator.wantedVersions());
        Map<String, Object> targets = new LinkedHashMap<>();
        mTargets.all().forEach(it -> targets.put(it.record().id(), it.dump(nowNanos)));
        dump.put("targets", targets);
        return dump;
    }

    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowNanos the present time
     * @param effects takes the effects in order, during the call
     */
    public void handle(GatewayEvent event, long nowNanos, Consumer<GatewayEffect> effects) {
        mOut.attach(effects);
        if (event instanceof GatewayEvent.CallerAsked asked) {
            boolean late = isStopping() && nowNanos - mStopNanos >= mOptions.acceptNanos();
            mCalls.ask(asked.exchange(), asked.request(), late, nowNanos);
        } else if (event instanceof GatewayEvent.CallerGone gone) {
            mCalls.gone(gone.exchange(), nowNanos);
        } else if (event instanceof GatewayEvent.AnswerStarted started) {
            mCalls.answerStarted(started, nowNanos);
        } else if (event instanceof GatewayEvent.AnswerEnded ended) {
            mCalls.answerEnded(ended.exchange(), ended.attempt(), nowNanos);
        } else if (event instanceof GatewayEvent.AnswerHeld held) {
            mCalls.answerHeld(held, nowNanos);
        } else if (event instanceof GatewayEvent.AttemptFailed failed) {
            mCalls.attemptFailed(failed, nowNanos);
        } else if (event instanceof GatewayEvent.PeerSaid said) {
            onMessage(said.peer(), said.message(), nowNanos);
        } else if (event instanceof GatewayEvent.PeerUp up) {
            onLink(up.peer(), up.incarnation(), true, nowNanos);
        } else if (event instanceof GatewayEvent.PeerDown down) {
            onLink(down.peer(), down.incarnation(), false, nowNanos);
        } else if (event instanceof GatewayEvent.KeyValueReplied replied) {
            onKeyValue(replied.callId(), replied.reply(), nowNanos);
        } else if (event instanceof GatewayEvent.StopAsked) {
            onStop(nowNanos);
        } else if (event instanceof GatewayEvent.Tick) {
            onTick(nowNanos);
        }
        if (mResidencyChanged) {
            mResidencyChanged = false;
            mCalls.wake(nowNanos);
        }
        mTargets.all().forEach(target -> sendNeeds(target, nowNanos));
        publishLinks(nowNanos);
    }

    /**
     * Returns whether callers are welcome: configuration, targets and other entries are known, and
     * no stop was asked for.
     */
    public boolean ready() {
        return mOperator.settings() != null
                && mTargetList.isLoaded()
                && mDirectory.isLoaded()
                && !isStopping();
    }

    /** Returns whether a stop was asked for. */
    public boolean isStopping() {
        return mStopNanos != Long.MIN_VALUE;
    }

    /** Returns the configuration in force, null before the first. */
    public GatewaySettings settings() {
        return mOperator.settings();
    }

    private void applyTarget(PrefixMirror.Change change) {
        String id = change.key().substring(mOptions.reader().targetPrefix().length());
        mResidencyChanged = true;
        mLinksChanged = true;
        TargetRecord record =
                change.entry() == null
                        ? null
                        : mOptions.reader().target(change.entry()).orElse(null);
        if (record == null) {
            if (mTargets.remove(id) != null) {
                mOut.log(LogLine.of("target_gone").with("target", id));
            }
            return;
        }
        GatewayTarget known = mTargets.get(record.id());
        boolean news =
                known == null
                        || !known.record().sameStart(record)
                        || known.record().draining() != record.draining();
        mTargets.put(record);
        if (news) {
            mOut.log(
                    LogLine.of("target_seen")
                            .with("target", record.id())
                            .with("service", record.service())
                            .with("address", record.address())
                            .with("draining", record.draining())
                            .with("revision", change.entry().modRevision()));
        }
    }

    private void onKeyValue(long callId, KeyValueReply reply, long nowNanos) {
        boolean known =
                mOperator.onReply(callId, reply, nowNanos)
                        || mTargetList.onReply(callId, reply, nowNanos)
                        || mDirectory.onReply(callId, reply, nowNanos);
        if (known) {
            takeTargets();
        }
    }

    private void onLink(NodeId peer, long incarnation, boolean up, long nowNanos) {
        if (up) {
            mLinked.put(peer, incarnation);
        } else if (Long.valueOf(incarnation).equals(mLinked.get(peer))) {
            mLinked.remove(peer);
        }
        for (GatewayTarget target : mTargets.ofLoader(peer)) {
            if (up) {
                target.onLoaderUp();
            } else {
                target.onLoaderDown();
            }
            mResidencyChanged = true;
        }
        countEntries(nowNanos);
    }

    private void countEntries(long nowNanos) {
        Set<NodeId> entries = new HashSet<>();
        entries.add(mOptions.self().id());
        mDirectory.entries().forEach(entry -> entries.add(entry.id()));
        int reachable = 0;
        for (NodeId entry : entries) {
            if (mLinked.containsKey(entry) || entry.equals(mOptions.self().id())) {
                reachable++;
            }
        }
        mQuota.onEntries(reachable, entries.size(), nowNanos);
        mCalls.onEntries(entries.size());
    }

    private void onMessage(NodeId from, Message message, long nowNanos) {
        if (message instanceof GatewayMessage.Usage usage) {
            mQuota.onUsage(usage.tokensByCustomer(), nowNanos);
        } else if (message instanceof GatewayMessage.OpenPlaces places) {
            mTargets.ofLoader(from).forEach(target -> target.onOpenPlaces(places.count()));
        } else if (message instanceof MemberMessage.TargetReport report) {
            for (GatewayTarget target : mTargets.ofLoader(from)) {
                mResidencyChanged |= target.onReport(report, nowNanos);
            }
        } else if (message instanceof MemberMessage.TargetLoad load) {
            for (GatewayTarget target : mTargets.ofLoader(from)) {
                target.onLoad(
                        new TargetLoad(load.running(), load.queued(), load.concurrency()),
                        load.sequence(),
                        nowNanos);
            }
        }
    }

    private void onSettings(GatewaySettings settings, long nowNanos) {
        mLinksChanged = true;
        mQuota.onSettings(settings.customers(), nowNanos);
    }

    private void onStop(long nowNanos) {
        if (!isStopping()) {
            mStopNanos = nowNanos;
            mOut.log(LogLine.of("stop_started").with("open", mCalls.open()));
        }
    }

    private void onTick(long nowNanos) {
        mOperator.onTick(nowNanos);
        mTargetList.onTick(nowNanos, mOut);
        if (mDirectory.onTick(nowNanos, mOut)) {
            mLinksChanged = true;
            countEntries(nowNanos);
        }
        takeTargets();
        mCalls.wake(nowNanos);
        if (nowNanos - mUsageSentNanos >= USAGE_INTERVAL_NANOS) {
            mUsageSentNanos = nowNanos;
            sendUsage();
        }
        if (isStopping() && !mExited) {
            stopFurther(nowNanos);
        }
    }

    private void publishLinks(long nowNanos) {
        if (!mLinksChanged) {
            return;
        }
        mLinksChanged = false;
        Set<Member> links = new HashSet<>();
        for (Member entry : mDirectory.entries()) {
            if (!entry.id().equals(mOptions.self().id())) {
                links.add(entry.withState(MemberState.LIVE));
            }
        }
        for (GatewayTarget target : mTargets.all()) {
            TargetRecord record = target.record();
            if (mOperator.service(record.service()).flatMap(GatewayService::engine).isPresent()) {
                links.add(loader(target, record));
            }
        }
        if (!links.equals(mLinks)) {
            mLinks = links;
            mOut.effect(new GatewayEffect.Links(links));
        }
    }

    private Member loader(GatewayTarget target, TargetRecord record) {
        String address = record.host() + ":" + mOptions.loaderPort();
        NodeId id = new NodeId(address);
        target.loader(id);
        if (mLinked.containsKey(id) && !target.loaderUp()) {
            target.onLoaderUp();
        }
        return new Member(id, 0, Role.TARGET, MemberState.LIVE, record.locality(), address, "");
    }

    private void sendNeeds(GatewayTarget target, long nowNanos) {
        if (target.loaderUp()) {
            target.needs()
                    .due(nowNanos)
                    .map(GatewayMessage.AdapterNeeds::new)
                    .ifPresent(needs -> mOut.send(target.loader(), needs));
        }
    }

    private void sendUsage() {
        Map<String, Long> charged = mQuota.takeUnreported();
        if (charged.isEmpty()) {
            return;
        }
        GatewayMessage.Usage usage = new GatewayMessage.Usage(charged);
        for (Member entry : mDirectory.entries()) {
            if (!entry.id().equals(mOptions.self().id())) {
                mOut.send(entry.id(), usage);
            }
        }
    }

    private void stopFurther(long nowNanos) {
        long stopping = nowNanos - mStopNanos;
        boolean done =
                mCalls.open() == 0 && stopping >= mOptions.acceptNanos() + LAST_ANSWERS_NANOS;
        if (done || stopping >= mOptions.graceNanos()) {
            mExited = true;
            mDirectory.release(nowNanos, mOut);
            mOut.log(LogLine.of("stop_done").with("open", mCalls.open()));
            mOut.effect(new GatewayEffect.Exit());
        }
    }

    private void takeTargets() {
        mTargetList.drain().forEach(this::applyTarget);
    }
}
