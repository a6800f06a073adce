package ebonygw.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The requests that an entry holds, their order, and what is predicted and bounded about them.
 *
 * <p>Deterministic for a seed. Not thread-safe.
 */
public final class LoadShedder {
    /** Maximum number of held requests, by the specification. */
    static final int MAX_REQUESTS = 10_000;

    /** Maximum size of all held bodies; small beside the heap of the smallest entry. */
    static final long MAX_BYTES = 64L << 20;

    /** Minimum delay of a retry: a few ticks and a round trip between data centres. */
    private static final long MIN_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Fraction of a caller's remaining time that a retry delay takes at most. */
    private static final int MAX_RETRY_DIVISOR = 3;

    /** Maximum random addition to a retry delay, as a fraction of it. */
    private static final double RETRY_SPREAD = 0.5;

    private final SplittableRandom mRandom;
    private final Map<Long, HeldRequest> mHeld = new HashMap<>();
    private final Map<String, ServiceQueue> mQueues = new TreeMap<>();
    private final Map<String, DrainRate> mDrainRates = new TreeMap<>();
    private final Map<String, ConcurrencyWindow> mWindows = new TreeMap<>();
    private long mBytes;

    /** Creates a shedder that holds nothing. */
    public LoadShedder(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /** Returns the state as maps, strings and numbers for JSON. */
    public Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new TreeMap<>();
        dump.put("held", mHeld.size());
        dump.put("heldBytes", mBytes);
        Map<String, Object> held = new TreeMap<>();
        mQueues.forEach((service, queue) -> held.put(service, queue.size()));
        dump.put("heldByService", held);
        Map<String, Object> drained = new TreeMap<>();
        mDrainRates.forEach((name, rate) -> drained.put(name, rate.perSecond(nowNanos)));
        dump.put("drainPerSecond", drained);
        Map<String, Object> windows = new TreeMap<>();
        mWindows.forEach((target, window) -> windows.put(target, window.size()));
        dump.put("windows", windows);
        return dump;
    }

    /** Returns the next request of a service, empty if it has none. */
    public Optional<HeldRequest> first(String service) {
        ServiceQueue queue = mQueues.get(service);
        return queue == null ? Optional.empty() : queue.first();
    }

    /**
     * Returns whether a plain target has room for one more request.
     *
     * @param outstanding requests that this entry has outstanding there
     * @param load estimated number of requests that run or wait there
     */
    public boolean hasRoom(String target, int slots, int outstanding, int load) {
        return window(target, slots).hasRoom(outstanding, load);
    }

    /** Holds a request; does nothing if it is held already. */
    public void hold(HeldRequest request) {
        if (mHeld.putIfAbsent(request.exchange(), request) == null) {
            mQueues.computeIfAbsent(request.service(), s -> new ServiceQueue()).add(request);
            mBytes += request.bytes();
        }
    }

    /** Returns the held requests that pass a filter, those of each service in their order. */
    public List<HeldRequest> inOrder(Predicate<HeldRequest> filter) {
        List<HeldRequest> ordered = new ArrayList<>();
        mQueues.values().forEach(queue -> ordered.addAll(queue.inOrder(filter)));
        return ordered;
    }

    /** Returns whether a request is held. */
    public boolean isHeld(long exchange) {
        return mHeld.containsKey(exchange);
    }

    /** Applies whether held requests of a service wait for capacity from now on. */
    public void onBacklog(String service, boolean backlogged, long nowNanos) {
        drainRate(service).onBacklog(backlogged, nowNanos);
    }

    /** Handles that a plain target rejected a request. */
    public void onRejected(String target, int slots, long nowNanos) {
        window(target, slots).onRejected(nowNanos);
    }

    /**
     * Handles a complete response of a plain target.
     *
     * @param nanos time since the request was sent
     * @param objectiveNanos latency objective of the request
     * @param outstanding requests outstanding at the target, including this one
     */
    public void onResponse(
            String target,
            int slots,
            long nanos,
            long objectiveNanos,
            int outstanding,
            long nowNanos) {
        window(target, slots).onResponse(nanos, objectiveNanos, outstanding, nowNanos);
    }

    /**
     * Returns the held request to be refused because a bound on number or bytes is exceeded: the
     * least urgent one of the customer with the most held work, in the service with the most
     * requests or bytes.
     */
    public Optional<HeldRequest> overflow() {
        if (mHeld.size() <= MAX_REQUESTS && mBytes <= MAX_BYTES) {
            return Optional.empty();
        }
        ToLongFunction<ServiceQueue> size =
                mBytes > MAX_BYTES ? ServiceQueue::bytes : ServiceQueue::size;
        ServiceQueue largest =
                mQueues.values().stream().max(Comparator.comparingLong(size)).orElseThrow();
        return Optional.of(largest.last(largest.mostBacklogged()));
    }

    /** Returns the predicted wait of a request that is not held yet, empty if it is not known. */
    public OptionalLong predictedWaitNanos(HeldRequest request, long nowNanos) {
        ServiceQueue queue = mQueues.get(request.service());
        return drainRate(request.service())
                .waitNanos(queue == null ? 0 : queue.requestsAhead(request), nowNanos);
    }

    /** Stops holding a request that is sent to a target; does nothing if it is not held. */
    public void release(long exchange, long nowNanos) {
        HeldRequest request = mHeld.remove(exchange);
        if (request != null) {
            mBytes -= request.bytes();
            mQueues.get(request.service()).release(request);
            drainRate(request.service()).onReleased(nowNanos);
        }
    }

    /** Stops holding a request that has ended; does nothing if it is not held. */
    public void remove(long exchange) {
        HeldRequest request = mHeld.remove(exchange);
        if (request != null) {
            mBytes -= request.bytes();
            mQueues.get(request.service()).remove(request);
        }
    }

    /** Discards the windows of targets that do not pass a filter. */
    public void retainTargets(Predicate<String> filter) {
        mWindows.keySet().removeIf(filter.negate());
    }

    /**
     * Returns the delay after which a refused caller should retry: when capacity is expected for
     * it, plus a random part so that refused callers do not return together. At most a third of the
     * time left, and spread below that if capacity is expected later.
     *
     * @param waitNanos time until capacity is expected
     * @param remainingNanos time left until the caller's deadline
     */
    public long retryNanos(long waitNanos, long remainingNanos) {
        double longest =
                Math.min(
                        Math.max(MIN_RETRY_NANOS, waitNanos) * (1 + RETRY_SPREAD),
                        (double) remainingNanos / MAX_RETRY_DIVISOR);
        double shortest = longest / (1 + RETRY_SPREAD);
        return Math.max(1, (long) (shortest + mRandom.nextDouble() * (longest - shortest)));
    }

    /** Returns the held requests that pass a filter, in no particular order. */
    public List<HeldRequest> select(Predicate<HeldRequest> filter) {
        return mHeld.values().stream().filter(filter).toList();
    }

    /** Returns the services that requests were held for, in no particular order. */
    public Set<String> services() {
        return mQueues.keySet();
    }

    /** Returns the number of held requests of a service. */
    public int size(String service) {
        ServiceQueue queue = mQueues.get(service);
        return queue == null ? 0 : queue.size();
    }

    private DrainRate drainRate(String service) {
        return mDrainRates.computeIfAbsent(service, s -> new DrainRate());
    }

    private ConcurrencyWindow window(String target, int slots) {
        return mWindows.computeIfAbsent(target, t -> new ConcurrencyWindow(slots));
    }
}
