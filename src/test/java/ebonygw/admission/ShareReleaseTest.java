package ebonygw.admission;

import static org.assertj.core.api.Assertions.assertThat;

import ebonygw.keyvalue.InMemoryKeyValueStore;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import ebonygw.settings.FakeSettings;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Restarts of the only entry process, which no other process can take shares over from. */
class ShareReleaseTest {
    private static final long TICK_NANOS = 10_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final long MAX_TAKEOVER_NANOS = 2 * SECOND;
    private static final long RATE = 1_000;
    private static final long BURST = 2_000;

    private final InMemoryKeyValueStore mStore = new InMemoryKeyValueStore();
    private final FakeSettings mSettings = new FakeSettings().withCustomer("atlas", RATE, BURST);
    private long mNow = 1_000 * SECOND;

    @Test
    void aRestartedOnlyEntryAdmitsRequestsSoonAfterEachPlannedStop() {
        for (int incarnation = 1; incarnation <= 3; incarnation++) {
            Driver entry = new Driver(incarnation);

            entry.runUntilAdmitted(RATE / 2, incarnation == 1 ? 10 * SECOND : MAX_TAKEOVER_NANOS);
            entry.stop();
        }
    }

    @Test
    void aRestartedEntryStartsWithoutTheTokensAlreadyUsed() {
        Driver first = new Driver(1);
        first.runUntilAdmitted(BURST, 10 * SECOND);
        first.stop();
        Driver second = new Driver(2);
        second.run(SECOND / 10);

        assertThat(second.admit(BURST)).isNotEqualTo(Admission.ADMITTED);
    }

    @Test
    void anEntryHasJoinedOnceItHoldsEveryShardsLease() {
        Driver entry = new Driver(1);
        assertThat(entry.mNode.hasJoined()).isFalse();

        entry.runUntilAdmitted(RATE / 2, 10 * SECOND);
        entry.run(5 * SECOND);

        assertThat(entry.mNode.hasJoined()).isTrue();
    }

    /** One incarnation of the only entry process. */
    private final class Driver implements Outbox {
        private final ShareNode mNode;
        private final List<Runnable> mResponses = new ArrayList<>();
        private long mRequestId;

        Driver(long incarnation) {
            mNode =
                    new ShareNode(
                            new NodeId("entry-1"),
                            incarnation,
                            new Locality("region", "centre"),
                            List.of());
            mNode.onSettings(mSettings, mNow, this);
        }

        @Override
        public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
            var response = mStore.execute(request, mNow);
            mResponses.add(() -> mNode.onKeyValueResponse(requestId, response, mNow, this));
        }

        @Override
        public void send(NodeId to, Message message) {
            throw new IllegalStateException(
                    "message to " + to + ", but this fleet has one process only");
        }

        Admission admit(long tokens) {
            mRequestId++;
            return mNode.admit(mRequestId, "atlas", tokens, mNow + SECOND, mNow, this);
        }

        void run(long nanos) {
            for (long end = mNow + nanos; mNow < end; mNow += TICK_NANOS) {
                step();
            }
        }

        void runUntilAdmitted(long tokens, long maxNanos) {
            long end = mNow + maxNanos;
            Admission admission = admit(tokens);
            boolean admitted = admission == Admission.ADMITTED;
            while (!admitted && mNow < end) {
                step();
                mNow += TICK_NANOS;
                for (AdmissionDecision decision : mNode.decisions()) {
                    admitted |= decision.admission() == Admission.ADMITTED;
                    if (!admitted) {
                        admitted = admit(tokens) == Admission.ADMITTED;
                    }
                }
            }
            assertThat(admitted).isTrue();
            mNode.settle(mRequestId, "atlas", tokens, tokens, mNow, this);
        }

        void stop() {
            mNode.stop(mNow, this);
            run(4 * SECOND);
            assertThat(mNode.isHandedOver()).isTrue();
        }

        private void step() {
            mNode.onTick(mNow, this);
            List<Runnable> responses = new ArrayList<>(mResponses);
            mResponses.clear();
            responses.forEach(Runnable::run);
        }
    }
}
