package ebonygw.bench.capacity;

import ebonygw.peer.PeerCodec;
import ebonygw.protocol.Message;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.List;
import java.util.function.Supplier;

/** Measures live heap, processor time and bytes on the wire. */
final class Meter {
    private static final int GC_RUNS = 4;
    private static final int ROUNDS = 5;
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final PeerCodec CODEC = new PeerCodec(List.of());
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private Meter() {}

    /**
     * Returns the processor time of one iteration in nanoseconds, the minimum over several rounds.
     */
    static double cpuNanos(int iterations, Runnable task) {
        double min = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            long before = THREADS.getCurrentThreadCpuTime();
            for (int i = 0; i < iterations; i++) {
                task.run();
            }
            long spent = THREADS.getCurrentThreadCpuTime() - before;
            min = Math.min(min, (double) spent / iterations);
        }
        return min;
    }

    /** Returns the live heap of the object that a supplier creates, in bytes. */
    static double heapBytes(Supplier<Object> supplier) {
        long before = usedBytes();
        Object created = supplier.get();
        long after = usedBytes();
        Reference.reachabilityFence(created);
        return Math.max(0, after - before);
    }

    /** Returns the size of a message on the wire in bytes, with its length prefix. */
    static int wireBytes(Message message) {
        return CODEC.encode(message).getSerializedSize() + LENGTH_PREFIX_BYTES;
    }

    private static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
