package ebonygw.gateway;

import ebonygw.membership.MemberMessage.TargetReport;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.routing.RouterOptions;
import ebonygw.routing.TargetHealth;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** What an entry knows of one target. Not thread-safe. */
final class GatewayTarget {
    /** After how long a load told by a target says no more than our own count of attempts. */
    private static final long LOAD_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** How long an adapter that the target said to lack is taken as absent despite reports. */
    private static final long ABSENT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Open places of a target whose loader has not told them: enough for one adapter. */
    private static final int UNTOLD_PLACES = 1;

    final TargetHealth mHealth;
    private final PromptMemory mPrompts = new PromptMemory();
    private final Map<String, Long> mAbsentUntil = new HashMap<>();
    private final Set<String> mLoading = new HashSet<>();
    private final Map<String, Long> mAdapters = new HashMap<>();
    private final Set<String> mHeld = Collections.newSetFromMap(new RecentNames());
    private final TargetNeeds mNeeds = new TargetNeeds();
    private TargetRecord mRecord;
    private NodeId mLoader;
    private boolean mLoaderUp;
    private int mOpenPlaces = UNTOLD_PLACES;
    private boolean mReported;
    private long mReportSequence = -1;
    private int mOutstanding;
    private int mUnstarted;
    private long mUnstartedTokens;
    private int mToldUnstarted;
    private int mToldLoad;
    private int mToldSlots;
    private long mToldNanos = Long.MIN_VALUE;
    private int mSentSinceTold;
    private int mEndedSinceTold;
    private long mAvoidUntilNanos = Long.MIN_VALUE;

    GatewayTarget(TargetRecord record, RouterOptions options) {
        mHealth = new TargetHealth(options);
        mRecord = record;
        mAdapters.putAll(record.adapters());
    }

    /** Returns the resident version of an adapter, 0 if it is not resident. */
    long adapterVersion(String adapter, long nowNanos) {
        Long absentUntil = mAbsentUntil.get(adapter);
        if (absentUntil != null && nowNanos < absentUntil) {
            return 0;
        }
        return mAdapters.getOrDefault(adapter, 0L);
    }

    boolean isLoading(String adapter) {
        return mLoading.contains(adapter);
    }

    /** Returns whether the target held an adapter of late, so that it loads fast. */
    boolean heldOfLate(String adapter) {
        return mHeld.contains(adapter);
    }

    /** Returns whether the target takes new work. */
    boolean isUsable(long nowNanos) {
        return !mRecord.draining() && !mHealth.isEjected(nowNanos) && nowNanos >= mAvoidUntilNanos;
    }

    /** Returns the requests there: what it told last, corrected by our own attempts since. */
    int load(long nowNanos) {
        if (mToldNanos == Long.MIN_VALUE || nowNanos - mToldNanos > LOAD_AGE_NANOS) {
            return mOutstanding;
        }
        return Math.max(mOutstanding, mToldLoad + mSentSinceTold - mEndedSinceTold);
    }

    NodeId loader() {
        return mLoader;
    }

    boolean loaderUp() {
        return mLoaderUp;
    }

    int loads() {
        return mLoading.size();
    }

    TargetNeeds needs() {
        return mNeeds;
    }

    /** Returns how many more adapters there are places for, below 0 if some wait for one. */
    int openPlaces() {
        return mOpenPlaces;
    }

    PromptMemory prompts() {
        return mPrompts;
    }

    TargetRecord record() {
        return mRecord;
    }

    int slots() {
        return Math.max(1, mToldSlots > 0 ? mToldSlots : mRecord.slots());
    }

    /**
     * Returns prompt tokens that have to be read before those of a new attempt: our own and, by
     * their told number, those of other entries.
     *
     * @param tokensOfOthers tokens that a request of another entry has to have read on average
     */
    long unstartedTokens(long tokensOfOthers, long nowNanos) {
        boolean told = mToldNanos != Long.MIN_VALUE && nowNanos - mToldNanos <= LOAD_AGE_NANOS;
        int others = told ? Math.max(0, mToldUnstarted - mUnstarted) : 0;
        return mUnstartedTokens + others * tokensOfOthers;
    }

    void avoidUntil(long nanos) {
        mAvoidUntilNanos = Math.max(mAvoidUntilNanos, nanos);
    }

    void loader(NodeId loader) {
        mLoader = loader;
    }

