package ebonygw.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.keyvalue.KeyValueResponse.Changed;
import ebonygw.keyvalue.KeyValueResponse.Entry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class SharedWatchTest {
    private final List<Poll> mPolls = new ArrayList<>();
    private final List<Runnable> mScheduled = new ArrayList<>();
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
        public void poll(
                String prefix,
                long after,
                Consumer<Changed> onChanged,
                Consumer<KeyValueResponse> onFailed) {
            mPolls.add(new Poll(prefix, after, onChanged, onFailed));
        }
    }
}
