package ebonygw.overload;

import ebonygw.scheduling.FairQueue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The held requests of one service in the order of their release: the most urgent priority first,
 * with a guaranteed share for the others; within a priority fair over customers; within a customer
 * the earliest deadline first.
 *
 * <p>Not thread-safe.
 */
final class ServiceQueue {
    /**
     * Share of the releases that each less urgent priority with held requests gets at least. Large
     * enough for a priority with a tenth of the requests, small enough to leave the most urgent one
     * most of the capacity.
     */
    static final double GUARANTEED_SHARE = 0.1;

    /** Maximum sum of the guaranteed shares, so that the most urgent priority keeps the rest. */
    private static final double MAX_GUARANTEED_SHARES = 0.5;

    private static final Comparator<HeldRequest> ORDER =
            Comparator.comparingLong(HeldRequest::deadlineNanos)
                    .thenComparingLong(HeldRequest::exchange);

    /** Weight of each customer; the configuration has none. */
    private static final double WEIGHT = 1;

    private final TreeMap<Integer, Priority> mPriorities = new TreeMap<>();
    private int mSize;
    private long mBytes;

    void add(HeldRequest request) {
        Priority priority = mPriorities.computeIfAbsent(request.priority(), p -> new Priority());
        priority.mQueue.add(request, WEIGHT);
        priority.mCounts.merge(request.customer(), 1, Integer::sum);
        mSize++;
        mBytes += request.bytes();
    }

    /** Returns the size of all held bodies. */
    long bytes() {
        return mBytes;
    }

    /** Returns the request that is released next, empty if none is held. */
    Optional<HeldRequest> first() {
        Map<Integer, Double> credits = credits();
        return mSize == 0
                ? Optional.empty()
                : mPriorities.get(next(credits, this::hasRequests)).mQueue.first();
    }

    /**
     * Returns the held requests that pass a filter, in the order in which they would be released if
     * no others were held.
     */
    List<HeldRequest> inOrder(Predicate<HeldRequest> filter) {
        Map<Integer, Double> credits = new HashMap<>();
        Map<Integer, List<HeldRequest>> requests = new TreeMap<>();
        Map<Integer, Integer> positions = new HashMap<>();
        mPriorities.forEach(
                (priority, state) -> {
                    List<HeldRequest> passed = state.mQueue.inOrder(filter);
                    if (!passed.isEmpty()) {
                        requests.put(priority, passed);
                        credits.put(priority, state.mCredit);
                        positions.put(priority, 0);
                    }
                });
        Predicate<Integer> remains =
                priority ->
                        requests.containsKey(priority)
                                && positions.get(priority) < requests.get(priority).size();
        List<HeldRequest> ordered = new ArrayList<>();
        Integer priority = next(credits, remains);
        while (priority != null) {
            ordered.add(requests.get(priority).get(positions.get(priority)));
            updateCredits(credits, priority, remains);
            positions.merge(priority, 1, Integer::sum);
            priority = next(credits, remains);
        }
        return ordered;
    }

    /** Returns the customer's least urgent request, that with the latest deadline. */
    HeldRequest last(String customer) {
        for (Priority priority : mPriorities.descendingMap().values()) {
            for (FairQueue.Flow<HeldRequest> flow : priority.mQueue.waitingFlowsInOrder()) {
                if (flow.customer().equals(customer)) {
                    return flow.last();
                }
            }
        }
        throw new IllegalArgumentException("no request of " + customer);
    }

    /** Returns the customer with the most held work relative to its weight. */
    String mostBacklogged() {
        Map<String, Double> backlogs = new TreeMap<>();
        for (Priority priority : mPriorities.values()) {
            for (FairQueue.Flow<HeldRequest> flow : priority.mQueue.waitingFlowsInOrder()) {
                backlogs.merge(flow.customer(), flow.backlog(), Double::sum);
            }
        }
        return backlogs.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    /** Removes a request that is sent to a target, and charges its work to its customer. */
    void release(HeldRequest request) {
        Map<Integer, Double> credits = credits();
        updateCredits(credits, request.priority(), this::hasRequests);
        credits.forEach((priority, credit) -> mPriorities.get(priority).mCredit = credit);
        mPriorities.get(request.priority()).mQueue.start(request);
        onRemoved(request);
    }

    /** Removes a request that is not sent. */
    void remove(HeldRequest request) {
        mPriorities.get(request.priority()).mQueue.remove(request);
        onRemoved(request);
    }

    /**
     * Returns the number of requests that would be released before one that is not held yet. It is
     * at most what the guaranteed share of its priority lets pass before it. Requests are counted
     * rather than tokens: what most of them wait for is the load of an adapter, which takes the
     * same time for a long prompt.
     */
    double requestsAhead(HeldRequest request) {
        int moreUrgent = 0;
        for (Priority priority : mPriorities.headMap(request.priority()).values()) {
            moreUrgent += priority.mQueue.size();
        }
        Priority own = mPriorities.get(request.priority());
        int ahead = 0;
        if (own != null) {
            int ofCustomer = own.mCounts.getOrDefault(request.customer(), 0);
            int others = own.mCounts.size() - (ofCustomer > 0 ? 1 : 0);
            ahead = Math.min(own.mQueue.size(), ofCustomer * (others + 1) + others);
        }
        return Math.min(moreUrgent + ahead, (ahead + 1) / GUARANTEED_SHARE);
    }

    int size() {
        return mSize;
    }

    private Map<Integer, Double> credits() {
        Map<Integer, Double> credits = new HashMap<>();
        mPriorities.forEach((priority, state) -> credits.put(priority, state.mCredit));
        return credits;
    }

    private boolean hasRequests(int priority) {
        return mPriorities.get(priority).mQueue.size() > 0;
    }

    /** Returns the priority that is served next, null if no request remains. */
    private Integer next(Map<Integer, Double> credits, Predicate<Integer> remains) {
        Integer next = null;
        double highest = 0;
        for (Integer priority : mPriorities.keySet()) {
            if (remains.test(priority)) {
                double credit = credits.get(priority);
                boolean due = next != null && credit >= 1 && credit > highest;
                highest = due ? credit : highest;
                next = next == null || due ? priority : next;
            }
        }
        return next;
    }

    private void onRemoved(HeldRequest request) {
        mSize--;
        mBytes -= request.bytes();
        Priority priority = mPriorities.get(request.priority());
        priority.mCounts.computeIfPresent(
                request.customer(), (customer, count) -> count > 1 ? count - 1 : null);
        if (priority.mQueue.size() == 0) {
            priority.mCredit = 0;
        }
    }

    /** Gives each less urgent priority with requests its share of a release. */
    private void updateCredits(
            Map<Integer, Double> credits, int released, Predicate<Integer> remains) {
        List<Integer> waiting = mPriorities.keySet().stream().filter(remains).toList();
        if (waiting.size() < 2) {
            return;
        }
        int lessUrgent = waiting.size() - 1;
        double share = Math.min(GUARANTEED_SHARE, MAX_GUARANTEED_SHARES / lessUrgent);
        for (Integer priority : waiting.subList(1, waiting.size())) {
            credits.merge(priority, share, Double::sum);
        }
        credits.computeIfPresent(released, (p, credit) -> Math.max(0, credit - 1));
    }

    /** The held requests of one priority. */
    private static final class Priority {
        private final FairQueue<HeldRequest> mQueue = new FairQueue<>(ORDER);

        /** Number of held requests by customer, without those that have none. */
        private final Map<String, Integer> mCounts = new HashMap<>();

        /** Releases that its guaranteed share has earned and not used. */
        private double mCredit;
    }
}
