package ebonygw.process;

import ebonygw.log.LogLine;
import ebonygw.log.Logs;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs a process to its end: a signal to terminate asks it to stop gracefully, within a bound.
 *
 * <p>The exit status is 0 after a graceful stop and 1 if the bound was reached; what remained is
 * logged then.
 */
public final class ProcessRunner {
    private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final RunningProcess mProcess;
    private final long mStopTimeoutNanos;
    private final AtomicBoolean mEnding = new AtomicBoolean();
    private final CompletableFuture<Integer> mStatus = new CompletableFuture<>();

    private ProcessRunner(RunningProcess process, long stopTimeoutNanos) {
        mProcess = Objects.requireNonNull(process, "process");
        mStopTimeoutNanos = stopTimeoutNanos;
    }

    /**
     * Waits for a process to end.
     *
     * @param process the process, already started
     * @param stopTimeoutNanos longest time that its node takes to stop
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
     * Stops a process gracefully, or reports what remained.
     *
     * @param process the process
     * @param stopTimeoutNanos longest time that its node takes to stop
     * @return the exit status
     * @throws InterruptedException if interrupted while waiting
     */
    public static int stop(RunningProcess process, long stopTimeoutNanos)
            throws InterruptedException {
        process.askStop();
        boolean graceful = process.awaitExit(stopTimeoutNanos + GRACE_NANOS);
        return new ProcessRunner(process, stopTimeoutNanos).end(graceful);
    }

    /**
     * Ends the process once, on the thread that saw its end first; a second one, be it the signal's
     * or the main thread, gets the same status when that is done.
     */
    private int end(boolean graceful) throws InterruptedException {
        if (!mEnding.compareAndSet(false, true)) {
            return mStatus.join();
        }
        if (!graceful) {
            LogLine.of("stop_overrun").with("remaining", mProcess.dump()).error();
        }
        mProcess.close();
        LogLine.of("stopped").with("graceful", graceful).info();
        Logs.drain();
        mStatus.complete(graceful ? 0 : 1);
        return mStatus.join();
    }

    private void onSignal() {
        if (mStatus.isDone()) {
            return;
        }
        try {
            mProcess.askStop();
            boolean graceful = mProcess.awaitExit(mStopTimeoutNanos + GRACE_NANOS);
            Runtime.getRuntime().halt(end(graceful));
        } catch (InterruptedException interrupted) {
            LogLine.of("stop_interrupted").error(interrupted);
            Runtime.getRuntime().halt(1);
        }
    }
}
