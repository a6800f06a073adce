package ebonygw.bench.placement;

/**
 * One request of a trace.
 *
 * @param atNanos when it reaches its entry
 * @param customer number of its customer
 * @param adapter number of its adapter, -1 for the plain service
 * @param region number of its caller's region
 * @param promptTokens tokens of the prompt
 * @param maxTokens most tokens of the answer
 * @param answerTokens tokens that the answer will have
 * @param prefixHash hash of the prompt's prefix
 * @param overRate whether it is beyond its customer's rate, as part of a burst
 * @param inBurst whether any customer sends a burst at that time
 */
record Arrival(
        long atNanos,
        int customer,
        int adapter,
        int region,
        int promptTokens,
        int maxTokens,
        int answerTokens,
        long prefixHash,
        boolean overRate,
        boolean inBurst) {}
