package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.KeyValueResponse.Changed;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class SharedWatchTest {
    private final List<Poll> mPolls = new ArrayList<>();
    private final List<Runnable> mScheduled = new ArrayList<>();
    private final List<Runnable> mOverdueChecks = new ArrayList<>();
    private final SharedWatch mWatch = new SharedWatch(new Store());

    private record Poll(
            String prefix,
            long after,
            Consumer<Changed> answered,
            Consumer<KeyValueResponse> failed) {}

    private static Entry entry(String key, long revision) {
        return new Entry(key, ByteString.EMPTY, revision, 0);
    }

    private Poll runScheduledPoll() {
        List<Runnable> due = List.copyOf(mScheduled);
        mScheduled.clear();
        due.forEach(Runnable::run);
        return mPolls.get(mPolls.size() - 1);
    }

    private List<KeyValueResponse> subscribe(long requestId, String prefix, long after) {
        List<KeyValueResponse> replies = new ArrayList<>();
        mWatch.subscribe(requestId, prefix, after, replies::add);
        return replies;
    }

    @Test
    void aSinglePrefixIsPolledUnchanged() {
        subscribe(1, "op/", 5);

        assertThat(runScheduledPoll().prefix()).isEqualTo("op/");
        assertThat(runScheduledPoll().after()).isEqualTo(5);
    }

    @Test
    void severalPrefixesShareOnePollFromTheLowestRevision() {
        subscribe(1, "op/", 5);
        subscribe(2, "servers/", 3);

        Poll poll = runScheduledPoll();

        assertThat(mPolls).hasSize(1);
        assertThat(poll.prefix()).isEmpty();
        assertThat(poll.after()).isEqualTo(3);
    }

    @Test
    void eachSubscriberReceivesItsOwnKeysAfterItsRevision() {
        List<KeyValueResponse> operator = subscribe(1, "op/", 5);
        List<KeyValueResponse> servers = subscribe(2, "servers/", 3);

        runScheduledPoll()
                .answered()
                .accept(new Changed(9, List.of(entry("servers/a", 4), entry("op/c", 5))));

        assertThat(operator).containsExactly(new Changed(9, List.of()));
        assertThat(servers).containsExactly(new Changed(9, List.of(entry("servers/a", 4))));
        assertThat(runScheduledPoll().after()).isEqualTo(9);
    }

    @Test
    void aNewSubscriberDoesNotWaitForThePendingPoll() {
        List<KeyValueResponse> operator = subscribe(1, "op/", 5);
        Poll first = runScheduledPoll();
        List<KeyValueResponse> servers = subscribe(2, "servers/", 3);

        Poll second = runScheduledPoll();
        first.answered().accept(new Changed(8, List.of(entry("op/c", 8))));
        second.answered().accept(new Changed(8, List.of(entry("op/c", 8))));

        assertThat(second.prefix()).isEmpty();
        assertThat(operator).containsExactly(new Changed(8, List.of(entry("op/c", 8))));
        assertThat(servers).containsExactly(new Changed(8, List.of()));
    }

    @Test
    void aFailureEndsAllSubscriptions() {
        List<KeyValueResponse> operator = subscribe(1, "op/", 5);
        List<KeyValueResponse> servers = subscribe(2, "servers/", 3);
        KeyValueResponse failure = new KeyValueResponse.Failed(false, "down");

        runScheduledPoll().failed().accept(failure);

        assertThat(operator).containsExactly(failure);
        assertThat(servers).containsExactly(failure);
        assertThat(mScheduled).isEmpty();
    }

    // Guards against a change that is not seen because the connection of a poll has failed
    // silently.
    @Test
    void anOverduePollIsSentOnceMoreAndTheFirstResponseCounts() {
        List<KeyValueResponse> operator = subscribe(1, "op/", 5);
        Poll first = runScheduledPoll();
        mOverdueChecks.forEach(Runnable::run);
        Poll copy = mPolls.get(1);
        Changed changed = new Changed(8, List.of(entry("op/c", 8)));

        copy.answered().accept(changed);
        first.answered().accept(changed);

        assertThat(copy.prefix()).isEqualTo("op/");
        assertThat(copy.after()).isEqualTo(5);
        assertThat(operator).containsExactly(changed);
        assertThat(runScheduledPoll().after()).isEqualTo(8);
    }

    @Test
    void anOverduePollFailsOnceItsCopyHasFailedToo() {
        List<KeyValueResponse> operator = subscribe(1, "op/", 5);
        Poll first = runScheduledPoll();
        mOverdueChecks.forEach(Runnable::run);
        KeyValueResponse failure = new KeyValueResponse.Failed(false, "no response");

        first.failed().accept(failure);
        assertThat(operator).isEmpty();
        mPolls.get(1).failed().accept(failure);

        assertThat(operator).containsExactly(failure);
    }

    @Test
    void aPollThatWasAnsweredIsNotSentOnceMore() {
        subscribe(1, "op/", 5);
        runScheduledPoll().answered().accept(new Changed(5, List.of()));

        mOverdueChecks.forEach(Runnable::run);

        assertThat(mPolls).hasSize(1);
    }

    @Test
    void aCancelledSubscriberReceivesNothing() {
        List<KeyValueResponse> operator = subscribe(1, "op/", 5);
        subscribe(2, "servers/", 3);
        mWatch.cancel(1);

        runScheduledPoll().answered().accept(new Changed(9, List.of(entry("op/c", 9))));

        assertThat(operator).isEmpty();
        assertThat(runScheduledPoll().prefix()).isEqualTo("servers/");
    }

    private final class Store implements SharedWatch.Store {
        @Override
        public void runAfterPause(boolean events, Runnable next) {
            mScheduled.add(next);
        }

        @Override
        public void runWhenOverdue(BooleanSupplier isOverdue, Runnable task) {
            mOverdueChecks.add(
                    () -> {
                        if (isOverdue.getAsBoolean()) {
                            task.run();
                        }
                    });
        }

        @Override
        public void poll(
                String prefix,
                long after,
                Consumer<Changed> onChanged,
                Consumer<KeyValueResponse> onFailed) {
            mPolls.add(new Poll(prefix, after, onChanged, onFailed));
        }
    }
}
