package ebonygw.quarantine;

import ebonygw.quarantine.Evidence.PartEvidence;
import ebonygw.quarantine.Evidence.Sighting;
import ebonygw.quarantine.Evidence.Survivals;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Blocks prompts whose parts crash targets.
 *
 * <p>A target that ends counts against the parts of the responses that had begun just before: one
 * of them is the cause, the others are bystanders. The part that is the cause recurs over several
 * incarnations, while bystanders also occur in responses that their targets survive; so each part
 * is judged by the number of incarnations that ended under it, less a fraction of its survivals,
 * and incarnations that a part with more evidence explains do not count. Parts that the evidence
 * does not tell apart are blocked together: a prompt is refused if it holds all of them.
 *
 * <p>Entries exchange {@link Evidence} and come to the same result. A set of parts stays blocked
 * for a while after the last crash under it; afterwards a single further crash blocks it again. Not
 * thread-safe.
 */
public final class PartQuarantine {
    /** Number of ended targets to remember; they matter for seconds only. */
    private static final int MAX_ENDED = 256;

    private final long mObserver;
    private final QuarantineOptions mOptions;
    private final SurvivalCounts mRecent;
    private final SurvivalCounts mRemembered;
    private final Map<PartSet, CombinationRecord> mCombinations = new TreeMap<>();
    private final Map<String, PartSurvivals> mSurvivals = new TreeMap<>();
    private final Map<PartSet, BlockState> mBlocks = new TreeMap<>();
    private final Map<String, Ended> mEnded = new LinkedHashMap<>();
    private long mChange;
    private long mSurvivalSequence;

    /**
     * Creates a quarantine without evidence.
     *
     * @param observer identifies this start of the process
     * @throws NullPointerException if {@code options} is null
     */
    public PartQuarantine(long observer, QuarantineOptions options) {
        mObserver = observer;
        mOptions = Objects.requireNonNull(options, "options");
        mRecent = new SurvivalCounts(options.survivalWindowNanos(), maxSurvivals());
        mRemembered = new SurvivalCounts(Math.max(1, options.memoryNanos() / 2), maxSurvivals());
    }

    /**
     * A change of what is blocked.
     *
     * @param parts the parts, which prompts hold together
     * @param blocked whether they are blocked now
     * @param crashed incarnations that ended under the parts
     * @param survivals recent survivals of the part with the fewest
     * @param remembered survivals of each part over a longer time, in the order of the parts; parts
     *     that stand equal have too few to be told apart
     */
    public record Change(
            PartSet parts,
            boolean blocked,
            List<String> crashed,
            int survivals,
            List<Integer> remembered) {
        /** Creates a change with copies of the lists. */
        public Change {
            crashed = List.copyOf(crashed);
            remembered = List.copyOf(remembered);
        }
    }

    /** Blocked parts, and how long they stay blocked without a further crash. */
    public record Block(PartSet parts, long remainingNanos) {}

    /** Returns the first block of which a prompt with some parts holds all parts. */
    public Optional<Block> blocked(Collection<String> parts, long nowNanos) {
        for (Map.Entry<PartSet, BlockState> block : mBlocks.entrySet()) {
            BlockState state = block.getValue();
            if (state.mBlocked && block.getKey().isWithin(parts)) {
                long remaining = state.mBlockedNanos + mOptions.blockNanos() - nowNanos;
                return Optional.of(new Block(block.getKey(), Math.max(1, remaining)));
            }
        }
        return Optional.empty();
    }

    /** Returns the blocked sets of parts with the incarnations that ended under them. */
    public Map<PartSet, List<String>> blockedParts() {
        Map<PartSet, List<String>> blocked = new TreeMap<>();
        mBlocks.forEach(
                (parts, state) -> {
                    if (state.mBlocked) {
                        blocked.put(parts, crashed(parts));
                    }
                });
        return blocked;
    }

    /** Returns the number of the last change of the evidence. */
    public long change() {
        return mChange;
    }

    /** Returns the evidence that has changed since a change, 0 for all. */
    public Evidence changedSince(long change, long nowNanos) {
        List<PartEvidence> parts = new ArrayList<>();
        mCombinations.forEach(
                (combination, record) -> {
                    if (record.mChange > change) {
                        parts.add(record.toEvidence(combination, nowNanos));
                    }
                });
        mSurvivals.forEach(
                (part, survivals) -> {
                    if (survivals.mChange > change) {
                        parts.add(survivals.toEvidence(part, nowNanos));
                    }
                });
        List<Sighting> ended = new ArrayList<>();
        mEnded.forEach(
                (target, end) -> {
                    if (end.change() > change) {
                        ended.add(new Sighting(target, nowNanos - end.nanos()));
                    }
                });
        return new Evidence(parts, ended);
    }

