package ebonygw.bench.placement;

/**
 * One generated request. Customers, adapters and regions are identified by their index in the
 * scenario.
 *
 * @param atNanos virtual time at which the request reaches its entry
 * @param customer index of the customer
 * @param adapter index of the adapter, -1 for a request to a plain service, which has no model
 * @param region index of the caller's region
 * @param promptTokens number of tokens of the prompt
 * @param maxTokens maximum number of tokens of the response that the request allows
 * @param responseTokens number of tokens that the response will have
 * @param prefixHash hash of the prompt's prefix; an engine that has the prefix in its cache skips
 *     the prefill
 * @param overRate whether the request exceeds its customer's normal rate, as part of a burst
 * @param inBurst whether any customer sends a burst at that time
 */
record Arrival(
        long atNanos,
        int customer,
        int adapter,
        int region,
        int promptTokens,
        int maxTokens,
        int responseTokens,
        long prefixHash,
        boolean overRate,
        boolean inBurst) {}
