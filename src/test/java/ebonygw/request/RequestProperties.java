package ebonygw.request;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class RequestProperties {
    @Property(seed = "1", tries = 100)
    void aRefusalKeepsItsCodeWithAnotherVerdict(@ForAll RefusalCode code, @ForAll Verdict verdict) {
        Refusal refusal = Refusal.notRun(code, "x").withVerdict(verdict);

        assertThat(refusal.code()).isEqualTo(code);
        assertThat(refusal.verdict()).isEqualTo(verdict);
    }
}
