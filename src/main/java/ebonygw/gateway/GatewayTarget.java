package ebonygw.gateway;

import ebonygw.backlog.TargetBacklog;
import ebonygw.balancing.BalancingOptions;
import ebonygw.balancing.TargetSpeed;
import ebonygw.eligibility.Evacuations;
import ebonygw.eligibility.Ineligibility;
import ebonygw.eligibility.Ineligibility.Reason;
import ebonygw.eligibility.Ineligibility.Source;
import ebonygw.eligibility.RegionScope;
import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.routing.RouterOptions;
import ebonygw.routing.TargetHealth;
import ebonygw.targetlimit.LimitedTarget;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;

/**
 * State of one target as an entry knows it: registration, resident adapters, load and health.
 *
 * <p>The load is the last reported one, corrected by this entry's own attempts since. Not
 * thread-safe.
 */
final class GatewayTarget {
    /** Age after which a reported load is ignored and only the entry's own attempts count. */
    private static final long MAX_LOAD_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** How long an adapter that the target rejected as missing counts as absent despite reports. */
    private static final long ABSENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Open adapter slots assumed until the loader reports them: enough for one adapter. */
    private static final int DEFAULT_OPEN_SLOTS = 1;

    /** Number of adapters whose rank hashes are kept: about 16 KB for each target. */
    private static final int MAX_RANK_HASHES = 512;

    final TargetHealth mHealth;

    /** How fast the target is; learnt only if targets of its service report it. */
    final TargetSpeed mSpeed = new TargetSpeed(BalancingOptions.defaults());

    private final Evacuations mEvacuations;
    private final Ineligibility.SourceAge mSourceAge;
    private final PromptCacheEstimate mPromptCache = new PromptCacheEstimate();
    private final Map<String, Long> mAbsentUntilNanos = new HashMap<>();
    private final Set<String> mLoading = new HashSet<>();
    private final Map<String, Long> mAdapters = new HashMap<>();
    private final Set<String> mRecentlyHeld = Collections.newSetFromMap(new RecentNames());
    private final TargetNeeds mNeeds = new TargetNeeds();
    private final Map<String, Long> mRankHashes = new HashMap<>();
    private final TargetBacklog mBacklog = new TargetBacklog();
    private TargetRecord mRecord;
    private NodeId mLoader;
    private boolean mLoaderUp;
    private int mOpenAdapterSlots = DEFAULT_OPEN_SLOTS;

    /** Whether the loader has reported since its connection or the start of the incarnation. */
    private boolean mHasReport;

    private long mReportSequence = -1;

    /** Attempts of this entry that have not ended. */
    private int mOutstanding;

    /** Attempts of this entry without a response yet. */
    private int mUnstartedRequests;

    /** Prompt tokens to prefill for these attempts. */
    private long mPrefillTokens;

    private int mReportedQueued;
    private int mReportedLoad;
    private int mReportedSlots;
    private long mLoadReportedNanos = Long.MIN_VALUE;
    private int mSentSinceReport;
    private int mEndedSinceReport;
    private long mAvoidSinceNanos = Long.MIN_VALUE;
    private long mAvoidUntilNanos = Long.MIN_VALUE;

    /** When the registration first said that the target drains, minimum value if it does not. */
    private long mDrainingSinceNanos = Long.MIN_VALUE;

    /** Whether the target has reported an invalid number for how long work takes. */
    private boolean mReportedInvalid;

    /** Notices of the present incarnation. */
    private IncarnationNotices.Held mNotices;

    /** Its limit on requests, null before its registration was applied. */
    private LimitedTarget mLimit;

    /** Creates a target that no evacuation concerns. */
    GatewayTarget(TargetRecord record, IncarnationNotices.Held notices, RouterOptions options) {
        this(record, notices, options, new Evacuations(), (source, sinceNanos, nowNanos) -> -1);
    }

