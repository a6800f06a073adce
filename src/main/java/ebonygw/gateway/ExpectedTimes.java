package ebonygw.gateway;

/** Expected start and completion of a request at a target, without the network. */
@FunctionalInterface
interface ExpectedTimes {
    /**
     * Returns the expected times.
     *
     * @param prefillTokens tokens to prefill until the response starts, 0 for a plain service
     * @param load number of requests that run or wait at the target
     */
    Times of(
            GatewayRequest request,
            GatewayTarget target,
            long prefillTokens,
            int load,
            long nowNanos);

    /**
     * Expected times from the dispatch of a request.
     *
     * @param startNanos time until the target starts with the response; for a plain service, the
     *     wait before it runs the request
     * @param completionNanos time by which targets are compared
     */
    record Times(long startNanos, long completionNanos) {}

    /** Returns the constants of the options, the same for every target. */
    static ExpectedTimes constants(ChooserOptions options) {
        return (request, target, prefillTokens, load, nowNanos) -> {
            int slots = target.slots(nowNanos);
            if (request.model().isEmpty()) {
                long plain = options.plainRequestNanos();
                long excess = Math.max(0, load + 1 - slots);
                return new Times(0, plain * excess / slots + plain * load / slots / 2);
            }
            long start = prefillTokens * options.prefillNanosPerToken();
            long full = options.fullTargetNanos();
            long completion = start + full * load / slots / 2;
            return new Times(
                    start, load >= slots ? completion + full * (1 + load - slots) : completion);
        };
    }
}
