package ebonygw.caller;

/**
 * What an entry adds to the responses to callers.
 *
 * @param addsRequestId whether responses carry the request id in the field {@code x-request-id}
 * @param fractionalRetryAfter whether {@code Retry-After} is written in seconds with three
 *     decimals, not in whole seconds
 */
public record ResponseStyle(boolean addsRequestId, boolean fractionalRetryAfter) {
    /** Responses of the entry's own API. */
    public static final ResponseStyle OWN = new ResponseStyle(true, false);

    /** Responses of targets that are forwarded unchanged. */
    public static final ResponseStyle FORWARDED = new ResponseStyle(false, true);
}