    /**
     * Creates a target.
     *
     * @param evacuations the data centres that are evacuated, kept up to date by the owner
     * @param sourceAge age of what this entry knows, for diagnostics
     */
    GatewayTarget(
            TargetRecord record,
            IncarnationNotices.Held notices,
            RouterOptions options,
            Evacuations evacuations,
            Ineligibility.SourceAge sourceAge) {
        mEvacuations = evacuations;
        mSourceAge = sourceAge;
        mHealth = new TargetHealth(options);
        mNotices = notices;
        mRecord = record;
        mAdapters.putAll(record.adapters());
    }

    /** Returns the resident version of an adapter, 0 if it is not resident. */
    long adapterVersion(String adapter, long nowNanos) {
        Long absentUntilNanos = mAbsentUntilNanos.get(adapter);
        if (absentUntilNanos != null && nowNanos < absentUntilNanos) {
            return 0;
        }
        return mAdapters.getOrDefault(adapter, 0L);
    }

    boolean isLoading(String adapter) {
        return mLoading.contains(adapter);
    }

    /** Returns whether the target held an adapter recently and can load it again fast. */
    boolean recentlyHeld(String adapter) {
        return mRecentlyHeld.contains(adapter);
    }

    /** Returns whether the target is in an evacuated data centre. */
    boolean isEvacuated() {
        return mEvacuations.sinceNanos(mRecord.locality().dataCenter()).isPresent();
    }

    /** Returns whether the target is about to stop, by its registration or its own notice. */
    boolean isLeaving() {
        return mRecord.draining() || mNotices.isLeaving();
    }

    /** Returns whether the data centre of the target gets its work back after an evacuation. */
    boolean isReturning(long nowNanos) {
        return mEvacuations.capacityFraction(mRecord.locality().dataCenter(), nowNanos) < 1;
    }

    /** Returns whether the target gets a limited number of requests from all entries. */
    boolean isLimited(long nowNanos) {
        return mLimit != null && mLimit.isLimited(nowNanos);
    }

    /** Returns whether the target wants no requests for a while, and does not leave. */
    boolean isPaused(long nowNanos) {
        return !isLeaving() && mNotices.isPaused(nowNanos);
    }

    /**
     * Returns why the target takes no requests, the first reason by the order of {@link Reason},
     * empty if it takes them.
     *
     * @param regions where the request may run
     */
    Optional<Ineligibility> ineligibility(RegionScope regions, long nowNanos) {
        if (mRecord.draining()) {
            return because(
                    Reason.LEAVING,
                    mDrainingSinceNanos,
                    OptionalLong.empty(),
                    Source.REGISTRATION,
                    nowNanos);
        }
        if (mNotices.isLeaving()) {
            return because(
                    Reason.LEAVING,
                    mNotices.leavingSinceNanos(),
                    OptionalLong.empty(),
                    Source.RESPONSE,
                    nowNanos);
        }
        if (!regions.allows(mRecord.locality().region())) {
            return because(
                    Reason.OUTSIDE_REGIONS,
                    regions.sinceNanos(),
                    OptionalLong.empty(),
                    Source.CONFIGURATION,
                    nowNanos);
        }
        OptionalLong evacuated = mEvacuations.sinceNanos(mRecord.locality().dataCenter());
        if (evacuated.isPresent()) {
            return because(
                    Reason.EVACUATED,
                    evacuated.getAsLong(),
                    OptionalLong.empty(),
                    Source.EVACUATION_KEY,
                    nowNanos);
        }
        if (mNotices.isPaused(nowNanos)) {
            return because(
                    Reason.PAUSED,
                    mNotices.pausedSinceNanos(),
                    OptionalLong.of(mNotices.pausedUntilNanos()),
                    Source.RESPONSE,
                    nowNanos);
        }
        if (mHealth.isEjected(nowNanos)) {
            return because(
                    Reason.EJECTED,
                    mHealth.ejectedSinceNanos(),
                    OptionalLong.of(mHealth.ejectedUntilNanos()),
                    Source.ATTEMPTS,
                    nowNanos);
        }
        if (nowNanos < mAvoidUntilNanos) {
            return because(
                    Reason.REJECTED,
                    mAvoidSinceNanos,
                    OptionalLong.of(mAvoidUntilNanos),
                    Source.ATTEMPTS,
                    nowNanos);
        }
        if (mLimit != null && mLimit.isClosed(nowNanos)) {
            boolean cold = mLimit.isCold(nowNanos);
            return because(
                    cold ? Reason.COLD : Reason.LIMITED,
                    mLimit.sinceNanos(nowNanos),
                    cold ? OptionalLong.of(mLimit.warmNanos()) : OptionalLong.empty(),
                    cold ? Source.REGISTRATION : Source.RESPONSE,
                    nowNanos);
        }
        return Optional.empty();
    }

