package ebonygw.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Makes and checks callers' keys.
 *
 * <p>A key is 256 random bits and is kept nowhere; the settings know its SHA-256, which needs no
 * slow hash because a key cannot be guessed. Thread-safe.
 */
public final class CallerKeys {
    private static final String PREFIX = "egw_";
    private static final int KEY_BYTES = 32;
    private static final int MAX_KEY_LENGTH = 512;

    private CallerKeys() {}

    /**
     * Checks a key that a caller presents, in a time that does not depend on the keys there are.
     *
     * @param view the settings
     * @param key what the caller presents, null for none
     * @param nowNanos the present time since the Unix epoch
     * @return the key, empty if it is unknown, withdrawn or past its end
     */
    public static Optional<KeySettings> check(SettingsView view, String key, long nowNanos) {
        if (key == null || key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
            return Optional.empty();
        }
        String hash = hash(key);
        return view.keyByHash(hash)
                .filter(known -> sameHash(known.sha256Hex(), hash))
                .filter(known -> live(known, nowNanos));
    }

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
     * Returns whether a request may run for a customer, judged by the key's identifier alone.
     *
     * @param view the settings of the process that judges
     * @param keyId identifier of the key, which the request's sender has checked
     * @param customer customer that the request says it is for
     * @param nowNanos the present time since the Unix epoch
     * @return false if the key is unknown here, withdrawn, past its end or of another customer
     */
    public static boolean holds(SettingsView view, String keyId, String customer, long nowNanos) {
        Optional<KeySettings> key = view.keyById(keyId);
        return key.isPresent()
                && key.get().customer().equals(customer)
                && live(key.get(), nowNanos);
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

    private static boolean live(KeySettings key, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos) < key.endsAtEpochMillis();
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
