package ebonygw.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Finds the prompt parts that explain why targets have ended.
 *
 * <p>Parts are told apart by what was seen only: by the survivals that speak for them, and by the
 * targets that ended under them. Parts that stand equal are the cause together: only a prompt that
 * holds all of them is as dangerous as those that were seen to end targets. Collect the crashes,
 * then call {@link #explain} once. Not thread-safe.
 */
final class CrashCauses {
    /**
     * Maximum number of sets that are followed while those common to several crashes are found. It
     * bounds the work when many responses break off at once; the largest sets are kept.
     */
    private static final int MAX_SETS = 64;

    private final ToIntFunction<String> mRequiredCrashes;
    private final ToIntFunction<String> mOutlivedCrashes;
    private final Map<String, Set<String>> mTargetsByPart = new TreeMap<>();
    private final Map<String, Set<PartSet>> mPromptsByTarget = new HashMap<>();

    /**
     * Creates an object without crashes.
     *
     * @param requiredCrashes number of targets that have to end under a part to make it a cause
     * @param outlivedCrashes number of crashes that the survivals of a part over a long time
     *     outweigh; a part with no more crashes than that is a cause only if no other part is
     */
    CrashCauses(ToIntFunction<String> requiredCrashes, ToIntFunction<String> outlivedCrashes) {
        mRequiredCrashes = requiredCrashes;
        mOutlivedCrashes = outlivedCrashes;
    }

    /** Adds that a target ended under one part of a prompt. */
    void add(String target, String part, PartSet prompt) {
        mTargetsByPart.computeIfAbsent(part, p -> new HashSet<>()).add(target);
        mPromptsByTarget.computeIfAbsent(target, t -> new TreeSet<>()).add(prompt);
    }

    /** Removes targets whose end is explained already. */
    void explained(Collection<String> targets) {
        mTargetsByPart.values().forEach(it -> it.removeAll(targets));
    }

    /**
     * Returns the causes, each a set of parts that stand equal. Those with the strongest evidence
     * come first: a target that ended under them does not count against other parts, which were
     * bystanders.
     */
    Set<PartSet> explain() {
        Set<PartSet> causes = new TreeSet<>();
        List<Candidate> strongest = strongest();
        while (!strongest.isEmpty()) {
            Map<Set<String>, List<String>> partsByTargets = new HashMap<>();
            for (Candidate candidate : strongest) {
                Set<String> targets = Set.copyOf(mTargetsByPart.get(candidate.part()));
                partsByTargets
                        .computeIfAbsent(targets, t -> new ArrayList<>())
                        .add(candidate.part());
            }
            partsByTargets.forEach(
                    (targets, parts) -> {
                        causes.addAll(common(targets, parts));
                        explained(targets);
                    });
            strongest = strongest();
        }
        return causes;
    }

    private List<Candidate> strongest() {
        List<Candidate> candidates = new ArrayList<>();
        mTargetsByPart.forEach(
                (part, targets) -> {
                    int strength = targets.size() - mRequiredCrashes.applyAsInt(part);
                    if (strength >= 0) {
                        boolean outlived = mOutlivedCrashes.applyAsInt(part) >= targets.size();
                        candidates.add(new Candidate(part, outlived, strength));
                    }
                });
        return candidates.stream()
                .min(Candidate.STRONGEST_FIRST)
                .map(best -> candidates.stream().filter(it -> it.isEqualTo(best)).toList())
                .orElse(List.of());
    }

    /**
     * Returns the largest sets of some parts that one prompt held at each of some crashes.
     *
     * @param targets the targets that ended, each of them under each of the parts
     */
    private Set<PartSet> common(Set<String> targets, List<String> parts) {
        Set<PartSet> common = null;
        for (String target : targets) {
            Set<PartSet> here = new LinkedHashSet<>();
            for (PartSet prompt : mPromptsByTarget.get(target)) {
                PartSet suspected = prompt.common(parts);
                if (common == null) {
                    here.add(suspected);
                } else {
                    common.forEach(it -> here.add(it.common(suspected.ids())));
                }
            }
            here.removeIf(PartSet::isEmpty);
            common = largest(here);
        }
        return common == null ? Set.of() : common;
    }

    /** Returns the sets that are not within others. */
    private static Set<PartSet> largest(Set<PartSet> sets) {
        List<PartSet> bySize =
                sets.stream()
                        .sorted(Comparator.comparingInt((PartSet it) -> -it.ids().size()))
                        .toList();
        Set<PartSet> largest = new LinkedHashSet<>();
        for (PartSet set : bySize) {
            if (largest.size() < MAX_SETS
                    && largest.stream().noneMatch(it -> set.isWithin(it.ids()))) {
                largest.add(set);
            }
        }
        return largest;
    }

    /** A part with enough crashes to be a cause. */
    private record Candidate(String part, boolean outlived, int strength) {
        static final Comparator<Candidate> STRONGEST_FIRST =
                Comparator.comparing(Candidate::outlived)
                        .thenComparing(Candidate::strength, Comparator.reverseOrder());

        boolean isEqualTo(Candidate other) {
            return STRONGEST_FIRST.compare(this, other) == 0;
        }
    }
}
