package ebonygw.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class CallerKeysTest {
    private static final long MILLI = 1_000_000L;

    private final CallerKeys.NewKey mFirst = CallerKeys.make("c0", 1000, new Random(1));
    private final CallerKeys.NewKey mSecond = CallerKeys.make("c0", Long.MAX_VALUE, new Random(2));
    private final SettingsState mState =
            SettingsFixtures.with(
                    SettingsFixtures.with(SettingsState.EMPTY, "base", SettingsFixtures.base()),
                    "keys",
                    List.of(
                            new Edit.IssueKey(mFirst.settings()),
                            new Edit.IssueKey(mSecond.settings())));

    @Test
    void aCustomerMayHaveSeveralKeysAndOneEndsAtItsTime() {
        SettingsView view = mState.view();

        assertThat(CallerKeys.check(view, mFirst.secret(), 999 * MILLI)).isPresent();
        assertThat(CallerKeys.check(view, mFirst.secret(), 1000 * MILLI)).isEmpty();
        assertThat(CallerKeys.check(view, mSecond.secret(), 1000 * MILLI)).isPresent();
    }

    @Test
    void anUnknownOrMissingKeyIsRefused() {
        assertThat(CallerKeys.check(mState.view(), null, 0)).isEmpty();
        assertThat(CallerKeys.check(mState.view(), "", 0)).isEmpty();
        assertThat(CallerKeys.check(mState.view(), mFirst.secret() + "x", 0)).isEmpty();
        assertThat(CallerKeys.check(mState.view(), mFirst.settings().sha256Hex(), 0)).isEmpty();
    }

    @Test
    void aTargetRefusesAKeyOfAnotherCustomerAndAWithdrawnOne() {
        String keyId = mFirst.settings().keyId();
        SettingsState later =
                SettingsFixtures.with(mState, "gone", List.of(new Edit.WithdrawKey(keyId)));

        assertThat(CallerKeys.holds(mState.view(), keyId, "c0", 0)).isTrue();
        assertThat(CallerKeys.holds(mState.view(), keyId, "c1", 0)).isFalse();
        assertThat(CallerKeys.holds(mState.view(), "other", "c0", 0)).isFalse();
        assertThat(CallerKeys.holds(later.view(), keyId, "c0", 0)).isFalse();
        assertThat(mFirst.toString()).doesNotContain(mFirst.secret());
    }
}
