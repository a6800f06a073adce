package ebonygw.quarantine;

import ebonygw.quarantine.Evidence.PartEvidence;
import ebonygw.quarantine.Evidence.Sighting;
import ebonygw.quarantine.Evidence.Survivals;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Blocks prompt parts that crash targets.
 *
 * <p>A target that ends counts against the parts of the responses that had begun just before: one
 * of them is the cause, the others are bystanders. The part that is the cause recurs over several
 * incarnations, while bystanders also occur in responses that their targets survive; so each part
 * is judged by the number of incarnations that ended under it, less a fraction of its survivals,
 * and incarnations that a part with more evidence explains do not count.
 *
 * <p>Entries exchange {@link Evidence} and come to the same result. A part stays blocked for a
 * while after the last crash under it; afterwards a single further crash blocks it again. Not
 * thread-safe.
 */
public final class PartQuarantine {
    /** Number of ended targets to remember; they matter for seconds only. */
    private static final int MAX_ENDED = 256;

    private final long mObserver;
    private final QuarantineOptions mOptions;
    private final SurvivalCounts mCounts;
    private final Map<String, PartRecord> mParts = new TreeMap<>();
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
        mCounts = new SurvivalCounts(options.survivalWindowNanos(), maxSurvivals());
    }

    /**
     * A change of what is blocked.
     *
     * @param part id of the part
     * @param blocked whether it is blocked now
     * @param crashed incarnations that ended under the part
     * @param survivals recent survivals of the part
     */
    public record Change(String part, boolean blocked, List<String> crashed, int survivals) {
        /** Creates a change with a copy of the list. */
        public Change {
            crashed = List.copyOf(crashed);
        }
    }

    /** A blocked part, and how long it stays blocked without a further crash. */
    public record Block(String part, long remainingNanos) {}

    /** Returns the first of some parts that is blocked. */
    public Optional<Block> blocked(Collection<String> parts, long nowNanos) {
        for (String part : parts) {
            PartRecord record = mParts.get(part);
            if (record != null && record.mBlocked) {
                long remaining = record.mBlockedNanos + mOptions.blockNanos() - nowNanos;
                return Optional.of(new Block(part, Math.max(1, remaining)));
            }
        }
        return Optional.empty();
    }

    /** Returns the blocked parts with the incarnations that ended under them. */
    public Map<String, List<String>> blockedParts() {
        Map<String, List<String>> blocked = new TreeMap<>();
        mParts.forEach(
                (part, record) -> {
                    if (record.mBlocked) {
                        blocked.put(part, List.copyOf(record.mCrashedNanos.keySet()));
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
        mParts.forEach(
                (part, record) -> {
                    if (record.mChange > change) {
                        parts.add(record.toEvidence(part, nowNanos));
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

    /** Blocks a part by a decision that was stored before. */
    public void block(String part, List<String> crashed, long nowNanos) {
        PartRecord record = record(part, nowNanos);
        crashed.forEach(target -> addCrash(record, new Sighting(target, 0), nowNanos));
        if (!record.mBlocked) {
            record.mBlocked = true;
            record.mBlockedNanos = nowNanos;
        }
    }

    /** Lifts the block of a part by an operator's decision; known crashes no longer count. */
    public boolean lift(String part) {
        PartRecord record = mParts.get(part);
        if (record == null || !record.mBlocked) {
            return false;
        }
        record.mBlocked = false;
        ignoreCrashes(record);
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
        if (ageNanos > mOptions.crashNanos()) {
            return;
        }
        for (String part : parts) {
            addBroken(record(part, nowNanos), new Sighting(target, 0), nowNanos);
        }
    }

    /** Handles that a response has ended, or goes on for the time of a survival. */
    public void onSurvived(Collection<String> parts, long nowNanos) {
        parts.forEach(part -> mCounts.add(part, nowNanos));
    }

    /** Handles that a target has ended without notice. */
    public void onTargetEnded(String target, long nowNanos) {
        onTargetEnded(new Sighting(target, 0), nowNanos);
    }

    /** Applies the evidence of another entry. */
    public void onEvidence(Evidence evidence, long nowNanos) {
        for (PartEvidence part : evidence.parts()) {
            PartRecord record = record(part.part(), nowNanos);
            part.crashed().forEach(target -> addCrash(record, target, nowNanos));
            part.broken().forEach(target -> addBroken(record, target, nowNanos));
            for (Survivals survivals : part.survivals()) {
                if (record.addSurvivals(survivals, nowNanos)) {
                    record.mChange = ++mChange;
                }
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
        mParts.forEach((part, record) -> publishSurvivals(part, record, nowNanos));
        mParts.values().forEach(record -> endBlockIfDue(record, nowNanos));
        Set<String> toBlock = partsToBlock(nowNanos);
        List<Change> changes = new ArrayList<>();
        mParts.forEach(
                (part, record) -> {
                    boolean blocked = toBlock.contains(part);
                    if (blocked != record.mBlocked) {
                        record.mBlocked = blocked;
                        record.mBlockedNanos = nowNanos;
                        changes.add(
                                new Change(
                                        part,
                                        blocked,
                                        List.copyOf(record.mCrashedNanos.keySet()),
                                        record.survivals()));
                    }
                    record.expire(mOptions, nowNanos);
                });
        mParts.values().removeIf(record -> isForgotten(record, nowNanos));
        return changes;
    }

    private void addBroken(PartRecord record, Sighting broken, long nowNanos) {
        if (broken.ageNanos() > mOptions.endNanos()
                || record.mCrashedNanos.containsKey(broken.target())
                || record.mIgnored.contains(broken.target())
                || record.mBrokenNanos.containsKey(broken.target())
                || PartRecord.isFull(record.mBrokenNanos)) {
            return;
        }
        record.mBrokenNanos.put(broken.target(), nowNanos - broken.ageNanos());
        touch(record, nowNanos);
        if (mEnded.containsKey(broken.target())) {
            matchEnd(record, broken.target(), nowNanos);
        }
    }

    private void addCrash(PartRecord record, Sighting crashed, long nowNanos) {
        if (crashed.ageNanos() > mOptions.blockNanos()
                || record.mIgnored.contains(crashed.target())
                || record.mCrashedNanos.containsKey(crashed.target())
                || PartRecord.isFull(record.mCrashedNanos)) {
            return;
        }
        record.mCrashedNanos.put(crashed.target(), nowNanos - crashed.ageNanos());
        record.mBrokenNanos.remove(crashed.target());
        record.mBlockedNanos = nowNanos;
        touch(record, nowNanos);
    }

    private static void ignoreCrashes(PartRecord record) {
        record.mIgnored.addAll(record.mCrashedNanos.keySet());
        record.mCrashedNanos.clear();
        record.mBrokenNanos.clear();
    }

    private boolean isForgotten(PartRecord record, long nowNanos) {
        if (!record.mBlocked && record.mCrashedNanos.isEmpty() && record.mIgnored.isEmpty()) {
            return nowNanos - record.mTouchedNanos > mOptions.endNanos();
        }
        return nowNanos - record.mTouchedNanos > mOptions.forgetNanos();
    }

    /** Ends a block that has lasted long enough; one further crash blocks the part again. */
    private void endBlockIfDue(PartRecord record, long nowNanos) {
        if (record.mBlocked && nowNanos - record.mBlockedNanos >= mOptions.blockNanos()) {
            ignoreCrashes(record);
            record.mOnProbation = true;
        } else if (record.survivals() >= mOptions.crashes() * mOptions.survivalsPerCrash()) {
            record.mOnProbation = false;
        }
    }

    /** Returns the number of crashed targets from which a part is blocked. */
    private int requiredCrashes(PartRecord record) {
        int crashes = record.mOnProbation ? 1 : mOptions.crashes();
        return crashes + record.survivals() / mOptions.survivalsPerCrash();
    }

    /**
     * Returns the parts to block, those with the strongest evidence first: a target that ended
     * under one of them does not count against the others, which were bystanders.
     */
    private Set<String> partsToBlock(long nowNanos) {
        List<Candidate> candidates = new ArrayList<>();
        mParts.forEach(
                (part, record) -> {
                    int required = requiredCrashes(record);
                    boolean settled =
                            record.mBlocked
                                    || nowNanos - record.lastCrashNanos() >= mOptions.settleNanos();
                    if (settled && record.mCrashedNanos.size() >= required) {
                        candidates.add(new Candidate(part, record, required));
                    }
                });
        candidates.sort(Comparator.comparingInt(Candidate::strength).reversed());
        Set<String> explained = new HashSet<>();
        Set<String> toBlock = new HashSet<>();
        for (Candidate candidate : candidates) {
            Set<String> crashed = new HashSet<>(candidate.record().mCrashedNanos.keySet());
            crashed.removeAll(explained);
            if (crashed.size() >= candidate.required()) {
                toBlock.add(candidate.part());
                explained.addAll(crashed);
            }
        }
        return toBlock;
    }

    /** Counts a target that has ended against a part whose response it broke off just before. */
    private void matchEnd(PartRecord record, String target, long nowNanos) {
        Long brokenNanos = record.mBrokenNanos.get(target);
        long endedNanos = mEnded.get(target).nanos();
        if (brokenNanos != null && Math.abs(endedNanos - brokenNanos) <= mOptions.endNanos()) {
            addCrash(record, new Sighting(target, nowNanos - endedNanos), nowNanos);
        }
    }

    private void onTargetEnded(Sighting ended, long nowNanos) {
        if (ended.ageNanos() > mOptions.endNanos()
                || mEnded.containsKey(ended.target())
                || mEnded.size() >= MAX_ENDED) {
            return;
        }
        mEnded.put(ended.target(), new Ended(nowNanos - ended.ageNanos(), ++mChange));
        mParts.values().forEach(record -> matchEnd(record, ended.target(), nowNanos));
    }

    /** Returns the number of survivals that outweighs any number of crashed targets. */
    private int maxSurvivals() {
        return mOptions.survivalsPerCrash() * (mOptions.crashes() + PartRecord.MAX_TARGETS);
    }

    /** Updates this entry's own survivals of a part. */
    private void publishSurvivals(String part, PartRecord record, long nowNanos) {
        int count = mCounts.get(part, nowNanos);
        PartRecord.Observation own = record.mSurvivals.get(mObserver);
        boolean changed = own == null ? count > 0 : own.count() != count;
        boolean renew =
                own != null
                        && count > 0
                        && nowNanos - own.nanos() >= mOptions.survivalWindowNanos();
        if ((changed || renew)
                && record.addSurvivals(
                        new Survivals(mObserver, ++mSurvivalSequence, count, 0), nowNanos)) {
            record.mChange = ++mChange;
        }
    }

    /** Returns the record of a part, which may be new; drops the least recent one if necessary. */
    private PartRecord record(String part, long nowNanos) {
        PartRecord known = mParts.get(part);
        if (known != null) {
            return known;
        }
        if (mParts.size() >= mOptions.maxParts()) {
            mParts.entrySet().stream()
                    .min(
                            (one, other) -> {
                                int byCrash =
                                        Integer.compare(
                                                one.getValue().mCrashedNanos.size(),
                                                other.getValue().mCrashedNanos.size());
                                return byCrash != 0
                                        ? byCrash
                                        : Long.compare(
                                                one.getValue().mTouchedNanos,
                                                other.getValue().mTouchedNanos);
                            })
                    .map(Map.Entry::getKey)
                    .ifPresent(mParts::remove);
        }
        PartRecord record = new PartRecord();
        record.mTouchedNanos = nowNanos;
        mParts.put(part, record);
        return record;
    }

    private void touch(PartRecord record, long nowNanos) {
        record.mTouchedNanos = nowNanos;
        record.mChange = ++mChange;
    }

    /** A part with enough evidence, unless another part explains it. */
    private record Candidate(String part, PartRecord record, int required) {
        int strength() {
            return record.mCrashedNanos.size() - required;
        }
    }

    /** When a target has ended, and the number of that change. */
    private record Ended(long nanos, long change) {}
}
