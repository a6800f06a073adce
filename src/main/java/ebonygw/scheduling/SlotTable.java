package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The adapter slots of an engine: which versions are resident, loading or unloading, and their use.
 *
 * <p>Not thread-safe.
 */
final class SlotTable {
    private final Map<AdapterVersion, Slot> mSlots = new LinkedHashMap<>();
    private int mCapacity;

    List<AdapterVersion> adaptersIn(State state) {
        List<AdapterVersion> adapters = new ArrayList<>();
        for (Slot slot : mSlots.values()) {
            if (slot.mState == state) {
                adapters.add(slot.mAdapter);
            }
        }
        return adapters;
    }

    int capacity() {
        return mCapacity;
    }

    /** Returns the free slots, negative if more versions are in slots than the capacity. */
    int freeSlots() {
        return mCapacity - mSlots.size();
    }

    /** Returns the slot of a version, null if it is in none. */
    Slot get(AdapterVersion adapter) {
        return mSlots.get(adapter);
    }

    boolean isResident(AdapterVersion adapter) {
        Slot slot = mSlots.get(adapter);
        return slot != null && slot.mState == State.RESIDENT;
    }

    /** Puts an adapter version into a slot, or changes the state of its slot. */
    Slot put(AdapterVersion adapter, State state, long nowNanos) {
        Slot slot = mSlots.computeIfAbsent(adapter, Slot::new);
        slot.mState = state;
        slot.mSinceNanos = nowNanos;
        return slot;
    }

    void remove(AdapterVersion adapter) {
        mSlots.remove(adapter);
    }

    void resize(int capacity) {
        mCapacity = capacity;
    }

    /**
     * Clears all slots except those that are loading, whose result is still to be reported, and
     * clears all reservations; used after a restart of the engine.
     */
    void retainLoading() {
        mSlots.values().removeIf(slot -> slot.mState != State.LOADING);
        mSlots.values().forEach(slot -> slot.mReservations = 0);
    }

    Collection<Slot> slots() {
        return mSlots.values();
    }

    /** State of a slot. */
    enum State {
        LOADING,
        RESIDENT,
        UNLOADING
    }

    /** A slot that holds an adapter version. */
    static final class Slot {
        final AdapterVersion mAdapter;
        State mState;

        /** When the state was set. */
        long mSinceNanos;

        /** Running work on the version. */
        int mRunning;

        /** Queued work that holds a reservation of this slot. */
        int mReservations;

        /** Queued work on the version. */
        int mWaiting;

        /** Consecutive engine reports without the version. */
        int mMissedReports;

        Slot(AdapterVersion adapter) {
            mAdapter = adapter;
        }

        boolean isEvictable() {
            return mState == State.RESIDENT && mRunning == 0 && mReservations == 0;
        }
    }
}
