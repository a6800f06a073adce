package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import ebonygw.scheduling.SlotTable.Slot;
import ebonygw.scheduling.SlotTable.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reconciles a slot table with the residency that the engine reports.
 *
 * <p>A report may be older than the last load or unload ordered, so a difference is applied only
 * once {@code REPORTS_TO_CONFIRM} consecutive reports show it. A version that requests run on is
 * not removed, and a reported version that is loading or unloading is left to its order. The first
 * report after a start of this process or of the engine adds what it lists at once. Not
 * thread-safe.
 */
final class ResidencyReconciler {
    private static final int REPORTS_TO_CONFIRM = 3;

    private final Map<AdapterVersion, Integer> mUnconfirmed = new HashMap<>();
    private boolean mTrustNextReport = true;

    /** Applies a report to the table. */
    void onReport(SlotTable slots, List<AdapterVersion> resident, long nowNanos) {
        Set<AdapterVersion> reported = new HashSet<>(resident);
        dropMissing(slots, reported);
        adoptUnknown(slots, reported, nowNanos);
        mTrustNextReport = false;
    }

    /** Makes the versions of the next report be added at once, as after a restart of the engine. */
    void reset() {
        mUnconfirmed.clear();
        mTrustNextReport = true;
    }

    private void adoptUnknown(SlotTable slots, Set<AdapterVersion> reported, long nowNanos) {
        mUnconfirmed.keySet().retainAll(reported);
        for (AdapterVersion adapter : reported) {
            if (slots.get(adapter) != null) {
                mUnconfirmed.remove(adapter);
                continue;
            }
            if (mTrustNextReport
                    || mUnconfirmed.merge(adapter, 1, Integer::sum) >= REPORTS_TO_CONFIRM) {
                slots.put(adapter, State.RESIDENT, nowNanos);
                mUnconfirmed.remove(adapter);
            }
        }
    }

    private static void dropMissing(SlotTable slots, Set<AdapterVersion> reported) {
        List<Slot> missing = new ArrayList<>();
        for (Slot slot : slots.slots()) {
            if (slot.mState != State.RESIDENT || reported.contains(slot.mAdapter)) {
                slot.mMissedReports = 0;
            } else if (++slot.mMissedReports >= REPORTS_TO_CONFIRM && slot.mRunning == 0) {
                missing.add(slot);
            }
        }
        missing.forEach(slot -> slots.remove(slot.mAdapter));
    }
}
