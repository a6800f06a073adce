package ebonygw.membership;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.KeyValueFaults;
import ebonygw.protocol.NodeId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Properties of {@link Membership} in a simulated fleet while processes crash, pause, leave and are
 * cut off, host lists are outdated and the key-value service fails.
 */
class MembershipProperties {
    private static final long MILLI = 1_000_000L;
    private static final long MAX_LEAVING_DELAY_NANOS = 3_000 * MILLI;
    private static final int PROCESSES = 6;

    /** A fault or change that is applied before the time advances. */
    enum Fault {
        NONE,
        KILL_DETECTED_AT_ONCE,
        KILL_DETECTED_BY_TIMEOUT,
        RESTART,
        LEAVE,
        LEAVE_AND_END,
        PAUSE,
        RESUME,
        CUT_OFF,
        RECONNECT,
        SERVICE_DOWN,
        SERVICE_LOSSY,
        SERVICE_UP,
        STALE_LIST,
        REMOVE_HOST
    }

    record Step(Fault fault, int process, int list, int millis) {}

    @Property(tries = 60, seed = "6201", shrinking = ShrinkingMode.BOUNDED)
    void incarnationNeverDecreasesAndLeavingProcessGetsNoWorkAndGoneIsReportedOnlyOfEndedProcesses(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        Run run = new Run(seed);
        for (Step step : steps) {
            run.apply(step);
            run.mFleet.advance(step.millis() * MILLI, run::check);
        }
    }

    @Property(tries = 25, seed = "6202", shrinking = ShrinkingMode.BOUNDED)
    void allProcessesAgreeOnMembershipWithinAMinuteAfterAllFaultsEnd(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        Run run = new Run(seed);
        for (Step step : steps) {
            run.apply(step);
            run.mFleet.advance(step.millis() * MILLI, run::check);
        }
        run.heal();
        run.mFleet.advance(60_000 * MILLI, run::check);
        run.checkAgreement();
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step =
                Combinators.combine(
                                Arbitraries.of(Fault.class),
                                Arbitraries.integers().between(0, PROCESSES - 1),
                                Arbitraries.integers().between(0, 20),
                                Arbitraries.integers().between(100, 12_000))
                        .as(Step::new);
        return step.list().ofMinSize(5).ofMaxSize(25);
    }

    /** A fleet, the actual state of its processes and the states that each of them has observed. */
    private static final class Run {
        private final MemberFleet mFleet;
        private final Map<MemberProcess, Long> mLeavingSince = new HashMap<>();
        private final Set<MemberProcess> mEnded = new HashSet<>();
        private final Map<MemberProcess, Map<NodeId, Member>> mLastSeen = new HashMap<>();
        private final Map<MemberProcess, Set<MemberProcess>> mSeenLeaving = new HashMap<>();

        Run(long seed) {
            mFleet = new MemberFleet(seed);
            for (int i = 0; i < PROCESSES; i++) {
                mFleet.start(name(i), region(i));
            }
            mFleet.advance(5_000 * MILLI, this::check);
        }

        void apply(Step step) {
            NodeId id = new NodeId(name(step.process()));
            MemberProcess process = mFleet.mRunning.get(id);
            switch (step.fault()) {
                case SERVICE_DOWN -> mFleet.mService.setFaults(KeyValueFaults.DOWN);
                case SERVICE_LOSSY ->
                        mFleet.mService.setFaults(
                                new KeyValueFaults(false, 100 * MILLI, 2_000 * MILLI, 40));
                case SERVICE_UP -> mFleet.mService.setFaults(KeyValueFaults.NONE);
                case RECONNECT -> mFleet.mCutOff.remove(id);
                case RESTART -> restart(step.process(), process);
                default -> {
                    if (process != null) {
                        apply(step, process);
                    }
                }
            }
        }

        private void apply(Step step, MemberProcess process) {
            switch (step.fault()) {
                case KILL_DETECTED_AT_ONCE -> kill(process, true);
                case KILL_DETECTED_BY_TIMEOUT -> kill(process, false);
                case LEAVE -> leave(process);
                case LEAVE_AND_END -> {
                    leave(process);
                    mEnded.add(process);
                    mFleet.leaveGracefully(process.mId);
                }
                case PAUSE -> process.mPaused = true;
                case RESUME -> process.mPaused = false;
                case CUT_OFF -> mFleet.mCutOff.add(process.mId);
                case STALE_LIST ->
                        mFleet.deliverHostList(
                                process,
                                mFleet.mHostLists.get(step.list() % mFleet.mHostLists.size()));
                case REMOVE_HOST -> {
                    kill(process, false);
                    mFleet.removeHost(process.mId);
                }
                default -> {}
            }
        }

