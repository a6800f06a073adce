package ebonygw.gateway;

import ebonygw.balancing.BalancingOptions;
import ebonygw.balancing.NearlyEqualDraw;
import ebonygw.balancing.NominalTime;
import ebonygw.balancing.ServiceSpeeds;
import ebonygw.balancing.TargetSpeed;
import ebonygw.log.LogLine;
import ebonygw.protocol.Locality;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The learnt speeds of all targets of an entry, and what requests are expected to take there.
 *
 * <p>A service is evaluated by this model while its targets report how long work takes. Not
 * thread-safe.
 */
final class TargetSpeeds {
    /** Round trip to another region, which is no work of the target; 30 ms each way. */
    private static final long REGION_NETWORK_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /** Round trip to another data centre of the region; about 1 ms each way. */
    private static final long DATA_CENTER_NETWORK_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    /** Nominal time to the first event at an idle replica that has cached the whole prompt. */
    private static final long FIRST_EVENT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** Requests beyond the load bound that a target gets without loss: one running, one sent. */
    private static final int BOUND_SLACK = 2;

    /** Fraction of the load bound over which cached prompt parts lose their effect. */
    private static final double BOUND_RAMP = 0.25;

    private final ChooserOptions mCosts;
    private final ExpectedTimes mConstants;
    private final TargetTable mTargets;
    private final NearlyEqualDraw mDraw;
    private final GatewayOutbox mOut;
    private final BalancingOptions mOptions = BalancingOptions.defaults();
    private final Map<String, ServiceSpeeds> mServices = new HashMap<>();

    TargetSpeeds(ChooserOptions costs, TargetTable targets, long seed, GatewayOutbox out) {
        mCosts = costs;
        mConstants = ExpectedTimes.constants(costs);
        mTargets = targets;
        mDraw = new NearlyEqualDraw(seed);
        mOut = out;
    }

    /** Returns whether any target has reported how long work takes. */
    boolean isReported() {
        return !mServices.isEmpty();
    }

    /** Returns the round trip between two data centres. */
    static long networkNanos(Locality here, Locality there) {
        if (!here.sameRegion(there)) {
            return REGION_NETWORK_NANOS;
        }
        return here.sameDataCenter(there) ? 0 : DATA_CENTER_NETWORK_NANOS;
    }

    /** Adds to a log line what the model knows of the target that a request is sent to. */
    LogLine describe(GatewayTarget target, long predictedNanos, LogLine line, long nowNanos) {
        ServiceSpeeds service = enabled(target.record().service(), nowNanos);
        if (service == null) {
            return line;
        }
        return line.with("predicted_ms", predictedNanos / 1_000_000)
                .with("work_factor", rounded(target.mSpeed.factor(service.prior(), nowNanos)))
                .with("learnt_from", rounded(target.mSpeed.weight(nowNanos)))
                .with("work_percent", (long) target.mSpeed.percent())
                .with("work_percent_age_ms", target.mSpeed.reportAgeNanos(nowNanos) / 1_000_000);
    }

    /** Returns the numbers of all services, by service and name. */
    Map<String, Object> dump(long nowNanos) {
        Map<String, Object> dump = new LinkedHashMap<>();
        // Flat, because the metrics endpoint publishes numbers of the first two levels only.
        mServices.forEach(
                (name, service) ->
                        service.dump(nowNanos)
                                .forEach((key, value) -> dump.put(name + '.' + key, value)));
        return dump;
    }

    /**
     * Evaluates a request at targets of one service.
     *
     * @return the evaluation, null if the constants apply to the service
     */
    Evaluation evaluate(
            GatewayRequest request,
            List<GatewayTarget> targets,
            long meanPrefillTokens,
            long nowNanos) {
        ServiceSpeeds service =
                targets.isEmpty() ? null : enabled(targets.get(0).record().service(), nowNanos);
        return service == null
                ? null
                : new Evaluation(service, request, targets, meanPrefillTokens, nowNanos);
    }

