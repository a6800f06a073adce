package ebonygw.admission;

import ebonygw.admission.ShareMessage.Assign;
import ebonygw.admission.ShareMessage.Limits;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Measures admitting and settling a request while 1,000 others are open. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class AdmissionBenchmark {
    private static final int OPEN_REQUESTS = 1_000;
    private static final long COST = 500;

    private final SingleHolderNode mNode = new SingleHolderNode();
    private long mRequestId = OPEN_REQUESTS;
    private long mNow = 2 * ShareTesting.SECOND;

    /** Runs the benchmark with the allocation profiler. */
    public static void main(String[] args) throws RunnerException {
        new Runner(
                        new OptionsBuilder()
                                .include(AdmissionBenchmark.class.getSimpleName())
                                .addProfiler(GCProfiler.class)
                                .build())
                .run();
    }

    /** Admits one request and settles the oldest open one. */
    @Benchmark
    public Admission admitAndSettle() {
        mNow++;
        mRequestId++;
        mNode.mNode.settle(mRequestId - OPEN_REQUESTS, "c", COST, 0, mNow, mNode);
        return mNode.mNode.admit(mRequestId, "c", COST, Long.MAX_VALUE, mNow, mNode);
    }

    /** A node that holds a customer's whole rate and burst. */
    private static final class SingleHolderNode implements Outbox {
        private final ShareNode mNode;

        private SingleHolderNode() {
            Resource resource = new Resource("c", 5_000_000, 5_000_000);
            mNode = new ShareNode(ShareTesting.A.id(), 1, ShareTesting.HERE, List.of(resource));
            int shard = (int) (Peers.weight(ShareNode.SHARDS, new NodeId("c")) % 16);
            long now = ShareTesting.SECOND;
            mNode.onMessage(
                    ShareTesting.B.id(),
                    1,
                    new ShareMessage.Adopt(shard, 1, ShareTesting.B, List.of(ShareTesting.A)),
                    now,
                    this);
            long units = 5_000_000L * TokenBucket.UNITS_PER_TOKEN;
            Limits limits = new Limits(0, units, units);
            mNode.onMessage(
                    ShareTesting.B.id(),
                    1,
                    new Assign("c", 1, 1, units, units, units, limits),
                    now,
                    this);
        }

        @Override
        public void sendKeyValueRequest(long requestId, KeyValueRequest call) {
            // The benchmark has no key-value service.
        }

        @Override
        public void send(NodeId to, Message message) {
            // The benchmark has no other processes.
        }
    }
}