    /** Blocks parts by a decision that was stored before. */
    public void block(PartSet parts, List<String> crashed, long nowNanos) {
        CombinationRecord record = combination(parts, nowNanos);
        crashed.forEach(target -> addCrash(parts, record, new Sighting(target, 0), nowNanos));
        BlockState state = mBlocks.computeIfAbsent(parts, p -> new BlockState());
        if (!state.mBlocked) {
            state.mBlocked = true;
            state.mBlockedNanos = nowNanos;
            state.mOnProbation = crashed.size() < mOptions.crashes();
        }
    }

    /** Lifts a block by an operator's decision; known crashes no longer count. */
    public boolean lift(PartSet parts) {
        BlockState state = mBlocks.get(parts);
        if (state == null || !state.mBlocked) {
            return false;
        }
        state.mBlocked = false;
        ignoreCrashes(parts);
        return true;
    }

    /**
     * Handles that a response broke off after its start.
     *
     * @param parts shared parts of its prompt
     * @param target incarnation of the target, which did not announce its end
     * @param ageNanos time since the start of the response
     */
    public void onBroken(Collection<String> parts, String target, long ageNanos, long nowNanos) {
        if (ageNanos <= mOptions.crashNanos() && !parts.isEmpty()) {
            addBroken(new PartSet(List.copyOf(parts)), new Sighting(target, 0), nowNanos);
        }
    }

    /** Handles that a response has ended, or goes on for the time of a survival. */
    public void onSurvived(Collection<String> parts, long nowNanos) {
        parts.forEach(
                part -> {
                    mRecent.add(part, nowNanos);
                    mRemembered.add(part, nowNanos);
                });
    }

    /** Handles that a target has ended without notice. */
    public void onTargetEnded(String target, long nowNanos) {
        onTargetEnded(new Sighting(target, 0), nowNanos);
    }

    /** Applies the evidence of another entry. */
    public void onEvidence(Evidence evidence, long nowNanos) {
        for (PartEvidence part : evidence.parts()) {
            if (!part.crashed().isEmpty()) {
                CombinationRecord record = combination(part.parts(), nowNanos);
                part.crashed().forEach(it -> addCrash(part.parts(), record, it, nowNanos));
            }
            part.broken().forEach(it -> addBroken(part.parts(), it, nowNanos));
            for (Survivals survivals : part.survivals()) {
                part.parts().ids().forEach(id -> addSurvivals(id, survivals, nowNanos));
            }
        }
        evidence.endedTargets().forEach(target -> onTargetEnded(target, nowNanos));
    }

    /** Returns whether a response of this age counts as a survival. */
    public boolean isSurvival(long ageNanos) {
        return ageNanos >= mOptions.survivalNanos();
    }

    /** Updates the judgement of all parts; returns what has changed. */
    public List<Change> onTick(long nowNanos) {
        mEnded.values().removeIf(end -> nowNanos - end.nanos() > 2 * mOptions.endNanos());
        suspectedParts().forEach(part -> publishSurvivals(part, nowNanos));
        mBlocks.forEach((parts, state) -> endBlockIfDue(parts, state, nowNanos));
        Set<PartSet> toBlock = partsToBlock(nowNanos);
        List<Change> changes = new ArrayList<>();
        toBlock.forEach(parts -> mBlocks.computeIfAbsent(parts, p -> new BlockState()));
        mBlocks.forEach(
                (parts, state) -> {
                    boolean blocked = toBlock.contains(parts);
                    if (blocked != state.mBlocked) {
                        state.mBlocked = blocked;
                        state.mBlockedNanos = nowNanos;
                        changes.add(change(parts, blocked, nowNanos));
                    }
                });
        expire(nowNanos);
        return changes;
    }

    private Change change(PartSet parts, boolean blocked, long nowNanos) {
        List<Integer> remembered = parts.ids().stream().map(this::remembered).toList();
        return new Change(parts, blocked, crashed(parts), survivals(parts, nowNanos), remembered);
    }

    private void expire(long nowNanos) {
        mBlocks.values()
                .removeIf(
                        state ->
                                !state.mBlocked
                                        && (!state.mOnProbation
                                                || nowNanos - state.mBlockedNanos
                                                        > mOptions.forgetNanos()));
        mCombinations
                .entrySet()
                .removeIf(
                        it -> {
                            boolean blocked = isBlocked(it.getKey());
                            it.getValue().expire(blocked, mOptions, nowNanos);
                            return it.getValue().isForgotten(blocked, mOptions, nowNanos);
                        });
        Set<String> suspected = suspectedParts();
        mSurvivals
                .entrySet()
                .removeIf(
                        it -> {
                            it.getValue().expire(mOptions, nowNanos);
                            return !suspected.contains(it.getKey()) || it.getValue().isEmpty();
                        });
    }