    /** Applies the number of a load report; a target that reports none changes nothing. */
    void onReport(GatewayTarget target, int workPercent, long nowNanos) {
        if (workPercent == TargetLoad.NOT_REPORTED) {
            return;
        }
        String name = target.record().service();
        ServiceSpeeds service = mServices.get(name);
        if (workPercent == TargetLoad.INVALID) {
            if (target.onInvalidWorkPercent()) {
                mOut.log(LogLine.of("work_percent_invalid").with("target", target.record().id()));
            }
            if (service != null) {
                service.onInvalidReport();
            }
            return;
        }
        if (service == null || !service.isEnabled(nowNanos)) {
            mOut.log(
                    LogLine.of("balancing_enabled")
                            .with("service", name)
                            .with("target", target.record().id())
                            .with("work_percent", workPercent));
        }
        if (service == null) {
            mServices.put(name, new ServiceSpeeds(mOptions, workPercent, nowNanos));
        } else {
            service.onReport(workPercent, nowNanos);
        }
        target.mSpeed.onReport(workPercent, nowNanos);
    }

    /**
     * Registers a request that is about to be sent; call this before the target counts it.
     *
     * @return the predicted time to the first event, -1 without a model
     */
    long onSent(
            GatewayTarget target, PendingRequest pending, long meanPrefillTokens, long nowNanos) {
        ServiceSpeeds service = enabled(target.record().service(), nowNanos);
        if (service == null) {
            return -1;
        }
        long tokens = pending.mPrefillTokens + target.prefillTokens(meanPrefillTokens, nowNanos);
        NominalTime.Parts parts =
                parts(pending.mRequest, target, tokens, target.load(nowNanos), nowNanos);
        long nominal = service.nominal().nanos(parts);
        long predicted = (long) (nominal * target.mSpeed.factor(service.prior(), nowNanos));
        target.mSpeed.onSent(
                pending.mExchange,
                parts,
                nominal,
                predicted,
                networkNanos(mCosts.locality(), target.record().locality()),
                nowNanos);
        return predicted;
    }

    /** Learns from the start of a successful response. */
    void onStarted(GatewayTarget target, long exchange, long nowNanos) {
        ServiceSpeeds service = enabled(target.record().service(), nowNanos);
        if (service == null) {
            return;
        }
        TargetSpeed.Prediction prediction =
                target.mSpeed.onStarted(exchange, service.prior(), nowNanos);
        if (prediction != null) {
            service.onPrediction(prediction);
        }
        service.refresh(
                () -> mTargets.ofService(target.record().service()).stream().map(it -> it.mSpeed),
                nowNanos);
    }

    /** Handles a new incarnation of a target, which gets its work gradually. */
    void onTargetStarted(GatewayTarget target, long nowNanos) {
        // The targets that an entry reads at its own start are not new: no service is enabled then.
        if (enabled(target.record().service(), nowNanos) == null) {
            return;
        }
        target.mSpeed.onReturned(nowNanos);
        mOut.log(
                LogLine.of("target_slow_start")
                        .with("target", target.record().id())
                        .with("ms", mOptions.slowStartNanos() / 1_000_000));
    }

    /** Returns the state of a service that is evaluated by the model, null for another one. */
    private ServiceSpeeds enabled(String name, long nowNanos) {
        ServiceSpeeds service = mServices.get(name);
        return service != null && service.isEnabled(nowNanos) ? service : null;
    }

    /** Returns the parts of the time to the first event, by the constants of all targets. */
    private NominalTime.Parts parts(
            GatewayRequest request, GatewayTarget target, long tokens, int load, long nowNanos) {
        ExpectedTimes.Times times = mConstants.of(request, target, tokens, load, nowNanos);
        return new NominalTime.Parts(
                request.model().isEmpty() ? mCosts.plainRequestNanos() : FIRST_EVENT_NANOS,
                times.startNanos(),
                times.completionNanos() - times.startNanos());
    }

    private static double rounded(double value) {
        return Math.round(value * 100) / 100.0;
    }

