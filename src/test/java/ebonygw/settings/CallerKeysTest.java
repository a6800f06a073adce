package ebonygw.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class CallerKeysTest {
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
    void aCustomerMayHaveSeveralKeys() {
        SettingsView view = mState.view();

        assertThat(view.keyByHash(CallerKeys.hash(mFirst.secret()))).contains(mFirst.settings());
        assertThat(view.keyByHash(CallerKeys.hash(mSecond.secret()))).contains(mSecond.settings());
    }

    @Test
    void aHashThatDiffersAnywhereIsUnknown() {
        String hash = mFirst.settings().sha256Hex();
        for (int i = 0; i < hash.length(); i++) {
            char other = hash.charAt(i) == '0' ? '1' : '0';
            String changed = hash.substring(0, i) + other + hash.substring(i + 1);
            assertThat(mState.view().keyByHash(changed)).as("position %d", i).isEmpty();
        }
        assertThat(mState.view().keyByHash("")).isEmpty();
        assertThat(mState.view().keyByHash(hash.substring(0, 20))).isEmpty();
    }

    @Test
    void aHashIsNeverIssuedTwiceEvenAfterItsWithdrawal() {
        KeySettings again =
                new KeySettings("other", "c1", mFirst.settings().sha256Hex(), Long.MAX_VALUE);
        Edit withdrawal = new Edit.WithdrawKey(mFirst.settings().keyId());
        SettingsState later = SettingsFixtures.with(mState, "gone", List.of(withdrawal));

        assertThat(later.view().keyByHash(mFirst.settings().sha256Hex())).isEmpty();
        for (SettingsState state : List.of(mState, later)) {
            SettingsChange change =
                    SettingsFixtures.change("x", -1, List.of(new Edit.IssueKey(again)));
            assertThat(state.preview(change, version -> false).getLeft())
                    .extracting(Reason::detail)
                    .containsExactly("its hash has the same prefix as the hash of another key");
        }
    }

    @Test
    void toStringOfANewKeyDoesNotContainItsSecret() {
        assertThat(mFirst.toString()).doesNotContain(mFirst.secret());
        assertThat(mFirst.settings().toString()).doesNotContain(mFirst.secret());
    }
}
