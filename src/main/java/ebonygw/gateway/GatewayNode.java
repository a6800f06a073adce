package ebonygw.gateway;

import ebonygw.eligibility.Evacuations;
import ebonygw.eligibility.Ineligibility;
import ebonygw.eligibility.RegionScope;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.PrefixMirror;
import ebonygw.log.LogLine;
import ebonygw.membership.Member;
import ebonygw.membership.MemberMessage;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.routing.RouterOptions;
import ebonygw.targetlimit.ColdLimit;
import ebonygw.targetlimit.TargetLimits;
import ebonygw.targetlimit.TargetRegistration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * State machine of an entry that forwards requests to targets directly. It handles {@link
 * GatewayEvent}s and emits {@link GatewayEffect}s.
 *
 * <p>Deterministic: it has no clock, socket, thread or unseeded random source. The time of each
 * event is an argument and must never decrease. Not thread-safe: one thread drives it.
 */
public final class GatewayNode {
    /** Owner number of this node's correlation ids, see {@link KeyValueRequestIds}. */
    private static final int REQUEST_ID_OWNER = 7;

    /** Time after the end of acceptance that refusals in transmission get before the exit. */
    private static final long FINAL_RESPONSES_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Maximum number of names in a log line, so that its length is bounded. */
    private static final int MAX_LOGGED_NAMES = 10;

    private final GatewayOptions mOptions;
    private final GatewayOutbox mOut = new GatewayOutbox();
    private final KeyValueRequestIds mRequestIds = new KeyValueRequestIds(REQUEST_ID_OWNER);
    private final OperatorState mOperator;
    private final PrefixMirror mTargetMirror;
    private final EntryDirectory mDirectory;
    private final FleetSize mFleetSize = new FleetSize();
    private final CustomerQuota mQuota;
    private final UsageExchange mUsage;
    private final Evacuations mEvacuations = new Evacuations();
    private final TargetTable mTargets;
    private final PromptGuard mGuard;
    private final PendingRequests mRequests;

    private final TargetLimits mTargetLimits;
    private final LimitExchange mLimitExchange;

    private final Map<NodeId, Long> mConnectedPeers = new HashMap<>();
    private Set<Member> mPublishedLinks = Set.of();
    private boolean mLinksChanged = true;
    private long mStopRequestedNanos = Long.MIN_VALUE;
    private boolean mExited;
    private boolean mResidencyChanged;

    /**
     * Whether the prefill backlog is exchanged: load beyond the capacity is expected, or targets
     * are of uneven speed.
     */
    private boolean mSharesBacklog;

    /**
     * Creates a node without configuration and targets; it reads both from the key-value service.
     *
     * @throws NullPointerException if {@code options} is null
     */
    public GatewayNode(GatewayOptions options) {
        mOptions = Objects.requireNonNull(options, "options");
        Member self = options.self();
        mOperator =
                new OperatorState(
                        options.reader(),
                        mRequestIds,
                        mOut,
                        this::onSettings,
                        new EvacuationHandler());
        mTargetMirror = new PrefixMirror(options.reader().targetPrefix(), mRequestIds);
        SplittableRandom random = new SplittableRandom(options.seed());
        mDirectory = new EntryDirectory(self, mRequestIds, random.split());
        mQuota =
                options.features().contention()
                        ? new SharedQuota(
                                options.quotaToleranceTokens(),
                                options.quotaOverage(),
                                options.seed(),
                                mOut::log)
                        : new FleetQuota(options.quotaToleranceTokens(), options.quotaOverage());
        mUsage = new UsageExchange(self.id(), self.locality(), random.nextLong(), mQuota);
        mTargets =
                new TargetTable(
                        RouterOptions.defaults(self.id(), self.locality()),
                        mEvacuations,
                        this::ageMillis);
        mGuard = new PromptGuard(self.id(), random.nextLong(), mRequestIds, mOut);
        mTargetLimits =
                new TargetLimits(
                        options.features().cold(),
                        self,
                        this::coldLimit,
                        mOut::log,
                        this::withdraw);
        mLimitExchange = new LimitExchange(mTargetLimits.named(), mOut);
        mRequests =
                new PendingRequests(
                        options,
                        mOperator,
                        mTargets,
                        mQuota,
                        mGuard,
                        mFleetSize,
                        mTargetLimits.named(),
                        mOut);
    }

