package ebonygw;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.KeyValueFaults;
import ebonygw.request.Verdict;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.arbitraries.ListArbitrary;

/**
 * Checks the invariants of a fleet of one entry and four targets under faults and planned stops.
 */
class NodeProperties {
    private static final long MILLI = NodeFleet.MILLI;

    /** A fault or operation that is applied at the start of a step. */
    enum Fault {
        NONE,
        KILL_TARGET,
        FREEZE_TARGET,
        THAW_TARGET,
        FREEZE_ENTRY,
        THAW_ENTRY,
        CUT_LINK,
        ENGINE_RESTART,
        STOP_TARGET,
        REPLACE_ENTRY,
        KILL_ENTRY,
        CALLER_GONE,
        SERVICE_DOWN,
        SERVICE_LOSING,
        SERVICE_UP,
        WITHDRAW_KEY
    }

    record Step(Fault fault, int target, int millis) {}

    @Property(tries = 24, seed = "6501", shrinking = ShrinkingMode.BOUNDED)
    void invariantsHoldUnderAllFaults(@ForAll("steps") List<Step> steps, @ForAll long seed) {
        NodeFleet fleet = new NodeFleet(seed);
        for (Step step : steps) {
            apply(fleet, step);
            advanceUnderLoad(fleet, step.millis());
        }
        fleet.mKeyValue.setFaults(KeyValueFaults.NONE);
        fleet.freeze(fleet.mEntry, false);
        fleet.mTargets.values().forEach(target -> fleet.freeze(target, false));
        fleet.advance(23_000 * MILLI);
        fleet.check();
        fleet.checkSettled();
    }

    @Property(tries = 8, seed = "6502", shrinking = ShrinkingMode.BOUNDED)
    void plannedStopsOfTargetsNeitherAbortNorRefuseRequests(
            @ForAll("targetStops") List<Step> steps, @ForAll long seed) {
        NodeFleet fleet = runPlannedStops(steps, seed);
        fleet.mEntry.mCallers.forEach(
                (exchange, caller) ->
                        assertThat(caller.mEnded)
                                .as("exchange %s: %s", exchange, caller.mRefusal)
                                .isTrue());
    }

    @Property(tries = 8, seed = "6503", shrinking = ShrinkingMode.BOUNDED)
    void plannedStopsNeitherAbortNorRefuseRequests(
            @ForAll("plannedStops") List<Step> steps, @ForAll long seed) {
        NodeFleet fleet = runPlannedStops(steps, seed);
        for (FakeEntry entry : fleet.mEntries) {
            entry.mCallers.forEach(
                    (exchange, caller) ->
                            assertThat(caller.mEnded)
                                    .as("exchange %s: %s", exchange, caller.mRefusal)
                                    .isTrue());
        }
    }

    @Example
    void bookingsInterruptedByRestartsRunOnceAndAreReportedAsMayHaveRun() {
        NodeFleet fleet = new NodeFleet(6504);
        for (int i = 0; i < 90; i++) {
            advanceUnderLoad(fleet, 60);
            fleet.mEngines.get(NodeFleet.TARGETS.get(2 + i % 2)).restart(fleet.mNowNanos);
        }
        fleet.advance(23_000 * MILLI);
        fleet.check();
        assertThat(fleet.mEntry.mCallers.values())
                .anyMatch(
                        caller ->
                                caller.mRefusal != null
                                        && caller.mRefusal.verdict() == Verdict.MAY_HAVE_RUN);
    }

    @Provide
    Arbitrary<List<Step>> plannedStops() {
        return steps(Arbitraries.of(Fault.NONE, Fault.STOP_TARGET, Fault.REPLACE_ENTRY))
                .ofMinSize(3)
                .ofMaxSize(8);
    }

    @Provide
    Arbitrary<List<Step>> targetStops() {
        return steps(Arbitraries.of(Fault.NONE, Fault.STOP_TARGET)).ofMinSize(3).ofMaxSize(8);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return steps(Arbitraries.of(Fault.class)).ofMinSize(3).ofMaxSize(14);
    }

    private static NodeFleet runPlannedStops(List<Step> steps, long seed) {
        NodeFleet fleet = new NodeFleet(seed);
        for (Step step : steps) {
            if (fleet.readyForNextStop()) {
                apply(fleet, step);
            }
            advanceUnderLoad(fleet, step.millis());
        }
        fleet.advance(23_000 * MILLI);
        fleet.check();
        return fleet;
    }

    private static ListArbitrary<Step> steps(Arbitrary<Fault> faults) {
        return Combinators.combine(
                        faults,
                        Arbitraries.integers().between(0, NodeFleet.TARGETS.size() - 1),
                        Arbitraries.integers().between(50, 5_000))
                .as(Step::new)
                .list();
    }

    private static void apply(NodeFleet fleet, Step step) {
        String name = NodeFleet.TARGETS.get(step.target());
        FakeTarget target = fleet.mTargets.get(name);
        switch (step.fault()) {
            case KILL_TARGET -> fleet.kill(name, 300 * MILLI);
            case FREEZE_TARGET -> fleet.freeze(target, true);
            case THAW_TARGET -> fleet.freeze(target, false);
            case FREEZE_ENTRY -> fleet.freeze(fleet.mEntry, true);
            case THAW_ENTRY -> fleet.freeze(fleet.mEntry, false);
            case CUT_LINK -> fleet.mCutUntilNanos.put(name, fleet.mNowNanos + 700 * MILLI);
            case ENGINE_RESTART -> fleet.mEngines.get(name).restart(fleet.mNowNanos);
            case STOP_TARGET -> fleet.stop(target);
            case REPLACE_ENTRY -> fleet.replaceEntry();
            case KILL_ENTRY -> fleet.killEntry();
            case CALLER_GONE ->
                    List.copyOf(fleet.mEntry.mCallers.keySet())
                            .forEach(exchange -> fleet.mEntry.callerGone(exchange));
            case SERVICE_DOWN -> fleet.mKeyValue.setFaults(KeyValueFaults.DOWN);
            case SERVICE_LOSING ->
                    fleet.mKeyValue.setFaults(
                            new KeyValueFaults(false, 20 * MILLI, 300 * MILLI, 40));
            case SERVICE_UP -> fleet.mKeyValue.setFaults(KeyValueFaults.NONE);
            case WITHDRAW_KEY -> fleet.withdrawKey();
            default -> {}
        }
    }

    private static void advanceUnderLoad(NodeFleet fleet, int millis) {
        for (int elapsed = 0; elapsed < millis; elapsed += 60) {
            if (fleet.mEntry.mNode.ready()) {
                fleet.sendRequest();
            }
            fleet.advance(60 * MILLI);
        }
    }
}
