package ebonygw.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SharedPartTest {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    // Guards against the refusal of all prompts that share their first part with one that crashes.
    @Test
    void theDeeperOfTwoPartsWithTheSameEvidenceIsBlocked() {
        QuarantineOptions options = QuarantineOptions.defaults();
        PartQuarantine quarantine = new PartQuarantine(1, options);
        long nowNanos = TimeUnit.HOURS.toNanos(1);
        for (int i = 0; i < options.crashes(); i++) {
            quarantine.onBroken(List.of("a-first", "b-second"), "i-" + i, 0, nowNanos);
            quarantine.onTargetEnded("i-" + i, nowNanos);
            nowNanos += STEP_NANOS;
        }
        quarantine.onTick(nowNanos + options.settleNanos());

        assertThat(quarantine.blockedParts()).containsOnlyKeys("b-second");
    }
}
