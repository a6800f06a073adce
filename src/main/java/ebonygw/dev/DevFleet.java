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
 * An entry process and target processes in this Java machine, over a {@link DevPlatform}.
 *
 * <p>Its end asks all processes to stop, target processes after the entry. Thread-safe.
 */
public final class DevFleet implements RunningProcess {
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final long SETTLE_SECONDS = 20;
    private static final long POLL_MILLIS = 20;

    private final DevPlatform mPlatform;
    private final EntryProcess mEntry;
    private final List<TargetProcess> mTargets = new ArrayList<>();

    /**
     * Starts the processes.
     *
     * @param platform the stand-ins, closed with the fleet
     * @param callerAddress where the entry listens for callers, as {@code ip:port}
     * @param operatorAddress where the entry answers operators, as {@code ip:port}
     * @param credentials operators allowed to use the administration API, empty to offer none
     * @throws IOException if a client cannot be created
     * @throws SettingsException if an address is malformed
     * @throws IllegalStateException if an address cannot be listened on
     */
    public DevFleet(
            DevPlatform platform,
            String callerAddress,
            String operatorAddress,
            Optional<Path> credentials)
            throws IOException, SettingsException {
        mPlatform = platform;
        List<String> entry = new ArrayList<>(common("entry-1", operatorAddress));
        entry.add("--caller-address=" + callerAddress);
        entry.add("--admin-address=" + ANY_PORT);
        credentials.ifPresent(file -> entry.add("--admin-credentials=" + file));
        mEntry = EntryProcess.start(FlagParser.ofEntry().parse(entry, Map.of()), Map.of());
        platform.list(mEntry.self());
        for (int i = 0; i < platform.engines().size(); i++) {
            InetSocketAddress engine = platform.engines().get(i).address();
            addTarget("engine-" + (i + 1), engine, "engine", DevSettings.MODEL);
        }
        addTarget("service-1", platform.service().address(), "service", DevSettings.SERVICE);
    }

    /**
     * Puts the first settings in force and waits until all processes take requests.
     *
     * @param customer name of the customer that gets a key
     * @param keyHash SHA-256 of the key in lower-case hexadecimal
     * @throws IllegalStateException if that does not happen in time
     * @throws InterruptedException if interrupted while waiting
     */
    public void settle(String customer, String keyHash) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_SECONDS);
        submit(customer, keyHash);
        await(end, mEntry::ready, "the entry is not ready");
        for (TargetProcess target : mTargets) {
            await(end, target::ready, "not ready: " + target.self().id());
        }
    }

    @Override
    public void askStop() {
        mEntry.askStop();
    }

    @Override
    public boolean awaitExit(long timeoutNanos) throws InterruptedException {
        long end = System.nanoTime() + timeoutNanos;
        if (!mEntry.awaitExit(timeoutNanos)) {
            return false;
        }
        mTargets.forEach(TargetProcess::askStop);
        for (TargetProcess target : mTargets) {
            if (!target.awaitExit(Math.max(0, end - System.nanoTime()))) {
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

    /** Returns the entry. */
    public EntryProcess entry() {
        return mEntry;
    }

    /** Returns the target processes. */
    public List<TargetProcess> targets() {
        return List.copyOf(mTargets);
    }

    /** A condition that is waited for. */
    @FunctionalInterface
    private interface Condition {
        boolean holds();
    }

    private static void await(long end, Condition condition, String otherwise)
            throws InterruptedException {
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(otherwise);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private void addTarget(String id, InetSocketAddress address, String kind, String serves)
            throws IOException, SettingsException {
        List<String> flags = new ArrayList<>(common(id, ANY_PORT));
        flags.add("--target=" + DevPlatform.text(address));
        flags.add("--kind=" + kind);
        flags.add("--serves=" + serves);
        TargetProcess target =
                TargetProcess.start(FlagParser.ofTarget().parse(flags, Map.of()), Map.of());
        mTargets.add(target);
        mPlatform.list(target.self());
    }

    private List<String> common(String id, String operatorAddress) {
        List<String> flags = new ArrayList<>(mPlatform.flags());
        flags.add("--id=" + id);
        flags.add("--region=kingston");
        flags.add("--data-center=kingston-1");
        flags.add("--peer-address=" + ANY_PORT);
        flags.add("--operator-address=" + operatorAddress);
        flags.add("--stop-timeout=10");
        return flags;
    }

    private void submit(String customer, String keyHash) throws InterruptedException {
        try {
            ChangeOutcome outcome =
                    mEntry.submit(DevSettings.first(customer, keyHash))
                            .get(SETTLE_SECONDS, TimeUnit.SECONDS);
            if (!(outcome instanceof ChangeOutcome.Accepted)) {
                throw new IllegalStateException("the first settings: " + outcome);
            }
        } catch (ExecutionException | TimeoutException failure) {
            throw new IllegalStateException("the first settings", failure);
        }
    }
}
