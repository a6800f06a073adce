package ebonygw.quarantine;

import ebonygw.quarantine.Evidence.PartEvidence;
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
    public Evidence changedSince(long change) {
        List<PartEvidence> parts = new ArrayList<>();
        mParts.forEach(
                (part, record) -> {
                    if (record.mChange > change) {
                        parts.add(record.toEvidence(part));
                    }
                });
        List<String> ended = new ArrayList<>();
        mEnded.forEach(
                (target, end) -> {
                    if (end.change() > change) {
                        ended.add(target);
                    }
                });
        return new Evidence(parts, ended);
    }

    /** Blocks a part by a decision that was stored before. */
    public void block(String part, List<String> crashed, long nowNanos) {
        PartRecord record = record(part, nowNanos);
        crashed.forEach(target -> addCrash(record, target, nowNanos));
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
        record.mIgnored.addAll(record.mCrashedNanos.keySet());
        record.mCrashedNanos.clear();
        record.mBrokenNanos.clear();
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
            addBroken(record(part, nowNanos), target, nowNanos);
        }
    }

    /** Handles that a response has ended, or goes on for the time of a survival. */
    public void onSurvived(Collection<String> parts, long nowNanos) {
        parts.forEach(part -> mCounts.add(part, nowNanos));
    }

    /** Handles that a target has ended without notice. */
    public void onTargetEnded(String target, long nowNanos) {
        if (mEnded.containsKey(target)) {
            return;
        }
        mEnded.put(target, new Ended(nowNanos, ++mChange));
        if (mEnded.size() > MAX_ENDED) {
            mEnded.remove(mEnded.keySet().iterator().next());
        }
        mParts.values().forEach(record -> matchEnd(record, target, nowNanos));
    }

    /** Applies the evidence of another entry. */
    public void onEvidence(Evidence evidence, long nowNanos) {
        for (PartEvidence part : evidence.parts()) {
            PartRecord record = record(part.part(), nowNanos);
            part.crashed().forEach(target -> addCrash(record, target, nowNanos));
            part.broken().forEach(target -> addBroken(record, target, nowNanos));
            for (Evidence.Survivals survivals : part.survivals()) {
                addSurvivals(record, survivals, nowNanos);
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
                                        survivals(record, nowNanos)));
                    }
                });
        mParts.values().removeIf(record -> isForgotten(record, nowNanos));
        return changes;
    }

    private void addBroken(PartRecord record, String target, long nowNanos) {
        if (record.mCrashedNanos.containsKey(target)
                || record.mIgnored.contains(target)
                || record.mBrokenNanos.putIfAbsent(target, nowNanos) != null) {
            return;
        }
        touch(record, nowNanos);
        if (mEnded.containsKey(target)) {
            matchEnd(record, target, nowNanos);
        }
    }

    private void addCrash(PartRecord record, String target, long nowNanos) {
        if (!record.mIgnored.contains(target)
                && record.mCrashedNanos.putIfAbsent(target, nowNanos) == null) {
            record.mBrokenNanos.remove(target);
            record.mBlockedNanos = nowNanos;
            touch(record, nowNanos);
        }
    }

    private void addSurvivals(PartRecord record, Evidence.Survivals survivals, long nowNanos) {
        PartRecord.Observation known = record.mSurvivals.get(survivals.observer());
        if (known == null || known.survivals().sequence() < survivals.sequence()) {
            record.mSurvivals.put(
                    survivals.observer(), new PartRecord.Observation(survivals, nowNanos));
            record.mChange = ++mChange;
        }
    }

    private boolean isForgotten(PartRecord record, long nowNanos) {
        if (record.mCrashedNanos.isEmpty() && record.mIgnored.isEmpty()) {
            return nowNanos - record.mTouchedNanos > mOptions.endNanos();
        }
        return nowNanos - record.mTouchedNanos > mOptions.forgetNanos();
    }

    /** Ends a block that has lasted long enough; one further crash blocks the part again. */
    private void endBlockIfDue(PartRecord record, long nowNanos) {
        if (!record.mBlocked || nowNanos - record.mBlockedNanos < mOptions.blockNanos()) {
            return;
        }
        while (record.mCrashedNanos.size() >= mOptions.crashes()) {
            String oldest = record.mCrashedNanos.keySet().iterator().next();
            record.mCrashedNanos.remove(oldest);
            record.mIgnored.add(oldest);
        }
    }

    /**
     * Returns the parts to block, those with the strongest evidence first: a target that ended
     * under one of them does not count against the others, which were bystanders.
     */
    private Set<String> partsToBlock(long nowNanos) {
        List<Candidate> candidates = new ArrayList<>();
        mParts.forEach(
                (part, record) -> {
                    int survivals = survivals(record, nowNanos) / mOptions.survivalsPerCrash();
                    boolean settled =
                            record.mBlocked
                                    || nowNanos - record.lastCrashNanos() >= mOptions.settleNanos();
                    if (settled && record.mCrashedNanos.size() >= mOptions.crashes() + survivals) {
                        candidates.add(new Candidate(part, record, survivals));
                    }
                });
        candidates.sort(Comparator.comparingInt(Candidate::strength).reversed());
        Set<String> explained = new HashSet<>();
        Set<String> toBlock = new HashSet<>();
        for (Candidate candidate : candidates) {
            Set<String> crashed = new HashSet<>(candidate.record().mCrashedNanos.keySet());
            crashed.removeAll(explained);
            if (crashed.size() >= mOptions.crashes() + candidate.survivals()) {
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
            addCrash(record, target, nowNanos);
        }
    }

    /** Returns the number of survivals that outweighs any number of crashed targets. */
    private int maxSurvivals() {
        return mOptions.survivalsPerCrash() * (mOptions.crashes() + PartRecord.MAX_TARGETS);
    }

    /** Updates this entry's own survivals of a part. */
    private void publishSurvivals(String part, PartRecord record, long nowNanos) {
        int count = mCounts.get(part, nowNanos);
        PartRecord.Observation own = record.mSurvivals.get(mObserver);
        boolean changed = own == null ? count > 0 : own.survivals().count() != count;
        boolean renew =
                own != null
                        && count > 0
                        && nowNanos - own.receivedNanos() >= mOptions.survivalWindowNanos();
        if (changed || renew) {
            addSurvivals(
                    record,
                    new Evidence.Survivals(mObserver, ++mSurvivalSequence, count),
                    nowNanos);
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

    private int survivals(PartRecord record, long nowNanos) {
        return record.survivals(nowNanos, 2 * mOptions.survivalWindowNanos());
    }

    private void touch(PartRecord record, long nowNanos) {
        record.mTouchedNanos = nowNanos;
        record.mChange = ++mChange;
    }

    /** A part with enough evidence, unless another part explains it. */
    private record Candidate(String part, PartRecord record, int survivals) {
        int strength() {
            return record.mCrashedNanos.size() - survivals;
        }
    }

    /** When a target has ended, and the number of that change. */
    private record Ended(long nanos, long change) {}
}