    /** Expected times of one request at each of some targets. */
    final class Evaluation {
        private final long[] mCompletionNanos;
        private final long[] mStartNanos;
        private final double[] mCapacities;

        private Evaluation(
                ServiceSpeeds service,
                GatewayRequest request,
                List<GatewayTarget> targets,
                long meanPrefillTokens,
                long nowNanos) {
            int count = targets.size();
            mCompletionNanos = new long[count];
            mStartNanos = new long[count];
            mCapacities = new double[count];
            double[] factors = new double[count];
            double[] speeds = new double[count];
            int[] loads = new int[count];
            double regionLoad = 0;
            double regionSpeed = 0;
            for (int i = 0; i < count; i++) {
                GatewayTarget target = targets.get(i);
                factors[i] = target.mSpeed.factor(service.prior(), nowNanos);
                loads[i] = target.load(nowNanos);
                speeds[i] = target.slots(nowNanos) / factors[i];
                if (mCosts.locality().sameRegion(target.record().locality())) {
                    regionLoad += loads[i];
                    regionSpeed += speeds[i];
                }
            }
            boolean plain = request.model().isEmpty();
            String owner = request.adapter().isEmpty() ? request.model() : request.adapter();
            String[] keys = PromptCacheEstimate.keys(owner, request.promptParts());
            double fairLoad = regionSpeed > 0 ? regionLoad / regionSpeed : 0;
            for (int i = 0; i < count; i++) {
                GatewayTarget target = targets.get(i);
                long cached = 0;
                long ahead = 0;
                if (!plain) {
                    cached = target.promptCache().cachedTokens(keys, request.promptParts());
                    ahead = target.prefillTokens(meanPrefillTokens, nowNanos);
                }
                long uncached = plain ? 0 : Math.max(0, request.promptTokens() - cached);
                NominalTime.Parts parts =
                        parts(request, target, uncached + ahead, loads[i], nowNanos);
                NominalTime nominal = service.nominal();
                long started = plain ? nominal.waitNanos(parts) : nominal.nanos(parts);
                mStartNanos[i] = (long) (started * factors[i]);
                mCapacities[i] =
                        Math.min(
                                target.mHealth.capacityFraction(nowNanos),
                                target.mSpeed.capacity(nowNanos));
                long credited =
                        cached == 0 ? 0 : (long) (cached * credit(loads[i], fairLoad * speeds[i]));
                // With a fraction of its capacity, a target is as loaded as others with a multiple
                // of its requests.
                int load = (int) (loads[i] / mCapacities[i]);
                if (credited != cached || load != loads[i]) {
                    long tokens = plain ? 0 : Math.max(0, request.promptTokens() - credited);
                    parts = parts(request, target, tokens + ahead, load, nowNanos);
                }
                mCompletionNanos[i] = (long) (nominal.nanos(parts) * factors[i]);
            }
        }

        /** Returns the expected completion time at a target, by its index. */
        long completionNanos(int index) {
            return mCompletionNanos[index];
        }

        /**
         * Draws a target among those whose costs are nearly equal to the lowest.
         *
         * @param costs costs by target, {@link Long#MAX_VALUE} for those that do not take part
         * @param best index of the lowest cost
         * @return the index of the drawn target
         */
        int draw(long[] costs, int best) {
            long margin =
                    Math.max(
                            mOptions.nearNanos(),
                            (long) (mOptions.nearFraction() * mCompletionNanos[best]));
            return mDraw.pick(costs, mCapacities, costs.length, margin);
        }

        /** Returns the expected time until the response starts at a target, by its index. */
        long startNanos(int index) {
            return mStartNanos[index];
        }

        /**
         * Returns the fraction of cached prompt tokens that counts for a target: all up to the
         * bound of its load, none well above, so that a shared part is copied to another target.
         */
        private double credit(int load, double fair) {
            double bound = mOptions.loadBound() * fair + BOUND_SLACK;
            return load <= bound ? 1 : Math.max(0, 1 - (load - bound) / (BOUND_RAMP * bound));
        }
    }
}
