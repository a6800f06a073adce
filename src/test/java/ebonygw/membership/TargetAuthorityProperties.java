package ebonygw.membership;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.FaultInjectingKeyValueStore;
import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.keyvalue.KeyValueFaults;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Properties of {@link TargetAuthority} with two processes that claim the same target while
 * processes and the key-value service fail. The simulated target does not check fencing tokens.
 */
class TargetAuthorityProperties {
    private static final long MILLI = 1_000_000L;
    private static final long STEP_NANOS = 100 * MILLI;
    private static final long START_NANOS = 1_000_000_000_000L;
    private static final long MAX_REQUEST_NANOS = 8_000 * MILLI;

    /** A fault or recovery that is applied before the time advances. */
    enum Fault {
        NONE,
        PAUSE,
        RESUME,
        CUT_OFF,
        RECONNECT,
        RESTART,
        DOWN,
        SLOW,
        LOSSY,
        HEALTHY
    }

    record Step(Fault fault, boolean first, int millis) {}

    record Order(String by, long token, long fromNanos, long untilNanos) {}

    @Property(tries = 150, seed = "6101", shrinking = ShrinkingMode.BOUNDED)
    void ordersOfTwoClaimantsNeverOverlapAtATargetThatIgnoresFencingTokens(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        SimulatedTarget target = run(steps, seed, false);
        for (Order earlier : target.mOrders) {
            for (Order later : target.mOrders) {
                if (!earlier.by().equals(later.by()) && later.fromNanos() >= earlier.fromNanos()) {
                    assertThat(later.fromNanos())
                            .as("%s then %s", earlier, later)
                            .isGreaterThanOrEqualTo(earlier.untilNanos());
                    assertThat(later.token()).isGreaterThan(earlier.token());
                }
            }
        }
    }

    @Property(tries = 150, seed = "6102", shrinking = ShrinkingMode.BOUNDED)
    void noClaimantSendsOrdersWhileARequestOfAnotherRuns(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        SimulatedTarget target = run(steps, seed, false);
        for (Order request : target.mRequests) {
            for (Order order : target.mOrders) {
                if (!request.by().equals(order.by())) {
                    boolean disjoint =
                            order.fromNanos() >= request.untilNanos()
                                    || order.untilNanos() <= request.fromNanos();
                    assertThat(disjoint).as("%s and %s", request, order).isTrue();
                }
            }
        }
    }

    @Property(tries = 60, seed = "6103", shrinking = ShrinkingMode.BOUNDED)
    void someClaimantSendsOrdersWithinThirtySecondsAfterAllFaultsEnd(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        SimulatedTarget target = run(steps, seed, false);
        target.heal();
        long fromNanos = target.mNowNanos;
        target.advance(30_000, new Random(seed));
        Set<String> senders = new HashSet<>();
        for (Order order : target.mOrders) {
            if (order.fromNanos() > fromNanos) {
                senders.add(order.by());
            }
        }
        assertThat(senders).isNotEmpty();
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step =
                Combinators.combine(
                                Arbitraries.of(Fault.class),
                                Arbitraries.of(true, false),
                                Arbitraries.integers().between(50, 14_000))
                        .as(Step::new);
        return step.list().ofMinSize(5).ofMaxSize(25);
    }

    private static SimulatedTarget run(List<Step> steps, long seed, boolean checksTokens) {
        Random random = new Random(seed);
        SimulatedTarget target = new SimulatedTarget(random, checksTokens);
        for (Step step : steps) {
            target.apply(step);
            target.advance(step.millis(), random);
        }
        return target;
    }

    /** The target and its two claimants; records every order and request that they send. */
    private static final class SimulatedTarget {
        private final List<Order> mOrders = new ArrayList<>();
        private final List<Order> mRequests = new ArrayList<>();
        private final FaultInjectingKeyValueStore mService;
        private final Claimant mFirst;
        private final Claimant mSecond;
        private long mNowNanos = START_NANOS;

        SimulatedTarget(Random random, boolean checksTokens) {
            mService = new FaultInjectingKeyValueStore(new InMemoryKeyValueStore(), random);
            mFirst = new Claimant("a", mService, checksTokens, 900, random);
            mSecond = new Claimant("b", mService, checksTokens, -900, random);
        }

        void apply(Step step) {
            Claimant claimant = step.first() ? mFirst : mSecond;
            switch (step.fault()) {
                case PAUSE -> claimant.mPaused = true;
                case RESUME -> {
                    claimant.mPaused = false;
                    act(claimant, new Random(step.millis()));
                }
                case CUT_OFF -> claimant.mCutOff = true;
                case RECONNECT -> claimant.mCutOff = false;
                case RESTART -> claimant.restart();
                case DOWN -> mService.setFaults(KeyValueFaults.DOWN);
                case SLOW ->
                        mService.setFaults(new KeyValueFaults(false, 300 * MILLI, 900 * MILLI, 5));
                case LOSSY -> mService.setFaults(new KeyValueFaults(false, 0, 20 * MILLI, 60));
                case HEALTHY -> mService.setFaults(KeyValueFaults.NONE);
                default -> {}
            }
        }

        void heal() {
            mService.setFaults(KeyValueFaults.NONE);
            for (Claimant claimant : List.of(mFirst, mSecond)) {
                claimant.mPaused = false;
                claimant.mCutOff = false;
            }
        }

        void advance(int millis, Random random) {
            long endNanos = mNowNanos + millis * MILLI;
            while (mNowNanos < endNanos) {
                mNowNanos += STEP_NANOS;
                mService.advance(mNowNanos);
                for (Claimant claimant : List.of(mFirst, mSecond)) {
                    claimant.tick(mNowNanos);
                    act(claimant, random);
                }
            }
        }

        /** Sends an order and a request if the claimant is allowed to. */
        private void act(Claimant claimant, Random random) {
            if (claimant.mPaused) {
                return;
            }
            long clockNanos = claimant.localNanos(mNowNanos);
            long orderNanos = 1 + random.nextLong(Claimant.MAX_ORDER_NANOS);
            OptionalLong token =
                    claimant.mAuthority.tokenForOrder(Claimant.MAX_ORDER_NANOS, clockNanos);
            token.ifPresent(
                    value ->
                            mOrders.add(
                                    new Order(
                                            claimant.id(),
                                            value,
                                            mNowNanos,
                                            mNowNanos + orderNanos)));
            if (claimant.mAuthority.mayRun(MAX_REQUEST_NANOS, clockNanos)) {
                long untilNanos = mNowNanos + 1 + random.nextLong(MAX_REQUEST_NANOS);
                mRequests.add(
                        new Order(
                                claimant.id(), claimant.mAuthority.token(), mNowNanos, untilNanos));
            }
        }
    }
}
