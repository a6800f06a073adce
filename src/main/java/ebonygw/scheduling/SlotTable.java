package ebonygw.scheduling;

import ebonygw.request.AdapterVersion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The adapter slots of an engine: what is resident, loading or being unloaded, and what uses it.
 *
 * <p>Not thread-safe.
 */
final class SlotTable {
    private final Map<AdapterVersion, Slot> mSlots = new LinkedHashMap<>();
    private int mCapacity;

    int capacity() {
        return mCapacity;
    }

    /** Forgets all but the loads whose end is still to come, as after a restart of the engine. */
    void clearLoaded() {
        mSlots.values().removeIf(slot -> slot.mState != State.LOADING);
        mSlots.values().forEach(slot -> slot.mPromised = 0);
    }

    int free() {
        return mCapacity - mSlots.size();
    }

    Slot get(AdapterVersion adapter) {
        return mSlots.get(adapter);
    }

    List<AdapterVersion> in(State state) {
        List<AdapterVersion> adapters = new ArrayList<>();
        for (Slot slot : mSlots.values()) {
            if (slot.mState == state) {
                adapters.add(slot.mAdapter);
            }
        }
        return adapters;
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

    Collection<Slot> slots() {
        return mSlots.values();
    }

    /** What happens with a slot. */
    enum State {
        LOADING,
        RESIDENT,
        UNLOADING
    }

    /** One slot in use by an adapter version. */
    static final class Slot {
        final AdapterVersion mAdapter;
        State mState;
        long mSinceNanos;
        int mRunning;
        int mPromised;
        int mWaiting;
        int mMissedReports;

        Slot(AdapterVersion adapter) {
            mAdapter = adapter;
        }

        boolean evictable() {
            return mState == State.RESIDENT && mRunning == 0 && mPromised == 0;
        }
    }
}