    /** Returns the state as maps, lists, strings and numbers for JSON, without secrets. */
    public Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("ready", ready());
        dump.put("revision", mOperator.revision());
        dump.put("open", mRequests.size());
        dump.put("links", mConnectedPeers.size());
        dump.put("entries", mDirectory.entries().size());
        dump.put("reachableEntries", mUsage.reachable());
        dump.put("fleetEntries", mFleetSize.entries());
        dump.put("fleetCertain", mFleetSize.isCertain(nowNanos) ? 1 : 0);
        Map<String, Object> ages = new LinkedHashMap<>();
        ages.put("configurationMillis", mOperator.ageMillis(nowNanos));
        ages.put("targetsMillis", mTargetMirror.ageMillis(nowNanos));
        dump.put("ages", ages);
        dump.put("counts", Map.copyOf(mRequests.counts()));
        dump.put("quota", mQuota.dump());
        dump.put("retryBudgets", mRequests.retryBudgets());
        dump.put("balancing", mRequests.speeds(nowNanos));
        dump.put("spillover", mRequests.spillover());
        Map<String, List<String>> blocked = new TreeMap<>();
        mGuard.blockedParts().forEach((parts, crashed) -> blocked.put(parts.toString(), crashed));
        dump.put("blockedParts", blocked);
        dump.put("blockedPartCount", blocked.size());
        dump.put("wantedVersions", mOperator.wantedVersions());
        dump.put("targetsLeaving", count(Ineligibility.Reason.LEAVING, nowNanos));
        dump.put("targetsPaused", count(Ineligibility.Reason.PAUSED, nowNanos));
        long evacuated = mTargets.all().stream().filter(GatewayTarget::isEvacuated).count();
        dump.put("targetsEvacuated", evacuated);
        dump.put("evacuations", mEvacuations.dump(nowNanos));
        Map<String, Object> limits = mTargetLimits.dump(nowNanos);
        if (mOptions.features().cold().isPresent()) {
            dump.put("cold", limits);
        }
        Map<String, Object> named = new LinkedHashMap<>(limits);
        named.putAll(mTargetLimits.named().dump());
        dump.put("targetLimits", named);
        Map<String, Object> targets = new LinkedHashMap<>();
        mTargets.all().forEach(it -> targets.put(it.record().id(), it.dump(nowNanos)));
        dump.put("targets", targets);
        return dump;
    }

    /**
     * Handles one event.
     *
     * @param nowNanos the current time, not before that of the previous event
     * @param effects receives the effects in order, before this method returns
     */
    public void handle(GatewayEvent event, long nowNanos, Consumer<GatewayEffect> effects) {
        mOut.setConsumer(effects);
        if (event instanceof GatewayEvent.RequestReceived asked) {
            boolean stopping =
                    isStopping() && nowNanos - mStopRequestedNanos >= mOptions.acceptNanos();
            mRequests.onRequest(asked.exchange(), asked.request(), stopping, nowNanos);
        } else if (event instanceof GatewayEvent.CallerDisconnected gone) {
            mRequests.onCallerDisconnected(gone.exchange(), nowNanos);
        } else if (event instanceof GatewayEvent.ResponseStarted started) {
            mRequests.onResponseStarted(started, nowNanos);
        } else if (event instanceof GatewayEvent.ResponseEnded ended) {
            mRequests.onResponseEnded(ended, nowNanos);
        } else if (event instanceof GatewayEvent.ResponseHeld held) {
            mRequests.onResponseHeld(held, nowNanos);
        } else if (event instanceof GatewayEvent.TargetNoticed noticed) {
            mResidencyChanged |= mRequests.onTargetNoticed(noticed, nowNanos);
        } else if (event instanceof GatewayEvent.AttemptFailed failed) {
            mRequests.onAttemptFailed(failed, nowNanos);
        } else if (event instanceof GatewayEvent.PeerMessageReceived said) {
            onMessage(said.peer(), said.message(), nowNanos);
        } else if (event instanceof GatewayEvent.PeerUp up) {
            onConnection(up.peer(), up.incarnation(), true);
        } else if (event instanceof GatewayEvent.PeerDown down) {
            onConnection(down.peer(), down.incarnation(), false);
        } else if (event instanceof GatewayEvent.KeyValueResponseReceived replied) {
            onKeyValue(replied.requestId(), replied.response(), nowNanos);
        } else if (event instanceof GatewayEvent.StopRequested) {
            onStop(nowNanos);
        } else if (event instanceof GatewayEvent.Tick) {
            onTick(nowNanos);
        }
        if (mResidencyChanged) {
            mResidencyChanged = false;
            mRequests.dispatchWaiting(nowNanos);
        }
        if (!mSharesBacklog && (mOptions.features().contention() || mRequests.reportsSpeeds())) {
            mSharesBacklog = true;
            mLinksChanged = true;
        }
        for (GatewayTarget target : mTargets.all()) {
            sendNeeds(target, nowNanos);
            sendBacklog(target, nowNanos);
        }
        publishLinks();
    }

    /**
     * Returns whether this entry accepts requests: configuration, targets, other entries and
     * blocked prompt parts have been read, and no stop was requested.
     */
    public boolean ready() {
        return mOperator.settings() != null
                && mTargetMirror.isLoaded()
                && mDirectory.isLoaded()
                && mGuard.isLoaded()
                && !isStopping();
    }

    /** Returns whether a stop was requested. */
    public boolean isStopping() {
        return mStopRequestedNanos != Long.MIN_VALUE;
    }

    /** Returns the configuration in force, null before the first one. */
    public GatewaySettings settings() {
        return mOperator.settings();
    }

    /** Applies a changed or removed registration of a target. */
    private void applyTarget(PrefixMirror.Change change, long nowNanos) {
        String id = change.key().substring(mOptions.reader().targetPrefix().length());
        mResidencyChanged = true;
        TargetRecord record =
                change.entry() == null
                        ? null
                        : mOptions.reader().target(change.entry()).orElse(null);
        if (record == null) {
            GatewayTarget removed = mTargets.remove(id);
            if (removed != null) {
                mLinksChanged = true;
                mTargetLimits.onTargetGone(id);
                endIncarnation(removed.record(), nowNanos);
                mOut.log(LogLine.of("target_gone").with("target", id));
                withdrawWaiting(removed.record());
            }
            return;
        }
        GatewayTarget known = mTargets.get(record.id());
        boolean changed =
                known == null
                        || !known.record().isSameIncarnation(record)
                        || known.record().draining() != record.draining();
        boolean started = known == null || !known.record().isSameIncarnation(record);
        if (known != null && started) {
            endIncarnation(known.record(), nowNanos);
        }
        mLinksChanged |= changed || !known.record().service().equals(record.service());
        TargetRecord before = known == null ? null : known.record();
        GatewayTarget target = mTargets.put(record, nowNanos);
        target.onRegistrationRead(nowNanos);
        if (before != null && changed && (started || record.draining())) {
            withdrawWaiting(before);
        }
        if (started) {
            mRequests.onTargetStarted(target, nowNanos);
        }
        target.setLimit(mTargetLimits.onRegistration(registration(record), nowNanos));
        if (changed) {
            mOut.log(
                    LogLine.of("target_seen")
                            .with("target", record.id())
                            .with("service", record.service())
                            .with("address", record.address())
                            .with("draining", record.draining())
                            .with("revision", change.entry().modRevision()));
        }
    }

    /**
     * Withdraws the attempts that wait for a connection to a target which leaves, is gone or has
     * been replaced; they would reach it later, or its successor in vain.
     */
    private void withdrawWaiting(TargetRecord record) {
        mOut.effect(new GatewayEffect.WithdrawWaiting(record.address()));
    }

    private ColdLimit coldLimit(String service) {
        return mOperator.service(service).map(GatewayService::cold).orElse(ColdLimit.NONE);
    }

    /** Returns the age of what this entry knows by a source, for diagnostics. */
    private long ageMillis(Ineligibility.Source source, long sinceNanos, long nowNanos) {
        return switch (source) {
            case CONFIGURATION, EVACUATION_KEY -> mOperator.ageMillis(nowNanos);
            case REGISTRATION -> mTargetMirror.ageMillis(nowNanos);
            case RESPONSE, ATTEMPTS -> TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
        };
    }

    private long count(Ineligibility.Reason why, long nowNanos) {
        return mTargets.all().stream()
                .flatMap(it -> it.ineligibility(RegionScope.UNRESTRICTED, nowNanos).stream())
                .filter(it -> it.reason() == why)
                .count();
    }

    /** Tells the guard of prompts that a target is gone, unless that was announced. */
    private void endIncarnation(TargetRecord record, long nowNanos) {
        if (!record.draining()) {
            mGuard.onTargetEnded(record.incarnation(), nowNanos);
        }
    }

    private void onKeyValue(long requestId, KeyValueResponse response, long nowNanos) {
        boolean handled =
                mOperator.onResponse(requestId, response, nowNanos)
                        || mTargetMirror.onResponse(requestId, response, nowNanos)
                        || mDirectory.onResponse(requestId, response, nowNanos)
                        || mGuard.onResponse(requestId, response, nowNanos);
        if (handled) {
            applyTargetChanges(nowNanos);
        }
    }

    /** Handles that the connection to a peer is established or lost. */
    private void onConnection(NodeId peer, long incarnation, boolean up) {
        if (up) {
            mConnectedPeers.put(peer, incarnation);
        } else if (Long.valueOf(incarnation).equals(mConnectedPeers.get(peer))) {
            mConnectedPeers.remove(peer);
        }
        for (GatewayTarget target : mTargets.ofLoader(peer)) {
            if (up) {
                target.onLoaderUp();
            } else {
                target.onLoaderDown();
            }
            mResidencyChanged = true;
        }
        mUsage.onLink(peer, mConnectedPeers.containsKey(peer));
        mGuard.onLink(peer, mConnectedPeers.containsKey(peer));
        mLimitExchange.onLink(peer, mConnectedPeers.containsKey(peer));
    }

    private void onMessage(NodeId from, Message message, long nowNanos) {
        if (message instanceof GatewayMessage.Usage usage) {
            mUsage.onMessage(from, usage, nowNanos);
        } else if (message instanceof GatewayMessage.PromptEvidence evidence) {
            mGuard.onEvidence(evidence.evidence(), nowNanos);
        } else if (message instanceof GatewayMessage.TargetLimits limits) {
            mLimitExchange.onMessage(from, limits, nowNanos);
        } else if (message instanceof GatewayMessage.TargetEnded ended) {
            mGuard.onTargetEnded(ended.incarnation(), nowNanos);
        } else if (message instanceof GatewayMessage.PrefillBacklog backlog) {
            mTargets.ofLoader(from).forEach(it -> it.backlog().onReport(backlog.tokens()));
        } else if (message instanceof GatewayMessage.OpenAdapterSlots slots) {
            mTargets.ofLoader(from).forEach(target -> target.onOpenAdapterSlots(slots.count()));
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
        mResidencyChanged |= mRequests.onSettings(settings, nowNanos);
        mTargetLimits.onMalformedLimits(settings.malformedColdLimits());
        checkRegions(settings);
    }

    /** Logs and counts the allowed regions of a configuration that the fleet does not have. */
    private void checkRegions(GatewaySettings settings) {
        Set<String> known = mOptions.reader().knownRegions();
        SortedSet<String> unknown = new TreeSet<>(settings.allowedRegions());
        unknown.removeAll(known);
        if (!known.isEmpty() && !unknown.isEmpty()) {
            mRequests.onInvalidInput("region_unknown", unknown.size());
            mOut.log(
                    LogLine.of("region_unknown")
                            .with("revision", settings.revision())
                            .with("unknown", unknown.size())
                            .with("names", unknown.stream().limit(MAX_LOGGED_NAMES).toList()));
        }
    }

    private void onStop(long nowNanos) {
        if (!isStopping()) {
            mStopRequestedNanos = nowNanos;
            mOut.log(LogLine.of("stop_started").with("open", mRequests.size()));
        }
    }

    private void onTick(long nowNanos) {
        mOperator.onTick(nowNanos);
        mLinksChanged |= mEvacuations.onTick(nowNanos);
        mTargetMirror.onTick(nowNanos, mOut);
        if (mDirectory.onTick(nowNanos, mOut)) {
            mLinksChanged = true;
            mUsage.onEntries(mDirectory.entries());
            List<NodeId> entries = mDirectory.entries().stream().map(Member::id).toList();
            mGuard.onEntries(entries);
            mLimitExchange.onEntries(entries);
        }
        mFleetSize.onView(
                mUsage.entries(),
                mDirectory.isRegistered(),
                mDirectory.ageMillis(nowNanos),
                nowNanos);
        applyTargetChanges(nowNanos);
        mTargetLimits.onTick(mDirectory.view(nowNanos), nowNanos);
        mRequests.onTick(nowNanos);
        mGuard.onTick(nowNanos);
        mLimitExchange.onTick(nowNanos);
        mRequests.dispatchWaiting(nowNanos);
        mUsage.onTick(nowNanos, mOut::send);
        if (isStopping() && !mExited) {
            continueStop(nowNanos);
        }
    }

    /**
     * Emits the set of processes to connect to if it has changed: the entries that usage is
     * exchanged with, and a bounded set of loaders, those of this region first.
     */
    private void publishLinks() {
        if (!mLinksChanged) {
            return;
        }
        mLinksChanged = false;
        Set<Member> links = new HashSet<>();
        List<Member> members = new ArrayList<>(mDirectory.entries());
        Set<NodeId> entries = mUsage.links();
        for (Member entry : mDirectory.entries()) {
            if (entries.contains(entry.id())) {
                links.add(entry.withState(MemberState.LIVE));
            }
        }
        for (GatewayTarget target : mTargets.all()) {
            TargetRecord record = target.record();
            if (mOperator.service(record.service()).flatMap(GatewayService::engine).isPresent()) {
                members.add(loader(target, record));
            }
        }
        Member self = mOptions.self();
        Set<String> regions =
                mOperator.settings() == null ? Set.of() : mOperator.settings().allowedRegions();
        Set<NodeId> loaders =
                LoaderLinks.choose(self, members, mEvacuations, regions, mSharesBacklog);
        for (Member member : members) {
            if (member.role() == Role.TARGET && loaders.contains(member.id())) {
                links.add(member);
            }
        }
        if (!links.equals(mPublishedLinks)) {
            mPublishedLinks = links;
            mOut.effect(new GatewayEffect.Links(links));
        }
    }

    /** Returns the loader beside a replica and assigns it to the target. */
    private Member loader(GatewayTarget target, TargetRecord record) {
        String address = record.host() + ":" + mOptions.loaderPort();
        NodeId id = new NodeId(address);
        target.setLoader(id);
        if (mConnectedPeers.containsKey(id) && !target.isLoaderUp()) {
            target.onLoaderUp();
        }
        return new Member(
                id, 0, Role.TARGET, MemberState.LIVE, record.locality(), address, record.service());
    }

    private void applyTargetChanges(long nowNanos) {
        mTargetMirror.drainChanges().forEach(change -> applyTarget(change, nowNanos));
    }

    /** Exits once no request is open and no refusal can be in transmission, or after the grace. */
    private void continueStop(long nowNanos) {
        long elapsed = nowNanos - mStopRequestedNanos;
        boolean done =
                mRequests.size() == 0 && elapsed >= mOptions.acceptNanos() + FINAL_RESPONSES_NANOS;
        if (done || elapsed >= mOptions.graceNanos()) {
            mExited = true;
            mDirectory.release(nowNanos, mOut);
            mOut.log(LogLine.of("stop_done").with("open", mRequests.size()));
            mOut.effect(new GatewayEffect.Exit());
        }
    }

    /** Sends the prompt tokens that wait for prefill at a target to its loader if that is due. */
    private void sendBacklog(GatewayTarget target, long nowNanos) {
        if (mSharesBacklog && target.isLoaderUp()) {
            target.backlog()
                    .drainIfDue(target.ownPrefillTokens(), nowNanos)
                    .ifPresent(
                            tokens ->
                                    mOut.send(
                                            target.loader(),
                                            new GatewayMessage.PrefillBacklog(tokens)));
        }
    }

    private static TargetRegistration registration(TargetRecord record) {
        return new TargetRegistration(
                record.id(),
                record.incarnation(),
                record.address(),
                record.service(),
                record.locality(),
                record.startedAtMillis(),
                record.coldRemaining());
    }

    /** Sends the adapter needs at a target to its loader if they are due. */
    private void sendNeeds(GatewayTarget target, long nowNanos) {
        if (target.isLoaderUp()) {
            target.needs()
                    .drainIfDue(nowNanos)
                    .map(GatewayMessage.AdapterNeeds::new)
                    .ifPresent(needs -> mOut.send(target.loader(), needs));
        }
    }

    /** Applies the evacuations that operators request and end. */
    private final class EvacuationHandler implements OperatorState.EvacuationListener {
        @Override
        public void onChange(String dataCenter, long revision, long nowNanos) {
            boolean changed =
                    revision > 0
                            ? mEvacuations.onRequested(dataCenter, nowNanos)
                            : mEvacuations.onEnded(dataCenter, nowNanos);
            if (!changed) {
                return;
            }
            mResidencyChanged = true;
            mLinksChanged = true;
            mOut.log(
                    LogLine.of(revision > 0 ? "evacuation_started" : "evacuation_ended")
                            .with("data_center", dataCenter)
                            .with("revision", revision)
                            .with("previous_age_ms", mOperator.previousAgeMillis())
                            .with("targets", mTargets.ofDataCenter(dataCenter).size()));
            if (revision > 0) {
                mRequests.onEvacuated(dataCenter);
            }
        }

        @Override
        public void onMalformed(String key) {
            mRequests.onInvalidInput("evacuation_malformed", 1);
            mOut.log(LogLine.of("evacuation_malformed").with("key", key));
        }
    }

    private void withdraw(String address) {
        mOut.effect(new GatewayEffect.WithdrawWaiting(address));
    }
}
