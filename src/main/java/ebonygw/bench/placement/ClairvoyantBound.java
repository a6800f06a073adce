package ebonygw.bench.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The fewest loads for a sequence of requests, knowing the future: Belady's choice over all slots
 * pooled, with one copy of each adapter and loads that take no time.
 */
final class ClairvoyantBound {
    private ClairvoyantBound() {}

    /**
     * Counts the requests that find their adapter absent.
     *
     * @param arrivals the requests in order of time; those of the plain service are left out
     * @param slots slots of all engines together
     * @param countFromNanos time from which they count
     */
    static long misses(List<Arrival> arrivals, int slots, long countFromNanos) {
        int[] adapters = new int[arrivals.size()];
        int[] nextUse = new int[arrivals.size()];
        Map<Integer, Integer> next = new HashMap<>();
        Arrays.setAll(adapters, i -> arrivals.get(i).adapter());
        for (int i = adapters.length - 1; i >= 0; i--) {
            Integer use = next.put(adapters[i], i);
            nextUse[i] = use == null ? adapters.length + i : use;
        }
        TreeMap<Integer, Integer> byNextUse = new TreeMap<>();
        Map<Integer, Integer> resident = new HashMap<>();
        long misses = 0;
        for (int i = 0; i < adapters.length; i++) {
            if (adapters[i] < 0) {
                continue;
            }
            Integer use = resident.put(adapters[i], nextUse[i]);
            if (use != null) {
                byNextUse.remove(use);
            } else {
                misses += arrivals.get(i).atNanos() >= countFromNanos ? 1 : 0;
                if (resident.size() > slots) {
                    resident.remove(byNextUse.pollLastEntry().getValue());
                }
            }
            byNextUse.put(nextUse[i], adapters[i]);
        }
        return misses;
    }
}
