package ebonygw.gateway;

import ebonygw.gateway.GatewayFleet.Outcome;
import ebonygw.request.RefusalCode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A fleet of four entries and nine replicas with 40 sound requests a second and, at times, 2.5 with
 * a prompt part that crashes each replica that responds to it. The latter have the key and the
 * first part of sound requests.
 */
final class CrashingPromptLoad {
    static final String CRASHING = "crash";
    static final int ENTRIES = 4;
    static final int REPLICAS = 9;

    /** Time in which entries in touch have to learn what others know: the bound of the platform. */
    private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final int CRASHES = 5;
    private static final int SOUND_INTERVAL_MILLIS = 25;
    private static final int CRASHING_INTERVAL_MILLIS = 400;

    final GatewayFleet mFleet;
    final SplittableRandom mRandom;
    final List<String> mSound = new ArrayList<>();
    final List<String> mCrashing = new ArrayList<>();

    CrashingPromptLoad(long seed) {
        mRandom = new SplittableRandom(seed);
        mFleet = new GatewayFleet(seed, ENTRIES, REPLICAS);
        mFleet.mCrashingParts.add(CRASHING);
    }

    /** Sends requests for a time, those that crash replicas if wanted. */
    void run(long millis, boolean crashing) {
        for (long passed = 0; passed < millis; passed += SOUND_INTERVAL_MILLIS) {
            String first = "first" + mRandom.nextInt(3);
            mSound.add(submit(first, "second" + mRandom.nextInt(30)));
            if (crashing && passed % CRASHING_INTERVAL_MILLIS == 0) {
                mCrashing.add(submit(first, CRASHING));
            }
            mFleet.run(SOUND_INTERVAL_MILLIS);
        }
    }

    /** Sends a request with two shared parts and one of its own to any entry; returns its id. */
    String submit(String first, String second) {
        List<String> entries = List.copyOf(mFleet.mEntries.keySet());
        String entry = entries.get(mRandom.nextInt(entries.size()));
        String own = "own" + mRandom.nextInt(1 << 30);
        return mFleet.submit(entry, GatewayFleet.prompt(first, second, own));
    }

    /** Returns how many crashing requests reached replicas after the contact bound. */
    long lateArrivals() {
        if (mFleet.mCrashes.size() < CRASHES) {
            return 0;
        }
        long fifthNanos = mFleet.mCrashes.get(CRASHES - 1).nanos();
        return mFleet.arrivalsAfter(fifthNanos + CONTACT_NANOS, CRASHING);
    }

    /** Returns the sound requests that were refused for their prompt. */
    List<String> refusedSound() {
        return mSound.stream().filter(id -> isRefused(mFleet.mOutcomes.get(id))).toList();
    }

    private static boolean isRefused(Outcome outcome) {
        return outcome != null
                && !outcome.begun()
                && outcome.refusal().code() == RefusalCode.CRASHING_PROMPT;
    }
}
