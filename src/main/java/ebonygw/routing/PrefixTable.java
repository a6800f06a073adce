package ebonygw.routing;

/**
 * Maps the hash of a prompt prefix to the target that last received it, in a fixed-size table.
 *
 * <p>On a collision the newer prefix replaces the older one. The hash 0 stands for no prefix and is
 * never stored. Not thread-safe.
 */
final class PrefixTable {
    private static final int TABLE_SIZE = 1 << 14;

    private final long[] mPrefixes = new long[TABLE_SIZE];
    private final TargetState[] mTargets = new TargetState[TABLE_SIZE];

    /** Returns the target that last received the prefix, null if unknown. */
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
