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
    private static final int COLLECTIONS = 4;
    private static final int ROUNDS = 5;
    private static final int FRAME_BYTES = 4;
    private static final PeerCodec CODEC = new PeerCodec(List.of());
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private Meter() {}

    /** Returns the least processor time of a call over several rounds, in nanoseconds. */
    static double cpuNanos(int calls, Runnable call) {
        double least = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            long before = THREADS.getCurrentThreadCpuTime();
            for (int i = 0; i < calls; i++) {
                call.run();
            }
            long spent = THREADS.getCurrentThreadCpuTime() - before;
            least = Math.min(least, (double) spent / calls);
        }
        return least;
    }

    /** Returns the live heap that what a supplier makes takes, in bytes. */
    static double heapBytes(Supplier<Object> supplier) {
        long before = usedBytes();
        Object made = supplier.get();
        long after = usedBytes();
        Reference.reachabilityFence(made);
        return Math.max(0, after - before);
    }

    /** Returns the bytes of a message on a link, with the length before it. */
    static int wireBytes(Message message) {
        return CODEC.encode(message).getSerializedSize() + FRAME_BYTES;
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
