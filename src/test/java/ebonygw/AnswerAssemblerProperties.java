package ebonygw;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class AnswerAssemblerProperties {
    private static final int HEAD = -1;

    @Property(seed = "11", tries = 300)
    void partsInAnyOrderAndDoubledGiveTheAnswerOnceAndInOrder(
            @ForAll @IntRange(min = 0, max = 40) int parts, @ForAll long seed) {
        List<Integer> arrivals = new ArrayList<>();
        for (int i = HEAD; i <= parts; i++) {
            arrivals.add(i);
            arrivals.add(i);
        }
        Collections.shuffle(arrivals, new Random(seed));
        AnswerAssembler assembler = new AnswerAssembler();
        List<ByteString> passed = new ArrayList<>();

        for (int arrival : arrivals) {
            passed.addAll(arrive(assembler, arrival, parts));
        }

        assertThat(assembler.whole()).isTrue();
        assertThat(passed).hasSize(parts);
        for (int i = 0; i < parts; i++) {
            assertThat(passed.get(i).toStringUtf8()).isEqualTo("part-" + i);
        }
    }

    @Property(seed = "12", tries = 300)
    void anAnswerThatLacksOnePartIsNeverWhole(
            @ForAll @IntRange(min = 1, max = 40) int parts, @ForAll @IntRange(max = 39) int pick) {
        AnswerAssembler assembler = new AnswerAssembler();
        int lost = pick % parts;

        for (int i = HEAD; i <= parts; i++) {
            if (i != lost) {
                arrive(assembler, i, parts);
            }
        }

        assertThat(assembler.whole()).isFalse();
    }

    private static List<ByteString> arrive(AnswerAssembler assembler, int arrival, int parts) {
        if (arrival == HEAD) {
            return assembler.started() ? List.of() : assembler.start();
        }
        if (arrival == parts) {
            assembler.end(parts);
            return List.of();
        }
        return assembler.accept(arrival, ByteString.copyFromUtf8("part-" + arrival));
    }
}
