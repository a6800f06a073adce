package ebonygw.membership;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.FaultyKeyValue;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueFaults;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.keyvalue.MemoryKeyValue;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ServiceBudgetTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int SEVERAL_HUNDRED = 300;

    @Test
    void burstAtOnceAndTheRateAfterwards() {
        ServiceBudget budget = new ServiceBudget(2, 3, SECOND, new Random(1));
        assertThat(allowed(budget, 0)).isEqualTo(3);
        assertThat(allowed(budget, SECOND)).isEqualTo(2);
        assertThat(allowed(budget, 1_000 * SECOND)).isEqualTo(3);
    }

    @Test
    void eachFailureDoublesTheWaitUpToItsBoundAndAnAnswerEndsIt() {
        ServiceBudget budget = new ServiceBudget(100, 10, 4 * SECOND, new Random(1));
        long now = 0;
        for (int failures = 0; failures < 10; failures++) {
            budget.failed(now);
            now += 4 * SECOND + 1;
            assertThat(budget.tryCall(now)).isTrue();
        }
        budget.failed(now);
        assertThat(budget.tryCall(now + 2 * SECOND - 1)).isFalse();
        budget.answered();
        assertThat(budget.tryCall(now + 2 * SECOND - 1)).isTrue();
    }

    @Test
    void fleetComesBackAfterAnOutageWithoutAStampede() {
        int processes = 1_500;
        Fleet fleet = new Fleet(processes);
        fleet.pass(100);
        fleet.mService.faults(KeyValueFaults.DOWN);
        fleet.pass(300);
        fleet.mService.faults(KeyValueFaults.NONE);
        long most = 0;
        for (int second = 0; second < 90; second++) {
            long before = fleet.mService.calls();
            fleet.pass(1);
            most = Math.max(most, fleet.mService.calls() - before);
        }
        assertThat(most).isLessThanOrEqualTo(SEVERAL_HUNDRED);
        assertThat(fleet.mLeases).allMatch(lease -> lease.safeUntilNanos() > fleet.mNow);
    }

    private static int allowed(ServiceBudget budget, long now) {
        int count = 0;
        while (budget.tryCall(now)) {
            count++;
        }
        return count;
    }

    /** Processes that only hold a lease with a key. */
    private static final class Fleet {
        private final FaultyKeyValue mService;
        private final List<ProcessLease> mLeases = new ArrayList<>();
        private final List<Presence> mPresences = new ArrayList<>();
        private final List<Outbox> mOuts = new ArrayList<>();
        private long mNow = 1_000 * SECOND;

        Fleet(int processes) {
            Random random = new Random(6401);
            mService = new FaultyKeyValue(new MemoryKeyValue(), random);
            for (int i = 0; i < processes; i++) {
                Member self =
                        new Member(
                                new NodeId("p" + i),
                                1,
                                Role.ENTRY,
                                MemberState.LIVE,
                                new Locality("r", "a"),
                                "10.0.0.1:1",
                                "");
                ServiceBudget budget = ServiceBudget.forFleetOf(processes, random);
                CallIds callIds = new CallIds(3);
                LeaseOptions options = LeaseOptions.forFleetOf(processes);
                ProcessLease lease = new ProcessLease(options, callIds, budget, random);
                Membership membership = new Membership(MembershipOptions.of(self), random);
                Presence presence = new Presence(membership, lease, callIds, budget);
                mLeases.add(lease);
                mPresences.add(presence);
                mOuts.add(outbox(self.id().name(), lease, presence));
            }
        }

        void pass(int seconds) {
            long end = mNow + seconds * SECOND;
            while (mNow < end) {
                mNow += 250 * MILLI;
                mService.advance(mNow);
                for (int i = 0; i < mLeases.size(); i++) {
                    mLeases.get(i).onTick(mNow, mOuts.get(i));
                    mPresences.get(i).onTick(mNow, mOuts.get(i));
                }
            }
        }

        private Outbox outbox(String name, ProcessLease lease, Presence presence) {
            return new Outbox() {
                @Override
                public void keyValue(long callId, KeyValueCall call) {
                    mService.call(name, callId, call, mNow, reply -> reply(callId, reply));
                }

                private void reply(long callId, KeyValueReply reply) {
                    if (!lease.onReply(callId, reply, mNow)) {
                        presence.onReply(callId, reply, mNow);
                    }
                }

                @Override
                public void send(NodeId to, Message message) {
                    throw new IllegalStateException("no messages");
                }
            };
        }
    }
}
