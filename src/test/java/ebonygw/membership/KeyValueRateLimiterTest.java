package ebonygw.membership;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.FaultInjectingKeyValueStore;
import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.keyvalue.KeyValueFaults;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.keyvalue.KeyValueRequestIds;
import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class KeyValueRateLimiterTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int MAX_REQUESTS_PER_SECOND = 300;

    @Test
    void burstIsAllowedAtOnceAndTheRateAfterwards() {
        KeyValueRateLimiter rateLimiter = new KeyValueRateLimiter(2, 3, SECOND, new Random(1));
        assertThat(allowed(rateLimiter, 0)).isEqualTo(3);
        assertThat(allowed(rateLimiter, SECOND)).isEqualTo(2);
        assertThat(allowed(rateLimiter, 1_000 * SECOND)).isEqualTo(3);
    }

    @Test
    void eachFailureDoublesTheBackoffUpToItsMaximumAndAResponseResetsIt() {
        KeyValueRateLimiter rateLimiter =
                new KeyValueRateLimiter(100, 10, 4 * SECOND, new Random(1));
        long now = 0;
        for (int failures = 0; failures < 10; failures++) {
            rateLimiter.onFailure(now);
            now += 4 * SECOND + 1;
            assertThat(rateLimiter.tryAcquire(now)).isTrue();
        }
        rateLimiter.onFailure(now);
        assertThat(rateLimiter.tryAcquire(now + 2 * SECOND - 1)).isFalse();
        rateLimiter.onResponse();
        assertThat(rateLimiter.tryAcquire(now + 2 * SECOND - 1)).isTrue();
    }

    @Test
    void fleetRecoversAfterAnOutageWithoutOverloadingTheService() {
        int processes = 1_500;
        Fleet fleet = new Fleet(processes);
        fleet.advance(100);
        fleet.mService.setFaults(KeyValueFaults.DOWN);
        fleet.advance(300);
        fleet.mService.setFaults(KeyValueFaults.NONE);
        long maxPerSecond = 0;
        for (int second = 0; second < 90; second++) {
            long before = fleet.mService.requestCount();
            fleet.advance(1);
            maxPerSecond = Math.max(maxPerSecond, fleet.mService.requestCount() - before);
        }
        assertThat(maxPerSecond).isLessThanOrEqualTo(MAX_REQUESTS_PER_SECOND);
        assertThat(fleet.mLeases).allMatch(lease -> lease.safeUntilNanos() > fleet.mNow);
    }

    private static int allowed(KeyValueRateLimiter rateLimiter, long now) {
        int count = 0;
        while (rateLimiter.tryAcquire(now)) {
            count++;
        }
        return count;
    }

    /** Processes that hold a lease with a presence key and do nothing else. */
    private static final class Fleet {
        private final FaultInjectingKeyValueStore mService;
        private final List<ProcessLease> mLeases = new ArrayList<>();
        private final List<Presence> mPresences = new ArrayList<>();
        private final List<Outbox> mOuts = new ArrayList<>();
        private long mNow = 1_000 * SECOND;

        Fleet(int processes) {
            Random random = new Random(6401);
            mService = new FaultInjectingKeyValueStore(new InMemoryKeyValueStore(), random);
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
                KeyValueRateLimiter rateLimiter = KeyValueRateLimiter.forFleetOf(processes, random);
                KeyValueRequestIds requestIds = new KeyValueRequestIds(3);
                LeaseOptions options = LeaseOptions.forFleetOf(processes);
                ProcessLease lease = new ProcessLease(options, requestIds, rateLimiter, random);
                Membership membership = new Membership(MembershipOptions.of(self), random);
                Presence presence = new Presence(membership, lease, requestIds, rateLimiter);
                mLeases.add(lease);
                mPresences.add(presence);
                mOuts.add(outbox(self.id().name(), lease, presence));
            }
        }

        void advance(int seconds) {
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
                public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
                    mService.submit(
                            name,
                            requestId,
                            request,
                            mNow,
                            response -> onResponse(requestId, response));
                }

                private void onResponse(long requestId, KeyValueResponse response) {
                    if (!lease.onResponse(requestId, response, mNow)) {
                        presence.onResponse(requestId, response, mNow);
                    }
                }

                @Override
                public void send(NodeId to, Message message) {
                    throw new IllegalStateException("the simulated process must not send messages");
                }
            };
        }
    }
}
