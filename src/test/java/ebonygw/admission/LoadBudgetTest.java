package ebonygw.admission;

import static ebonygw.admission.ShareTesting.A;
import static ebonygw.admission.ShareTesting.HERE;
import static ebonygw.admission.ShareTesting.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.MemberState;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One entry process and one load budget that exchange messages without delay. */
class LoadBudgetTest {
    private static final NodeId TARGET = new NodeId("target");

    private final ShareNode mEntry =
            new ShareNode(A.id(), 1, HERE, LoadBudget.resources("store", 2, 8, 60 * SECOND));
    private final LoadBudget mBudget = new LoadBudget("store", HERE);
    private final ArrayDeque<Runnable> mPendingDeliveries = new ArrayDeque<>();
    private long mNow = SECOND;

    LoadBudgetTest() {
        mBudget.onMembers(List.of(ShareTesting.member(A, MemberState.LIVE)));
        mEntry.onPeerUp(TARGET, 1, mNow, entryOut());
        run(SECOND);
    }

    @Test
    void loadsStartAtTheStoresRate() {
        int started = 0;
        for (int i = 0; i < 200; i++) {
            long load = mBudget.tryStart(mNow, targetOut());
            if (load >= 0) {
                started++;
                mBudget.finished(load, mNow, targetOut());
            }
            run(SECOND / 20);
        }
        assertThat(started).isBetween(18, 21);
    }

    @Test
    void noMoreLoadsAreInFlightThanTheStoreAllows() {
        List<Long> open = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            long load = mBudget.tryStart(mNow, targetOut());
            if (load >= 0) {
                open.add(load);
            }
            run(SECOND / 20);
        }
        assertThat(open).hasSize(7);
        mBudget.finished(open.get(0), mNow, targetOut());
        run(SECOND);
        long load = mBudget.tryStart(mNow, targetOut());
        for (int i = 0; load < 0 && i < 40; i++) {
            run(SECOND / 20);
            load = mBudget.tryStart(mNow, targetOut());
        }
        assertThat(load).isNotNegative();
    }

    private void run(long nanos) {
        long until = mNow + nanos;
        while (mNow < until) {
            mNow += 10_000_000L;
            mEntry.onTick(mNow, entryOut());
            mBudget.onTick(mNow, targetOut());
            while (!mPendingDeliveries.isEmpty()) {
                mPendingDeliveries.poll().run();
            }
        }
    }

    private Outbox entryOut() {
        return new Outbox() {
            @Override
            public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
                KeyValueResponse response =
                        request instanceof KeyValueRequest.Range
                                ? new KeyValueResponse.RangeResult(1, List.of(), false)
                                : new KeyValueResponse.TransactionResult(2, true);
                mPendingDeliveries.add(
                        () -> mEntry.onKeyValueResponse(requestId, response, mNow, entryOut()));
            }

            @Override
            public void send(NodeId to, Message message) {
                mPendingDeliveries.add(
                        () -> mBudget.onMessage((ShareMessage) message, mNow, targetOut()));
            }
        };
    }

    private Outbox targetOut() {
        return new Outbox() {
            @Override
            public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
                throw new AssertionError("a target process sends no key-value requests for shares");
            }

            @Override
            public void send(NodeId to, Message message) {
                mPendingDeliveries.add(
                        () ->
                                mEntry.onMessage(
                                        TARGET, 1, (ShareMessage) message, mNow, entryOut()));
            }
        };
    }
}