    /** Returns the reason why the target takes no requests, empty if it takes them. */
    Optional<Reason> ineligibilityReason(RegionScope regions, long nowNanos) {
        return ineligibility(regions, nowNanos).map(Ineligibility::reason);
    }

    /**
     * Returns whether a request should rather go elsewhere because the data centre has been
     * evacuated and gets its work back gradually.
     *
     * @param requestHash hash of the request's identifier
     */
    boolean prefersOthers(long requestHash, long nowNanos) {
        return mEvacuations.prefersOthers(requestHash, mRecord.locality().dataCenter(), nowNanos);
    }

    /** Returns when the latest pause ends, {@link Long#MIN_VALUE} if there was none. */
    long pausedUntilNanos() {
        return mNotices.pausedUntilNanos();
    }

    /** Returns the estimated number of requests that run or wait at the target. */
    int load(long nowNanos) {
        if (mLoadReportedNanos == Long.MIN_VALUE
                || nowNanos - mLoadReportedNanos > MAX_LOAD_AGE_NANOS) {
            return mOutstanding;
        }
        return Math.max(mOutstanding, mReportedLoad + mSentSinceReport - mEndedSinceReport);
    }

    /** Returns the age of the last reported load, {@link Long#MAX_VALUE} if there was none. */
    long loadAgeNanos(long nowNanos) {
        return mLoadReportedNanos == Long.MIN_VALUE
                ? Long.MAX_VALUE
                : nowNanos - mLoadReportedNanos;
    }

    /** Returns its limit on requests, empty before its registration was applied. */
    Optional<LimitedTarget> limit() {
        return Optional.ofNullable(mLimit);
    }

    /** Returns the loader of the target, null before it is assigned. */
    NodeId loader() {
        return mLoader;
    }

    boolean isLoaderUp() {
        return mLoaderUp;
    }

    /** Returns the number of adapters being loaded. */
    int loadingCount() {
        return mLoading.size();
    }

    TargetNeeds needs() {
        return mNeeds;
    }

    /** Returns the number of open adapter slots, negative if adapters wait for one. */
    int openAdapterSlots() {
        return mOpenAdapterSlots;
    }

    /** Returns what is known of the prompt tokens that wait for prefill. */
    TargetBacklog backlog() {
        return mBacklog;
    }

    /** Returns the prompt tokens of this entry that wait for prefill. */
    long ownPrefillTokens() {
        return mPrefillTokens;
    }

    PromptCacheEstimate promptCache() {
        return mPromptCache;
    }

    TargetRecord record() {
        return mRecord;
    }

    /** Returns the hash of the target and an adapter by which targets are ranked for it. */
    long rankHash(String adapter) {
        Long hash = mRankHashes.get(adapter);
        if (hash == null) {
            if (mRankHashes.size() >= MAX_RANK_HASHES) {
                mRankHashes.clear();
            }
            hash = LongHashFunction.xx().hashChars(mRecord.address() + ' ' + adapter);
            mRankHashes.put(adapter, hash);
        }
        return hash;
    }

    /**
     * Returns how many requests the target runs concurrently, at least 1; fewer while its data
     * centre gets its work back.
     */
    int slots(long nowNanos) {
        int slots = mReportedSlots > 0 ? mReportedSlots : mRecord.slots();
        double fraction = mEvacuations.capacityFraction(mRecord.locality().dataCenter(), nowNanos);
        return Math.max(1, (int) (slots * fraction));
    }

