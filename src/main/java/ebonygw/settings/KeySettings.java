package ebonygw.settings;

/**
 * A caller's key in the settings, which hold its hash only and not the key itself.
 *
 * @param keyId its identifier, which is not secret
 * @param customer name of its customer
 * @param sha256Hex SHA-256 of the key, in lower-case hexadecimal
 * @param endsAtEpochMillis when it expires, in milliseconds since the Unix epoch, {@link
 *     Long#MAX_VALUE} if never
 */
public record KeySettings(
        String keyId, String customer, String sha256Hex, long endsAtEpochMillis) {}
