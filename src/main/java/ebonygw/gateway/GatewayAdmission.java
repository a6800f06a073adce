package ebonygw.gateway;

import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Verdict;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Admits or refuses new requests by the state of the entry, the route and the caller's key.
 *
 * <p>Not thread-safe.
 */
final class GatewayAdmission {
    /** Retry delay while there is no configuration yet: about the duration of a start. */
    private static final long NOT_READY_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /**
     * Retry delay while the configuration is not confirmed; short, as other entries may know it.
     */
    private static final long UNCONFIRMED_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Retry delay while this entry stops; short, as the caller retries at another entry. */
    static final long STOPPING_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final OperatorState mOperator;
    private final long mMaxAgeMillis;

    /**
     * Creates an admission.
     *
     * @param maxAgeNanos age up to which the configuration decides that a route or key does not
     *     exist
     */
    GatewayAdmission(OperatorState operator, long maxAgeNanos) {
        mOperator = operator;
        mMaxAgeMillis = TimeUnit.NANOSECONDS.toMillis(maxAgeNanos);
    }

    /**
     * Admits or refuses a request; the customer's quota is checked elsewhere.
     *
     * @param exchange identifier of the exchange with the caller
     * @param stopping whether this entry is stopping and accepts no new requests
     * @return the request with its route and customer, or why it is refused
     */
    Either<Refusal, PendingRequest> admit(
            long exchange, GatewayRequest request, boolean stopping, long nowNanos) {
        if (stopping) {
            return refusal(RefusalCode.STOPPING, "", STOPPING_RETRY_NANOS);
        }
        GatewaySettings settings = mOperator.settings();
        if (settings == null) {
            return refusal(RefusalCode.NOT_READY, "no configuration", NOT_READY_RETRY_NANOS);
        }
        Optional<GatewayRoute> route = settings.route(request.host(), request.path());
        if (route.isEmpty()) {
            return refuseUnknown(RefusalCode.NOT_FOUND, nowNanos);
        }
        if (request.body().size() > settings.maxBodyBytes()) {
            return refusal(RefusalCode.TOO_LARGE, "", 0);
        }
        Optional<GatewayCustomer> customer = settings.customerByKey(request.keyHash());
        boolean needsKey = !route.get().openToAll() && !settings.customers().isEmpty();
        if (needsKey && customer.isEmpty()) {
            return refuseUnknown(RefusalCode.UNAUTHENTICATED, nowNanos);
        }
        return Either.right(
                new PendingRequest(
                        exchange,
                        request,
                        route.get(),
                        route.get().service(request.hash()),
                        customer.map(GatewayCustomer::name).orElse(""),
                        customer.map(GatewayCustomer::priority)
                                .filter(priority -> priority >= 0)
                                .orElse(route.get().priority()),
                        customer.map(it -> request.charge(it.defaultTokens())).orElse(0L),
                        nowNanos));
    }

    /**
     * Refuses a request whose route or key the configuration lacks. One that has not been confirmed
     * for a while may be outdated, so that the caller is asked to come back.
     */
    private Either<Refusal, PendingRequest> refuseUnknown(RefusalCode code, long nowNanos) {
        long ageMillis = mOperator.ageMillis(nowNanos);
        return ageMillis <= mMaxAgeMillis
                ? refusal(code, "", 0)
                : refusal(
                        RefusalCode.NOT_READY,
                        code + ", but the configuration was confirmed " + ageMillis + " ms ago",
                        UNCONFIRMED_RETRY_NANOS);
    }

    private static Either<Refusal, PendingRequest> refusal(
            RefusalCode code, String detail, long retryNanos) {
        return Either.left(new Refusal(code, Verdict.NOT_RUN, detail, retryNanos));
    }
}
