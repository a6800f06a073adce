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
 * Corrects a slot table by what the engine reports late.
 *
 * <p>A single report may be older than our last order, so only what several reports in a row say is
 * believed; the first report after a start of either side is believed at once. Not thread-safe.
 */
final class ResidencyView {
    private static final int REPORTS_TO_BELIEVE = 3;

    private final Map<AdapterVersion, Integer> mUnknown = new HashMap<>();
    private boolean mFirst = true;

    /** Corrects the table by a report. */
    void onReport(SlotTable slots, List<AdapterVersion> resident, long nowNanos) {
        Set<AdapterVersion> reported = new HashSet<>(resident);
        dropMissing(slots, reported);
        adoptUnknown(slots, reported, nowNanos);
        mFirst = false;
    }

    /** Makes the next report be believed at once. */
    void reset() {
        mUnknown.clear();
        mFirst = true;
    }

    private void adoptUnknown(SlotTable slots, Set<AdapterVersion> reported, long nowNanos) {
        mUnknown.keySet().retainAll(reported);
        for (AdapterVersion adapter : reported) {
            if (slots.get(adapter) != null) {
                mUnknown.remove(adapter);
                continue;
            }
            if (mFirst || mUnknown.merge(adapter, 1, Integer::sum) >= REPORTS_TO_BELIEVE) {
                slots.put(adapter, State.RESIDENT, nowNanos);
                mUnknown.remove(adapter);
            }
        }
    }

    private static void dropMissing(SlotTable slots, Set<AdapterVersion> reported) {
        List<Slot> lost = new ArrayList<>();
        for (Slot slot : slots.slots()) {
            if (slot.mState != State.RESIDENT || reported.contains(slot.mAdapter)) {
                slot.mMissedReports = 0;
            } else if (++slot.mMissedReports >= REPORTS_TO_BELIEVE && slot.mRunning == 0) {
                lost.add(slot);
            }
        }
        lost.forEach(slot -> slots.remove(slot.mAdapter));
    }
}
