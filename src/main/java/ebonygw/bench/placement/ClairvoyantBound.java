package ebonygw.bench.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A lower bound of the number of stalls: the misses of Belady's algorithm, which knows all future
 * requests and evicts the adapter whose next use is latest. It pools the slots of all engines,
 * keeps one copy of each adapter and assumes that loads take no time.
 */
final class ClairvoyantBound {
    private ClairvoyantBound() {}

    /**
     * Counts the requests whose adapter is not loaded when they arrive.
     *
     * @param arrivals the requests, ordered by time; those to a plain service are ignored
     * @param slots number of slots of all engines together
     * @param countFromNanos time from which misses are counted; earlier arrivals only warm up
     */
    static long misses(List<Arrival> arrivals, int slots, long countFromNanos) {
        int[] adapters = new int[arrivals.size()];
        int[] nextUse = new int[arrivals.size()];
        Map<Integer, Integer> next = new HashMap<>();
        Arrays.setAll(adapters, i -> arrivals.get(i).adapter());
        for (int i = adapters.length - 1; i >= 0; i--) {
            Integer use = next.put(adapters[i], i);
            // An adapter without a further use gets a distinct value above all indices.
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
