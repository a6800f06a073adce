package ebonygw.settings;

/**
 * A caller's key as the settings know it; the key itself is not kept.
 *
 * @param keyId its identifier, which is no secret
 * @param customer its customer
 * @param sha256Hex SHA-256 of the key, in lower-case hexadecimal
 * @param endsAtEpochMillis when it stops working, {@link Long#MAX_VALUE} if never
 */
public record KeySettings(
        String keyId, String customer, String sha256Hex, long endsAtEpochMillis) {}