    /** Notes that the target said to lack an adapter, or to hold another version of it. */
    void onAbsent(String adapter, long nowNanos) {
        mAbsentUntil.put(adapter, nowNanos + ABSENT_NANOS);
    }

    void onEnded(String adapter, boolean started, long unstartedTokens) {
        mNeeds.ended(adapter);
        mOutstanding = Math.max(0, mOutstanding - 1);
        mEndedSinceTold++;
        if (!started) {
            onStarted(unstartedTokens);
        }
    }

    void onLoaderDown() {
        mLoaderUp = false;
        mReported = false;
        mReportSequence = -1;
        mOpenPlaces = UNTOLD_PLACES;
        mLoading.clear();
    }

    void onLoaderUp() {
        onLoaderDown();
        mLoaderUp = true;
        mNeeds.tellAgain();
    }

    /** Takes in what the target told with an answer. */
    void onLoad(TargetLoad load, long nowNanos) {
        mToldLoad = load.running() + load.queued();
        mToldSlots = load.slots();
        mToldUnstarted = load.queued();
        mToldNanos = nowNanos;
        mSentSinceTold = 0;
        mEndedSinceTold = 0;
    }

    /** Takes in a load told by the target's loader since its last report. */
    void onLoad(TargetLoad load, long sequence, long nowNanos) {
        if (mReported && sequence > mReportSequence) {
            mReportSequence = sequence;
            onLoad(load, nowNanos);
        }
    }

    /** Takes in how many more adapters the target has places for. */
    void onOpenPlaces(int count) {
        mOpenPlaces = count;
    }

    /**
     * Notes that a request waits for an adapter.
     *
     * @param version least version that it may run on, 0 for any
     * @param punctual whether it can still start within its latency objective
     */
    void onWaiting(String adapter, long version, boolean punctual) {
        if (!mNeeds.isAwaited(adapter)) {
            mOpenPlaces--;
        }
        mNeeds.waiting(adapter, version, punctual);
    }

    /** Takes over a newer registration; a new start holds nothing of before. */
    void onRecord(TargetRecord record) {
        boolean same = mRecord.sameStart(record);
        mRecord = record;
        if (!same) {
            mPrompts.clear();
            mLoading.clear();
            mHeld.clear();
            mReported = false;
        }
        if (!mReported) {
            mAdapters.clear();
            mAdapters.putAll(record.adapters());
        }
    }

    /** Takes in a report of the target's loader; returns whether residency has changed. */
    boolean onReport(TargetReport report, long nowNanos) {
        if (report.sequence() <= mReportSequence) {
            return false;
        }
        mReportSequence = report.sequence();
        mReported = true;
        onLoad(new TargetLoad(report.running(), report.queued(), report.concurrency()), nowNanos);
        Map<String, Long> resident = versions(report.resident());
        Set<String> loading = versions(report.loading()).keySet();
        boolean changed = !resident.equals(mAdapters) || !loading.equals(mLoading);
        mAdapters.clear();
        mAdapters.putAll(resident);
        mHeld.addAll(resident.keySet());
        mLoading.clear();
        mLoading.addAll(loading);
        return changed;
    }

    void onSent(String adapter, long promptTokens) {
        if (!adapter.isEmpty()) {
            mNeeds.sent(adapter);
        }
        mOutstanding++;
        mSentSinceTold++;
        mUnstarted++;
        mUnstartedTokens += promptTokens;
    }

    void onStarted(long promptTokens) {
        mUnstarted = Math.max(0, mUnstarted - 1);
        mUnstartedTokens = Math.max(0, mUnstartedTokens - promptTokens);
    }

    Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("address", mRecord.address());
        dump.put("service", mRecord.service());
        dump.put("draining", mRecord.draining());
        dump.put("load", load(nowNanos));
        dump.put("ejected", mHealth.isEjected(nowNanos));
        dump.put("loaderUp", mLoaderUp);
        dump.put("adapters", Map.copyOf(mAdapters));
        dump.put("loading", List.copyOf(mLoading));
        return dump;
    }

    private static Map<String, Long> versions(List<AdapterVersion> versions) {
        Map<String, Long> byName = new HashMap<>();
        for (AdapterVersion version : versions) {
            byName.put(version.adapter(), VersionNumbers.parse(version));
        }
        return byName;
    }

    /** The names put last, as many as a replica keeps copies of. */
    private static final class RecentNames extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1L;
        private static final int MOST = 40;

        RecentNames() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST;
        }
    }
}