    /**
     * Returns the number of prompt tokens to prefill before those of a new attempt. Those of this
     * entry are known; those of other entries are reported by the loader, else estimated from the
     * reported queue length.
     *
     * @param meanPrefillTokens mean number of tokens to prefill for a request of another entry
     */
    long prefillTokens(long meanPrefillTokens, long nowNanos) {
        if (mBacklog.othersTokens().isPresent()) {
            return mPrefillTokens + mBacklog.othersTokens().getAsLong();
        }
        boolean recent =
                mLoadReportedNanos != Long.MIN_VALUE
                        && nowNanos - mLoadReportedNanos <= MAX_LOAD_AGE_NANOS;
        int others = recent ? Math.max(0, mReportedQueued - mUnstartedRequests) : 0;
        return mPrefillTokens + others * meanPrefillTokens;
    }

    /** Excludes the target from new requests until a time. */
    void avoidUntil(long nanos, long nowNanos) {
        mAvoidSinceNanos = nowNanos < mAvoidUntilNanos ? mAvoidSinceNanos : nowNanos;
        mAvoidUntilNanos = Math.max(mAvoidUntilNanos, nanos);
    }

    void setLimit(LimitedTarget limit) {
        mLimit = limit;
    }

    void setLoader(NodeId loader) {
        mLoader = loader;
    }

    /** Handles a rejection because the target lacks an adapter or holds another version of it. */
    void onAdapterAbsent(String adapter, long nowNanos) {
        mAbsentUntilNanos.put(adapter, nowNanos + ABSENCE_NANOS);
    }

    /**
     * Handles the end of an attempt.
     *
     * @param adapter adapter of the request, empty for none
     * @param started whether {@link #onStarted} was called for it
     * @param prefillTokens prompt tokens of the attempt that count as not prefilled yet
     */
    void onEnded(String adapter, boolean started, long prefillTokens) {
        mNeeds.onRequestEnded(adapter);
        mOutstanding = Math.max(0, mOutstanding - 1);
        mEndedSinceReport++;
        if (!started) {
            onStarted(prefillTokens);
        }
    }

    void onLoaderDown() {
        mLoaderUp = false;
        mHasReport = false;
        mReportSequence = -1;
        mOpenAdapterSlots = DEFAULT_OPEN_SLOTS;
        mBacklog.reset();
        mLoading.clear();
    }

    void onLoaderUp() {
        onLoaderDown();
        mLoaderUp = true;
        mNeeds.markChanged();
    }

    /** Applies the load that the target reported with a response. */
    void onLoad(TargetLoad load, long nowNanos) {
        mReportedLoad = load.running() + load.queued();
        mReportedSlots = load.slots();
        mReportedQueued = load.queued();
        mLoadReportedNanos = nowNanos;
        mSentSinceReport = 0;
        mEndedSinceReport = 0;
    }

    /** Applies a load update of the target's loader; ignored without a report or if outdated. */
    void onLoad(TargetLoad load, long sequence, long nowNanos) {
        if (mHasReport && sequence > mReportSequence) {
            mReportSequence = sequence;
            onLoad(load, nowNanos);
        }
    }

    /** Handles an invalid number in a report; returns whether it is the first one. */
    boolean onInvalidWorkPercent() {
        boolean first = !mReportedInvalid;
        mReportedInvalid = true;
        return first;
    }

    /** Applies a notice of the target's present incarnation. */
    void onNotice(TargetNotice notice, long nowNanos) {
        mNotices.apply(notice, nowNanos);
    }

    /** Applies the number of open adapter slots that the loader reported. */
    void onOpenAdapterSlots(int count) {
        mOpenAdapterSlots = count;
    }

    /**
     * Registers that a request waits for an adapter; the first one takes an open adapter slot.
     *
     * @param version minimum version that it may run on, 0 for any
     * @param withinObjective whether it can still meet its latency objective
     */
    void onWaiting(String adapter, long version, boolean withinObjective) {
        if (!mNeeds.isAwaited(adapter)) {
            mOpenAdapterSlots--;
        }
        mNeeds.onWaiting(adapter, version, withinObjective);
    }

