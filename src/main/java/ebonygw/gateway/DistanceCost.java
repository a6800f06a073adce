package ebonygw.gateway;

/** Cost of the distance of a target for a request. */
@FunctionalInterface
interface DistanceCost {
    /** Returns the cost as a time. */
    long nanos(GatewayRequest request, GatewayTarget target, long nowNanos);

    /** Returns the constant costs of another region and another data centre. */
    static DistanceCost constants(ChooserOptions options) {
        return (request, target, nowNanos) -> {
            if (!options.locality().sameRegion(target.record().locality())) {
                return options.regionNanos();
            }
            return options.locality().sameDataCenter(target.record().locality())
                    ? 0
                    : options.dataCenterNanos();
        };
    }
}
