package ebonygw.bench.path;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/**
 * Processor time at one moment.
 *
 * @param processNanos time of the whole process, with compiler and garbage collector
 * @param outsideNanos time of the load generator and the stand-ins in it
 */
record CpuUse(long processNanos, long outsideNanos) {
    private static final String STAND_IN = "stand-in";

    /** Returns the present use. */
    static CpuUse now() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long outside = 0;
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            if (info != null && isOutside(info.getThreadName())) {
                outside += Math.max(0, threads.getThreadCpuTime(id));
            }
        }
        OperatingSystemMXBean system =
                ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        return new CpuUse(system.getProcessCpuTime(), outside);
    }

    /** Returns the processor time of the system itself since a former moment, in nanoseconds. */
    long insideSince(CpuUse former) {
        return processNanos - former.processNanos - (outsideNanos - former.outsideNanos);
    }

    private static boolean isOutside(String thread) {
        return thread.startsWith(ClosedLoop.THREAD_NAME) || thread.startsWith(STAND_IN);
    }
}
