package ebonygw.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks which adapters an entry's requests wait for and use at one target, and decides when to
 * report that to the loader of the target.
 *
 * <p>A change is reported without delay when an adapter gets its first request or loses its last
 * one. Otherwise the loader might evict an adapter that a request in transmission needs, or leave a
 * slot idle while other adapters wait for one. Not thread-safe.
 */
final class TargetNeeds {
    /** Minimum interval between two messages: a few ticks of the control thread. */
    private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Interval of messages that report only further requests for adapters in use. */
    private static final long USAGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Map<String, Need> mNeeds = new HashMap<>();
    private boolean mChanged;
    private boolean mRequestsSent;
    private long mMessageSentNanos;

    /**
     * Returns the needs if a message to the loader is due, and marks them as sent.
     *
     * @return all needs, which replace those of the last message; empty if no message is due
     */
    Optional<List<GatewayMessage.AdapterNeed>> drainIfDue(long nowNanos) {
        long since = nowNanos - mMessageSentNanos;
        boolean due =
                mChanged && since >= MIN_INTERVAL_NANOS
                        || mRequestsSent && since >= USAGE_INTERVAL_NANOS;
        if (!due) {
            return Optional.empty();
        }
        mChanged = false;
        mRequestsSent = false;
        mMessageSentNanos = nowNanos;
        List<GatewayMessage.AdapterNeed> needs = new ArrayList<>();
        mNeeds.forEach(
                (adapter, need) -> {
                    needs.add(
                            new GatewayMessage.AdapterNeed(
                                    adapter,
                                    need.mMinVersion,
                                    need.mWaiting,
                                    need.mWithinObjective,
                                    need.mRunning,
                                    need.mSent,
                                    need.urgency(nowNanos)));
                    need.mSent = 0;
                });
        mNeeds.values().removeIf(need -> need.mWaiting == 0 && need.mRunning == 0);
        return Optional.of(needs);
    }

    /** Adds a request, registered by {@link #onWaiting}, to those whose urgency is reported. */
    void addWaiting(PendingRequest pending) {
        mNeeds.get(pending.mRequest.adapter()).mRequests.add(pending);
    }

    /** Removes a request from those whose urgency is reported. */
    void removeWaiting(PendingRequest pending) {
        Need need = mNeeds.get(pending.mRequest.adapter());
        if (need != null) {
            need.mRequests.remove(pending);
        }
    }

    /** Returns whether any request waits for an adapter. */
    boolean isAwaited(String adapter) {
        Need need = mNeeds.get(adapter);
        return need != null && need.mWaiting > 0;
    }

    /** Marks the needs as changed, so that they are sent again, as to a newly connected loader. */
    void markChanged() {
        mChanged = true;
    }

    /** Handles that a waiting request can no longer meet its latency objective. */
    void onObjectiveMissed(String adapter) {
        Need need = mNeeds.get(adapter);
        if (need != null && need.mWithinObjective > 0) {
            need.mWithinObjective--;
            mChanged = true;
        }
    }

    /** Handles the end of a request that was sent. */
    void onRequestEnded(String adapter) {
        Need need = mNeeds.get(adapter);
        if (need != null && need.mRunning > 0) {
            need.mRunning--;
            mChanged |= need.mRunning == 0;
        }
    }

    /** Handles that a request was sent. */
    void onRequestSent(String adapter) {
        Need need = mNeeds.computeIfAbsent(adapter, a -> new Need());
        mChanged |= need.mRunning == 0;
        need.mRunning++;
        need.mSent++;
        mRequestsSent = true;
    }

    /**
     * Registers that a request waits for an adapter.
     *
     * @param version minimum version that it may run on, 0 for any
     * @param withinObjective whether it can still meet its latency objective
     */
    void onWaiting(String adapter, long version, boolean withinObjective) {
        Need need = mNeeds.computeIfAbsent(adapter, a -> new Need());
        need.mWaiting++;
        need.mWithinObjective += withinObjective ? 1 : 0;
        need.mMinVersion = Math.max(need.mMinVersion, version);
        mChanged = true;
    }

    /**
     * Handles that a request waits no longer.
     *
     * @param withinObjective whether it was last registered as able to meet its latency objective
     */
    void onWaitingEnded(String adapter, boolean withinObjective) {
        Need need = mNeeds.get(adapter);
        if (need != null && need.mWaiting > 0) {
            need.mWaiting--;
            need.mWithinObjective -= withinObjective && need.mWithinObjective > 0 ? 1 : 0;
            mChanged = true;
        }
    }

    private static final class Need {
        private final Set<PendingRequest> mRequests = new LinkedHashSet<>();
        private long mMinVersion;
        private int mWaiting;
        private int mWithinObjective;
        private int mRunning;
        private int mSent;

        private Optional<GatewayMessage.Urgency> urgency(long nowNanos) {
            return mRequests.stream()
                    .min(
                            Comparator.comparingInt((PendingRequest it) -> it.mPriority)
                                    .thenComparingLong(it -> it.remainingNanos(nowNanos)))
                    .map(
                            it ->
                                    new GatewayMessage.Urgency(
                                            it.mPriority,
                                            it.remainingNanos(nowNanos) / 1_000_000,
                                            it.mCustomer));
        }
    }
}
