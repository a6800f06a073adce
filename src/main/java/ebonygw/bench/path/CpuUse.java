package ebonygw.bench.path;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/**
 * Processor time used up to one moment.
 *
 * @param processNanos CPU time of the whole process, JIT compiler and garbage collector included
 * @param excludedNanos CPU time of the threads of the load generator and the stand-ins, which run
 *     in the same process but are not part of the measured system
 */
record CpuUse(long processNanos, long excludedNanos) {
    private static final String STAND_IN_THREAD_PREFIX = "stand-in";

    /** Returns the processor time used so far. */
    static CpuUse now() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long excluded = 0;
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            if (info != null && isExcluded(info.getThreadName())) {
                excluded += Math.max(0, threads.getThreadCpuTime(id));
            }
        }
        OperatingSystemMXBean system =
                ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        return new CpuUse(system.getProcessCpuTime(), excluded);
    }

    /**
     * Returns the processor time of the measured system since an earlier moment, in nanoseconds.
     */
    long measuredNanosSince(CpuUse earlier) {
        return processNanos - earlier.processNanos - (excludedNanos - earlier.excludedNanos);
    }

    private static boolean isExcluded(String threadName) {
        return threadName.startsWith(ClosedLoopGenerator.THREAD_NAME)
                || threadName.startsWith(STAND_IN_THREAD_PREFIX);
    }
}
