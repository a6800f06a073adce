package ebonygw.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Generates and hashes the API keys of callers.
 *
 * <p>A key has 256 random bits and is not stored; the settings contain its SHA-256. A slow hash is
 * not needed because a key cannot be guessed. Thread-safe.
 */
public final class CallerKeys {
    private static final String PREFIX = "egw_";
    private static final int KEY_BYTES = 32;

    /** Hexadecimal digits of a hash by which keys are looked up. */
    private static final int PREFIX_LENGTH = 16;

    private CallerKeys() {}

    /** Returns the SHA-256 of a key or token, in lower-case hexadecimal. */
    public static String hash(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /**
     * Generates a new key.
     *
     * @param customer name of its customer
     * @param endsAtEpochMillis when it expires, in milliseconds since the Unix epoch, {@link
     *     Long#MAX_VALUE} if never
     * @param random a cryptographically secure generator
     */
    public static NewKey make(String customer, long endsAtEpochMillis, RandomGenerator random) {
        Objects.requireNonNull(customer, "customer");
        String secret = secret(random);
        String keyId = HexFormat.of().toHexDigits(random.nextLong());
        return new NewKey(
                secret, new KeySettings(keyId, customer, hash(secret), endsAtEpochMillis));
    }

    /**
     * Returns the prefix of a hash by which keys are looked up, before whole hashes are compared.
     */
    static String prefix(String hash) {
        return hash.substring(0, Math.min(PREFIX_LENGTH, hash.length()));
    }

    /**
     * Returns whether two hashes are equal, in a time that does not depend on where they differ.
     */
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
     * A newly generated key.
     *
     * @param secret the key itself, which is shown once and never stored
     * @param settings its identifier, customer, hash and expiry, which are stored
     */
    public record NewKey(String secret, KeySettings settings) {
        @Override
        public String toString() {
            return "NewKey[" + settings.keyId() + "]";
        }
    }
}
