package ebonygw.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class PagedMapProperties {
    @Property(seed = "21", tries = 50)
    void eachVersionBehavesAsAMapAndIsImmutable(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PagedMap<String, Integer> map = PagedMap.empty();
        Map<String, Integer> expected = new HashMap<>();
        PagedMap<String, Integer> earlier = map;
        Map<String, Integer> expectedEarlier = Map.of();

        for (int round = 0; round < 20; round++) {
            PagedMap.Builder<String, Integer> builder = map.edit();
            for (int i = random.nextInt(200); i > 0; i--) {
                String key = "k" + random.nextInt(400);
                if (random.nextInt(3) == 0) {
                    builder.remove(key);
                    expected.remove(key);
                } else {
                    builder.put(key, i);
                    expected.put(key, i);
                }
            }
            map = builder.build();
            check(map, expected);
            check(earlier, expectedEarlier);
            earlier = map;
            expectedEarlier = Map.copyOf(expected);
        }
    }

    private static void check(PagedMap<String, Integer> map, Map<String, Integer> expected) {
        assertThat(map.size()).isEqualTo(expected.size());
        for (int i = 0; i < 400; i++) {
            assertThat(map.getOrElse("k" + i, null)).isEqualTo(expected.get("k" + i));
        }
        List<Integer> values = new ArrayList<>();
        map.values().forEachRemaining(values::add);
        assertThat(values).containsExactlyInAnyOrderElementsOf(expected.values());
    }
}