    /**
     * Applies a newer registration. For a new incarnation, discards the cached prompts, loads in
     * progress and adapters of the former one.
     */
    void onRegistration(TargetRecord record, IncarnationNotices.Held notices) {
        mNotices = notices;
        boolean sameIncarnation = mRecord.isSameIncarnation(record);
        mRecord = record;
        if (!sameIncarnation) {
            mRankHashes.clear();
            mPromptCache.clear();
            mLoading.clear();
            mRecentlyHeld.clear();
            mBacklog.reset();
            mHasReport = false;
        }
        if (!mHasReport) {
            mAdapters.clear();
            mAdapters.putAll(record.adapters());
        }
    }

    /** Records when the registration first says that the target drains. */
    void onRegistrationRead(long nowNanos) {
        if (!mRecord.draining()) {
            mDrainingSinceNanos = Long.MIN_VALUE;
        } else if (mDrainingSinceNanos == Long.MIN_VALUE) {
            mDrainingSinceNanos = nowNanos;
        }
    }

    /** Applies a report of the target's loader; returns whether adapters have changed. */
    boolean onReport(TargetReport report, long nowNanos) {
        if (report.sequence() <= mReportSequence) {
            return false;
        }
        mReportSequence = report.sequence();
        mHasReport = true;
        onLoad(new TargetLoad(report.running(), report.queued(), report.concurrency()), nowNanos);
        Map<String, Long> resident = versions(report.resident());
        Set<String> loading = versions(report.loading()).keySet();
        boolean changed = !resident.equals(mAdapters) || !loading.equals(mLoading);
        mAdapters.clear();
        mAdapters.putAll(resident);
        mRecentlyHeld.addAll(resident.keySet());
        mLoading.clear();
        mLoading.addAll(loading);
        return changed;
    }

    /**
     * Handles the start of an attempt.
     *
     * @param adapter adapter of the request, empty for none
     * @param promptTokens prompt tokens that the target has not cached
     */
    void onSent(String adapter, long promptTokens) {
        if (!adapter.isEmpty()) {
            mNeeds.onRequestSent(adapter);
        }
        mOutstanding++;
        mSentSinceReport++;
        mUnstartedRequests++;
        mPrefillTokens += promptTokens;
    }

    /**
     * Handles the start of a response, which ends the prefill.
     *
     * @param promptTokens prompt tokens given to {@link #onSent}
     */
    void onStarted(long promptTokens) {
        mUnstartedRequests = Math.max(0, mUnstartedRequests - 1);
        mPrefillTokens = Math.max(0, mPrefillTokens - promptTokens);
    }

    Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("address", mRecord.address());
        dump.put("service", mRecord.service());
        Optional<Ineligibility> why = ineligibility(RegionScope.UNRESTRICTED, nowNanos);
        dump.put("unavailability", why.map(it -> it.reason().name()).orElse("NONE"));
        why.ifPresent(it -> dump.put("ineligibility", it.dump(nowNanos)));
        dump.put("load", load(nowNanos));
        dump.put("prefillTokens", mPrefillTokens);
        dump.put("othersPrefillTokens", mBacklog.othersTokens().orElse(-1));
        dump.put("loaderUp", mLoaderUp);
        dump.put("adapters", Map.copyOf(mAdapters));
        dump.put("loading", List.copyOf(mLoading));
        if (isLimited(nowNanos)) {
            dump.put(mLimit.isCold(nowNanos) ? "cold" : "limit", mLimit.dump(nowNanos));
        }
        return dump;
    }

    private Optional<Ineligibility> because(
            Reason reason, long sinceNanos, OptionalLong untilNanos, Source source, long nowNanos) {
        long ageMillis = mSourceAge.millis(source, sinceNanos, nowNanos);
        return Optional.of(new Ineligibility(reason, sinceNanos, untilNanos, source, ageMillis));
    }

    private static Map<String, Long> versions(List<AdapterVersion> versions) {
        Map<String, Long> byName = new HashMap<>();
        for (AdapterVersion version : versions) {
            byName.put(version.adapter(), VersionNumbers.parse(version));
        }
        return byName;
    }

    /** The most recently used adapter names. */
    private static final class RecentNames extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1L;

        /** Number of adapters of which a replica keeps copies that load fast. */
        private static final int MAX_NAMES = 40;

        RecentNames() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_NAMES;
        }
    }
}