    private void addBroken(PartSet parts, Sighting broken, long nowNanos) {
        if (broken.ageNanos() > mOptions.endNanos()) {
            return;
        }
        CombinationRecord record = combination(parts, nowNanos);
        if (record.mCrashedNanos.containsKey(broken.target())
                || record.mIgnored.contains(broken.target())
                || record.mBrokenNanos.containsKey(broken.target())
                || CombinationRecord.isFull(record.mBrokenNanos)) {
            return;
        }
        record.mBrokenNanos.put(broken.target(), nowNanos - broken.ageNanos());
        touch(record, nowNanos);
        if (mEnded.containsKey(broken.target())) {
            matchEnd(parts, record, broken.target(), nowNanos);
        }
    }

    private void addCrash(
            PartSet parts, CombinationRecord record, Sighting crashed, long nowNanos) {
        if (crashed.ageNanos() > mOptions.blockNanos()
                || record.mIgnored.contains(crashed.target())
                || record.mCrashedNanos.containsKey(crashed.target())
                || CombinationRecord.isFull(record.mCrashedNanos)) {
            return;
        }
        record.mCrashedNanos.put(crashed.target(), nowNanos - crashed.ageNanos());
        record.mBrokenNanos.remove(crashed.target());
        mBlocks.forEach(
                (blocked, state) -> {
                    if (state.mBlocked && blocked.isWithin(parts.ids())) {
                        state.mBlockedNanos = nowNanos;
                    }
                });
        touch(record, nowNanos);
    }

    private void addSurvivals(String part, Survivals survivals, long nowNanos) {
        PartSurvivals known = mSurvivals.computeIfAbsent(part, p -> new PartSurvivals());
        if (known.add(survivals, mOptions, nowNanos)) {
            known.mChange = ++mChange;
        }
    }

    private void ignoreCrashes(PartSet parts) {
        mCombinations.forEach(
                (combination, record) -> {
                    if (parts.isWithin(combination.ids())) {
                        record.ignoreCrashes();
                    }
                });
    }

    /** Ends a block that has lasted long enough; one further crash blocks the parts again. */
    private void endBlockIfDue(PartSet parts, BlockState state, long nowNanos) {
        if (state.mBlocked && nowNanos - state.mBlockedNanos >= mOptions.blockNanos()) {
            ignoreCrashes(parts);
            state.mOnProbation = true;
        } else if (survivals(parts, nowNanos)
                >= mOptions.crashes() * mOptions.survivalsPerCrash()) {
            state.mOnProbation = false;
        }
    }