        void heal() {
            mFleet.mService.setFaults(KeyValueFaults.NONE);
            mFleet.mCutOff.clear();
            mFleet.mRunning.values().forEach(process -> process.mPaused = false);
        }

        void check() {
            for (MemberProcess observer : mFleet.mRunning.values()) {
                if (!observer.mPaused) {
                    mFleet.mLatest.values().forEach(other -> check(observer, other));
                }
            }
        }

        private void check(MemberProcess observer, MemberProcess other) {
            if (observer == other) {
                return;
            }
            Optional<Member> seen = observer.mMembership.view().member(other.mId);
            Map<NodeId, Member> last = mLastSeen.computeIfAbsent(observer, o -> new HashMap<>());
            Member before = last.get(other.mId);
            if (seen.isPresent() && before != null) {
                assertThat(seen.get().incarnation())
                        .as("%s's view of %s", observer.mId, other.mId)
                        .isGreaterThanOrEqualTo(before.incarnation());
            }
            seen.ifPresent(member -> last.put(other.mId, member));
            Long leavingSince = mLeavingSince.get(other);
            if (leavingSince != null
                    && mFleet.mNowNanos - leavingSince >= MAX_LEAVING_DELAY_NANOS) {
                assertThat(observer.routesTo(other))
                        .as("%s routes new work to %s, which is leaving", observer.mId, other.mId)
                        .isFalse();
            }
            checkLeavingStays(observer, other, seen);
            long incarnation = other.mSelf.incarnation();
            if (observer.mMembership.isConfirmedGone(other.mId, incarnation)) {
                assertThat(mEnded)
                        .as("%s reports %s as gone", observer.mId, other.mId)
                        .contains(other);
            }
        }

        private void checkLeavingStays(
                MemberProcess observer, MemberProcess other, Optional<Member> seen) {
            Set<MemberProcess> leaving =
                    mSeenLeaving.computeIfAbsent(observer, o -> new HashSet<>());
            boolean sameIncarnation =
                    seen.filter(m -> m.incarnation() == other.mSelf.incarnation()).isPresent();
            if (sameIncarnation && mLeavingSince.containsKey(other)) {
                boolean leavingNow = seen.get().state() == MemberState.LEAVING;
                assertThat(leavingNow || !leaving.contains(other))
                        .as("%s no longer sees that %s is leaving", observer.mId, other.mId)
                        .isTrue();
                if (leavingNow) {
                    leaving.add(other);
                }
            }
        }

        void checkAgreement() {
            for (MemberProcess observer : mFleet.mRunning.values()) {
                for (MemberProcess other : mFleet.mRunning.values()) {
                    if (observer != other) {
                        Optional<Member> seen = observer.mMembership.view().member(other.mId);
                        assertThat(seen).as("%s's view of %s", observer.mId, other.mId).isPresent();
                        assertThat(seen.get().incarnation()).isEqualTo(other.mSelf.incarnation());
                        assertThat(seen.get().state())
                                .as("%s's view of %s", observer.mId, other.mId)
                                .isEqualTo(
                                        mLeavingSince.containsKey(other)
                                                ? MemberState.LEAVING
                                                : MemberState.LIVE);
                    }
                }
            }
        }

        private void kill(MemberProcess process, boolean detectedAtOnce) {
            mEnded.add(process);
            mFleet.kill(process.mId, detectedAtOnce);
        }

        private void leave(MemberProcess process) {
            if (!mLeavingSince.containsKey(process)) {
                mLeavingSince.put(process, mFleet.mNowNanos);
                mFleet.leave(process.mId);
            }
        }

        private void restart(int index, MemberProcess running) {
            if (running != null) {
                kill(running, false);
            }
            mFleet.start(name(index), region(index));
        }

        private static String name(int index) {
            return "p" + index;
        }

        private static String region(int index) {
            return index % 2 == 0 ? "casablanca" : "fes";
        }
    }
}
