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

class ResponseAssemblerProperties {
    private static final int HEAD = -1;

    @Property(seed = "11", tries = 300)
    void duplicatePartsInAnyOrderAreForwardedOnceAndInOrder(
            @ForAll @IntRange(min = 0, max = 40) int parts, @ForAll long seed) {
        List<Integer> arrivals = new ArrayList<>();
        for (int i = HEAD; i <= parts; i++) {
            arrivals.add(i);
            arrivals.add(i);
        }
        Collections.shuffle(arrivals, new Random(seed));
        ResponseAssembler assembler = new ResponseAssembler();
        List<ByteString> forwarded = new ArrayList<>();

        for (int arrival : arrivals) {
            forwarded.addAll(arrive(assembler, arrival, parts));
        }

        assertThat(assembler.isComplete()).isTrue();
        assertThat(forwarded).hasSize(parts);
        for (int i = 0; i < parts; i++) {
            assertThat(forwarded.get(i).toStringUtf8()).isEqualTo("part-" + i);
        }
    }

    @Property(seed = "12", tries = 300)
    void aResponseThatLacksAPartIsNotComplete(
            @ForAll @IntRange(min = 1, max = 40) int parts, @ForAll @IntRange(max = 39) int pick) {
        ResponseAssembler assembler = new ResponseAssembler();
        int missing = pick % parts;

        for (int i = HEAD; i <= parts; i++) {
            if (i != missing) {
                arrive(assembler, i, parts);
            }
        }

        assertThat(assembler.isComplete()).isFalse();
    }

    private static List<ByteString> arrive(ResponseAssembler assembler, int arrival, int parts) {
        if (arrival == HEAD) {
            return assembler.isStarted() ? List.of() : assembler.start();
        }
        if (arrival == parts) {
            assembler.end(parts);
            return List.of();
        }
        return assembler.accept(arrival, ByteString.copyFromUtf8("part-" + arrival));
    }
}
