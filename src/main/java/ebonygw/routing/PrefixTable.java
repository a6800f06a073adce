package ebonygw.routing;

/**
 * Remembers which target last got a prompt prefix, in bounded memory.
 *
 * <p>A colliding prefix replaces the former one. Not thread-safe.
 */
final class PrefixTable {
    private static final int SIZE = 1 << 14;

    private final long[] mPrefixes = new long[SIZE];
    private final TargetState[] mTargets = new TargetState[SIZE];

    TargetState get(long prefixHash) {
        int index = index(prefixHash);
        return prefixHash != 0 && mPrefixes[index] == prefixHash ? mTargets[index] : null;
    }

    void put(long prefixHash, TargetState target) {
        if (prefixHash != 0) {
            int index = index(prefixHash);
            mPrefixes[index] = prefixHash;
            mTargets[index] = target;
        }
    }

    private static int index(long prefixHash) {
        return (int) ((prefixHash * 0x9E3779B97F4A7C15L) >>> 50);
    }
}
