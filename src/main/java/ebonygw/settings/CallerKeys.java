package ebonygw.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Makes and hashes callers' keys.
 *
 * <p>A key is 256 random bits and is kept nowhere; the settings know its SHA-256, which needs no
 * slow hash because a key cannot be guessed. Thread-safe.
 */
public final class CallerKeys {
    private static final String PREFIX = "egw_";
    private static final int KEY_BYTES = 32;
    private static final int PREFIX_LENGTH = 16;

    private CallerKeys() {}

    /** Returns the SHA-256 of a key or token, in lower-case hexadecimal. */
    public static String hash(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /**
     * Makes a new key.
     *
     * @param customer its customer
     * @param endsAtEpochMillis when it stops working, {@link Long#MAX_VALUE} if never
     * @param random a generator that cannot be predicted
     */
    public static NewKey make(String customer, long endsAtEpochMillis, RandomGenerator random) {
        Objects.requireNonNull(customer, "customer");
        String secret = secret(random);
        String keyId = HexFormat.of().toHexDigits(random.nextLong());
        return new NewKey(
                secret, new KeySettings(keyId, customer, hash(secret), endsAtEpochMillis));
    }

    /** Returns the part of a hash by which keys are looked up; the rest is compared after that. */
    static String prefix(String hash) {
        return hash.substring(0, Math.min(PREFIX_LENGTH, hash.length()));
    }

    /** Returns whether two hashes are the same, in a time that does not depend on where not. */
    public static boolean sameHash(String a, String b) {
        return MessageDigest.isEqual(
                a.getBytes(StandardCharsets.US_ASCII), b.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns a new random secret of 256 bits. */
    public static String secret(RandomGenerator random) {
        byte[] bytes = new byte[KEY_BYTES];
        random.nextBytes(bytes);
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    /**
     * A key that was just made.
     *
     * @param secret the key itself, to be shown once and never kept
     * @param settings what the settings keep of it
     */
    public record NewKey(String secret, KeySettings settings) {
        @Override
        public String toString() {
            return "NewKey[" + settings.keyId() + "]";
        }
    }
}
