package ebonygw.bench.shares;

import ebonygw.settings.CustomerSettings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Injects faults at random times of a run; the seed determines them all. Not thread-safe. */
final class FaultPlan {
    private static final long MAX_FAULT_GAP_NANOS = 20 * VirtualFleet.SECOND;

    private final VirtualFleet mFleet;
    private final Traffic mTraffic;
    private final List<Scenario.Fault> mKinds;
    private final Random mRandom;
    private final Map<String, CustomerSettings> mCustomers;

    FaultPlan(
            VirtualFleet fleet,
            Traffic traffic,
            Map<String, CustomerSettings> customers,
            List<Scenario.Fault> kinds,
            Random random) {
        mFleet = fleet;
        mTraffic = traffic;
        mCustomers = new HashMap<>(customers);
        mKinds = List.copyOf(kinds);
        mRandom = random;
    }

    /** Schedules faults from one virtual time until another. */
    void schedule(long from, long until) {
        long at = from;
        while (at < until) {
            mFleet.schedule(at, this::injectFault);
            at += (long) (mRandom.nextDouble() * MAX_FAULT_GAP_NANOS);
        }
    }

    private void injectFault() {
        int host = mRandom.nextInt(mFleet.entryCount());
        long shortNanos = randomSeconds(0.2, 4);
        long longNanos = randomSeconds(4, 30);
        switch (mKinds.get(mRandom.nextInt(mKinds.size()))) {
            case CRASH -> restart(host, mRandom.nextBoolean() ? shortNanos : longNanos, false);
            case PLANNED_STOP -> restart(host, shortNanos, true);
            case SHORT_PAUSE -> mFleet.pause(host, shortNanos);
            case LONG_PAUSE -> mFleet.pause(host, longNanos);
            case SERVICE_DOWN -> mFleet.failKeyValue(longNanos / 2);
            case CUT_OFF -> isolateHost(host, longNanos, mRandom.nextBoolean());
            case CUT_PAIR -> disconnectPair(host, mRandom.nextInt(mFleet.entryCount()), longNanos);
            case CUT_FROM_SERVICE -> disconnectKeyValue(host, longNanos);
            case PAUSED_AND_REPLACED -> replacePaused(host, shortNanos);
            case CRASH_WHILE_SERVICE_DOWN -> {
                mFleet.failKeyValue(longNanos / 2);
                restart(host, shortNanos, false);
            }
            case SETTINGS -> changeSettings();
            default -> throw new IllegalStateException("fault");
        }
    }

    private void changeSettings() {
        int pick = mRandom.nextInt(mCustomers.size());
        String name = mCustomers.keySet().stream().sorted().toList().get(pick);
        CustomerSettings old = mCustomers.get(name);
        double factor = new double[] {0, 0.3, 0.7, 1.5, 2}[mRandom.nextInt(5)];
        long rate = factor == 0 ? 0 : Math.max(50, (long) (old.ratePerSecond() * factor));
        long burst = factor == 0 ? 0 : Math.max(500, (long) (old.burst() * factor));
        CustomerSettings changed = new CustomerSettings(name, rate, burst, 1, 10);
        if (rate == 0) {
            CustomerSettings restored = new CustomerSettings(name, 1_000, 3_000, 1, 10);
            mFleet.schedule(mFleet.now() + randomSeconds(1, 10), () -> applySettings(restored));
        }
        applySettings(changed);
    }

    private void isolateHost(int host, long nanos, boolean blockKeyValue) {
        for (int other = 0; other < mFleet.entryCount(); other++) {
            mFleet.setPairBlocked(host, other, true);
        }
        mFleet.setKeyValueBlocked(host, blockKeyValue);
        mFleet.schedule(
                mFleet.now() + nanos,
                () -> {
                    for (int other = 0; other < mFleet.entryCount(); other++) {
                        mFleet.setPairBlocked(host, other, false);
                    }
                    mFleet.setKeyValueBlocked(host, false);
                });
    }

    private void disconnectPair(int a, int b, long nanos) {
        mFleet.setPairBlocked(a, b, true);
        mFleet.schedule(mFleet.now() + nanos, () -> mFleet.setPairBlocked(a, b, false));
    }

    private void disconnectKeyValue(int host, long nanos) {
        mFleet.setKeyValueBlocked(host, true);
        mFleet.schedule(mFleet.now() + nanos, () -> mFleet.setKeyValueBlocked(host, false));
    }

    private void applySettings(CustomerSettings customer) {
        mCustomers.put(customer.customer(), customer);
        mTraffic.setLimits(
                customer.customer(), mFleet.now(), customer.ratePerSecond(), customer.burst());
        mFleet.distributeSettings(mCustomers);
    }

    private void replacePaused(int host, long nanos) {
        mFleet.pause(host, nanos + randomSeconds(0, 15));
        mFleet.schedule(mFleet.now() + nanos, () -> mFleet.start(host));
    }

    /** Stops or kills a process and starts a new one, 6 s later if the stop is not complete. */
    private void restart(int host, long nanos, boolean planned) {
        if (planned) {
            mFleet.stop(host);
        } else {
            mFleet.kill(host);
        }
        mFleet.schedule(
                mFleet.now() + nanos + 6 * VirtualFleet.SECOND, () -> mFleet.startIfDown(host));
        mFleet.schedule(mFleet.now() + nanos, () -> mFleet.startIfDown(host));
    }

    private long randomSeconds(double min, double max) {
        return (long) ((min + (max - min) * mRandom.nextDouble()) * VirtualFleet.SECOND);
    }
}