    /** Returns the sets of parts to block, without those that hold another one. */
    private Set<PartSet> partsToBlock(long nowNanos) {
        CrashCauses causes =
                new CrashCauses(
                        part ->
                                mOptions.crashes()
                                        + recent(part, nowNanos) / mOptions.survivalsPerCrash(),
                        this::outlivedCrashes);
        mCombinations.forEach(
                (combination, record) ->
                        record.mCrashedNanos.forEach(
                                (target, at) ->
                                        addCauses(causes, combination, target, nowNanos - at)));
        Set<PartSet> toBlock = new TreeSet<>();
        mBlocks.forEach(
                (parts, state) -> {
                    List<String> crashed = crashed(parts);
                    int required = 1 + survivals(parts, nowNanos) / mOptions.survivalsPerCrash();
                    if (state.mOnProbation && crashed.size() >= required) {
                        toBlock.add(parts);
                        causes.explained(crashed);
                    }
                });
        toBlock.addAll(causes.explain());
        return toBlock.stream()
                .filter(parts -> toBlock.stream().noneMatch(it -> it.isSmallerThan(parts)))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Adds a crash to the causes, under each part for which it counts: while it is recent and has
     * settled, or as long as the part is blocked for it.
     */
    private void addCauses(CrashCauses causes, PartSet combination, String target, long ageNanos) {
        boolean counts = ageNanos >= mOptions.settleNanos() && ageNanos <= mOptions.evidenceNanos();
        Set<String> held = new TreeSet<>();
        mBlocks.forEach(
                (parts, state) -> {
                    if (state.mBlocked && parts.isWithin(combination.ids())) {
                        held.addAll(parts.ids());
                    }
                });
        for (String part : combination.ids()) {
            if (counts || held.contains(part)) {
                causes.add(target, part, combination);
            }
        }
    }

    /** Counts a target that has ended against a prompt whose response it broke off just before. */
    private void matchEnd(PartSet parts, CombinationRecord record, String target, long nowNanos) {
        Long brokenNanos = record.mBrokenNanos.get(target);
        long endedNanos = mEnded.get(target).nanos();
        if (brokenNanos != null && Math.abs(endedNanos - brokenNanos) <= mOptions.endNanos()) {
            addCrash(parts, record, new Sighting(target, nowNanos - endedNanos), nowNanos);
        }
    }

    private void onTargetEnded(Sighting ended, long nowNanos) {
        if (ended.ageNanos() > mOptions.endNanos()
                || mEnded.containsKey(ended.target())
                || mEnded.size() >= MAX_ENDED) {
            return;
        }
        mEnded.put(ended.target(), new Ended(nowNanos - ended.ageNanos(), ++mChange));
        mCombinations.forEach((parts, record) -> matchEnd(parts, record, ended.target(), nowNanos));
    }

    /** Returns the number of survivals that outweighs any number of crashed targets. */
    private int maxSurvivals() {
        return mOptions.survivalsPerCrash() * (mOptions.crashes() + CombinationRecord.MAX_TARGETS);
    }

    /** Returns how many crashes the survivals of a part outweigh; all once they are many. */
    private int outlivedCrashes(String part) {
        int crashes = remembered(part) / mOptions.survivalsPerCrash();
        return crashes >= CombinationRecord.MAX_TARGETS ? Integer.MAX_VALUE : crashes;
    }

    private int recent(String part, long nowNanos) {
        PartSurvivals survivals = mSurvivals.get(part);
        return survivals == null ? 0 : survivals.recent(mOptions, nowNanos);
    }

    private int remembered(String part) {
        PartSurvivals survivals = mSurvivals.get(part);
        return survivals == null ? 0 : survivals.remembered();
    }

    /** Returns the recent survivals of the part of a set that has the fewest. */
    private int survivals(PartSet parts, long nowNanos) {
        return parts.ids().stream().mapToInt(part -> recent(part, nowNanos)).min().orElse(0);
    }

    /** Returns the incarnations that ended under a set of parts, in the order of their ends. */
    private List<String> crashed(PartSet parts) {
        Map<String, Long> crashed = new HashMap<>();
        mCombinations.forEach(
                (combination, record) -> {
                    if (parts.isWithin(combination.ids())) {
                        crashed.putAll(record.mCrashedNanos);
                    }
                });
        return crashed.entrySet().stream()
                .sorted(
                        Map.Entry.<String, Long>comparingByValue()
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether prompts with exactly these parts are refused. */
    private boolean isBlocked(PartSet combination) {
        return mBlocks.entrySet().stream()
                .anyMatch(it -> it.getValue().mBlocked && it.getKey().isWithin(combination.ids()));
    }

    /** Returns the parts of all combinations and blocks. */
    private Set<String> suspectedParts() {
        Set<String> parts = new TreeSet<>();
        mCombinations.keySet().forEach(it -> parts.addAll(it.ids()));
        mBlocks.keySet().forEach(it -> parts.addAll(it.ids()));
        return parts;
    }

    /** Updates this entry's own survivals of a part. */
    private void publishSurvivals(String part, long nowNanos) {
        int count = mRecent.get(part, nowNanos);
        int remembered = mRemembered.get(part, nowNanos);
        PartSurvivals known = mSurvivals.get(part);
        boolean outdated =
                known == null
                        ? count > 0 || remembered > 0
                        : known.isOutdated(mObserver, count, remembered, mOptions, nowNanos);
        if (outdated) {
            Survivals own = new Survivals(mObserver, ++mSurvivalSequence, count, remembered, 0);
            addSurvivals(part, own, nowNanos);
        }
    }

    /**
     * Returns the record of a combination, which may be new; drops the least recent of those with
     * the fewest crashes if necessary.
     */
    private CombinationRecord combination(PartSet parts, long nowNanos) {
        CombinationRecord known = mCombinations.get(parts);
        if (known != null) {
            return known;
        }
        if (mCombinations.size() >= mOptions.maxParts()) {
            mCombinations.entrySet().stream()
                    .min(
                            Map.Entry.comparingByValue(
                                    Comparator.comparingInt(
                                                    (CombinationRecord it) ->
                                                            it.mCrashedNanos.size())
                                            .thenComparingLong(it -> it.mTouchedNanos)))
                    .map(Map.Entry::getKey)
                    .ifPresent(mCombinations::remove);
        }
        CombinationRecord record = new CombinationRecord();
        record.mTouchedNanos = nowNanos;
        mCombinations.put(parts, record);
        return record;
    }

    private void touch(CombinationRecord record, long nowNanos) {
        record.mTouchedNanos = nowNanos;
        record.mChange = ++mChange;
    }

    /** Whether and since when a set of parts is blocked. */
    private static final class BlockState {
        private boolean mBlocked;

        /** When the parts were blocked or released, or a further target crashed under them. */
        private long mBlockedNanos;

        /** Whether a block has ended by itself, so that a single crash blocks the parts again. */
        private boolean mOnProbation;
    }

    /** When a target has ended, and the number of that change. */
    private record Ended(long nanos, long change) {}
}
