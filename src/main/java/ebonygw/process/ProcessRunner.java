package ebonygw.process;

import ebonygw.log.LogLine;
import ebonygw.log.Logs;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs a process until it exits; a termination signal requests a graceful stop with a timeout.
 *
 * <p>The exit status is 0 after a graceful stop. If the stop times out, the state of the process is
 * logged and the exit status is 1.
 */
public final class ProcessRunner {
    /** Time allowed to the process in addition to the stop timeout of its node. */
    private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final RunningProcess mProcess;
    private final long mStopTimeoutNanos;
    private final AtomicBoolean mClosing = new AtomicBoolean();
    private final CompletableFuture<Integer> mStatus = new CompletableFuture<>();

    private ProcessRunner(RunningProcess process, long stopTimeoutNanos) {
        mProcess = Objects.requireNonNull(process, "process");
        mStopTimeoutNanos = stopTimeoutNanos;
    }

    /**
     * Waits until a process exits.
     *
     * @param process the process, already started
     * @param stopTimeoutNanos maximum duration of a graceful stop of its node
     * @return the exit status
     * @throws InterruptedException if interrupted while waiting
     */
    public static int run(RunningProcess process, long stopTimeoutNanos)
            throws InterruptedException {
        ProcessRunner runner = new ProcessRunner(process, stopTimeoutNanos);
        Runtime.getRuntime().addShutdownHook(new Thread(runner::onSignal, "stop"));
        process.awaitExit(Long.MAX_VALUE);
        return runner.end(true);
    }

    /**
     * Stops a process gracefully; if the stop times out, logs the state of the process.
     *
     * @param stopTimeoutNanos maximum duration of a graceful stop of its node
     * @return the exit status
     * @throws InterruptedException if interrupted while waiting
     */
    public static int stop(RunningProcess process, long stopTimeoutNanos)
            throws InterruptedException {
        process.requestStop();
        boolean graceful = process.awaitExit(stopTimeoutNanos + GRACE_NANOS);
        return new ProcessRunner(process, stopTimeoutNanos).end(graceful);
    }

    /**
     * Closes the process and returns its exit status.
     *
     * <p>Both the main thread and the shutdown hook call this method. The first call closes the
     * process; the second one waits until that is done and returns the same status.
     */
    private int end(boolean graceful) throws InterruptedException {
        if (!mClosing.compareAndSet(false, true)) {
            return mStatus.join();
        }
        if (!graceful) {
            LogLine.of("stop_overrun").with("remaining", mProcess.dump()).error();
        }
        mProcess.close();
        LogLine.of("stopped").with("graceful", graceful).info();
        Logs.flush();
        mStatus.complete(graceful ? 0 : 1);
        return mStatus.join();
    }

    private void onSignal() {
        if (mStatus.isDone()) {
            return;
        }
        try {
            mProcess.requestStop();
            boolean graceful = mProcess.awaitExit(mStopTimeoutNanos + GRACE_NANOS);
            Runtime.getRuntime().halt(end(graceful));
        } catch (InterruptedException interrupted) {
            LogLine.of("stop_interrupted").error(interrupted);
            Runtime.getRuntime().halt(1);
        }
    }
}
