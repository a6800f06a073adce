package ebonygw.dev;

import ebonygw.process.EntryProcess;
import ebonygw.process.FlagParser;
import ebonygw.process.RunningProcess;
import ebonygw.process.SettingsException;
import ebonygw.process.TargetProcess;
import ebonygw.settings.ChangeOutcome;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * An entry process and its target processes in this JVM, on a {@link DevPlatform}.
 *
 * <p>A graceful stop ends the entry first and the target processes after it. Thread-safe.
 */
public final class DevFleet implements RunningProcess {
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final long READY_TIMEOUT_SECONDS = 20;
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final DevPlatform mPlatform;
    private final EntryProcess mEntry;
    private final List<TargetProcess> mTargets = new ArrayList<>();

    /**
     * Starts the processes.
     *
     * @param platform the stand-ins, closed with the fleet
     * @param callerAddress listen address of the entry for callers, as {@code ip:port}
     * @param operatorAddress listen address of the entry for operators, as {@code ip:port}
     * @param credentials credentials file of the administration API, empty to disable the API
     * @throws IOException if a client cannot be created
     * @throws SettingsException if an address is malformed
     * @throws IllegalStateException if a process cannot listen on its address
     */
    public DevFleet(
            DevPlatform platform,
            String callerAddress,
            String operatorAddress,
            Optional<Path> credentials)
            throws IOException, SettingsException {
        mPlatform = platform;
        List<String> entryFlags = new ArrayList<>(commonFlags("entry-1", operatorAddress));
        entryFlags.add("--caller-address=" + callerAddress);
        entryFlags.add("--admin-address=" + ANY_PORT);
        credentials.ifPresent(file -> entryFlags.add("--admin-credentials=" + file));
        mEntry = EntryProcess.start(FlagParser.ofEntry().parse(entryFlags, Map.of()), Map.of());
        platform.addToHostList(mEntry.self());
        for (int i = 0; i < platform.engines().size(); i++) {
            InetSocketAddress engine = platform.engines().get(i).address();
            addTarget("engine-" + (i + 1), engine, "engine", DevSettings.MODEL);
        }
        addTarget("service-1", platform.service().address(), "service", DevSettings.SERVICE);
    }

    /**
     * Submits the initial settings and waits until all processes are ready.
     *
     * @param customer name of the customer that a key is issued to
     * @param keyHash SHA-256 of the key in lower-case hexadecimal
     * @throws IllegalStateException if the settings are not accepted, or a process is not ready in
     *     time
     * @throws InterruptedException if interrupted while waiting
     */
    public void initialize(String customer, String keyHash) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        submitInitialSettings(customer, keyHash);
        await(
                deadlineNanos,
                mEntry::ready,
                "the entry process is not ready after " + READY_TIMEOUT_SECONDS + " s");
        for (TargetProcess target : mTargets) {
            await(
                    deadlineNanos,
                    target::ready,
                    "target process not ready after "
                            + READY_TIMEOUT_SECONDS
                            + " s: "
                            + target.self().id());
        }
    }

    @Override
    public void requestStop() {
        mEntry.requestStop();
    }

    @Override
    public boolean awaitExit(long timeoutNanos) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeoutNanos;
        if (!mEntry.awaitExit(timeoutNanos)) {
            return false;
        }
        mTargets.forEach(TargetProcess::requestStop);
        for (TargetProcess target : mTargets) {
            if (!target.awaitExit(Math.max(0, deadlineNanos - System.nanoTime()))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        mEntry.close();
        mTargets.forEach(TargetProcess::close);
        mPlatform.close();
    }

    @Override
    public Map<String, Object> dump() throws InterruptedException {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("entry", mEntry.dump());
        for (TargetProcess target : mTargets) {
            dump.put(target.self().id().name(), target.dump());
        }
        return dump;
    }

    /** Returns the entry process. */
    public EntryProcess entry() {
        return mEntry;
    }

    /** Returns the target processes. */
    public List<TargetProcess> targets() {
        return List.copyOf(mTargets);
    }

    @FunctionalInterface
    private interface Condition {
        boolean holds();
    }

    private static void await(long deadlineNanos, Condition condition, String timeoutMessage)
            throws InterruptedException {
        while (!condition.holds()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(timeoutMessage);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void addTarget(String id, InetSocketAddress address, String kind, String serves)
            throws IOException, SettingsException {
        List<String> flags = new ArrayList<>(commonFlags(id, ANY_PORT));
        flags.add("--target=" + DevPlatform.toHostPort(address));
        flags.add("--kind=" + kind);
        flags.add("--serves=" + serves);
        TargetProcess target =
                TargetProcess.start(FlagParser.ofTarget().parse(flags, Map.of()), Map.of());
        mTargets.add(target);
        mPlatform.addToHostList(target.self());
    }

    private List<String> commonFlags(String id, String operatorAddress) {
        List<String> flags = new ArrayList<>(mPlatform.flags());
        flags.add("--id=" + id);
        flags.add("--region=kingston");
        flags.add("--data-center=kingston-1");
        flags.add("--peer-address=" + ANY_PORT);
        flags.add("--operator-address=" + operatorAddress);
        flags.add("--stop-timeout=10");
        return flags;
    }

    private void submitInitialSettings(String customer, String keyHash)
            throws InterruptedException {
        try {
            ChangeOutcome outcome =
                    mEntry.submit(DevSettings.initialChange(customer, keyHash))
                            .get(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (!(outcome instanceof ChangeOutcome.Accepted)) {
                throw new IllegalStateException("initial settings not accepted: " + outcome);
            }
        } catch (ExecutionException | TimeoutException failure) {
            throw new IllegalStateException("no outcome for the initial settings", failure);
        }
    }
}
