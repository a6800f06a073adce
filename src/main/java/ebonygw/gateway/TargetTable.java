package ebonygw.gateway;

import ebonygw.eligibility.Evacuations;
import ebonygw.eligibility.Ineligibility;
import ebonygw.protocol.NodeId;
import ebonygw.routing.RouterOptions;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The targets that an entry knows, by instance, service and loader. Not thread-safe. */
final class TargetTable {
    private final RouterOptions mOptions;
    private final Evacuations mEvacuations;
    private final Ineligibility.SourceAge mSourceAge;
    private final IncarnationNotices mNotices = new IncarnationNotices();
    private final Map<String, GatewayTarget> mById = new LinkedHashMap<>();
    private final Map<String, Map<String, GatewayTarget>> mByService = new HashMap<>();

    /** Creates a table without evacuated data centres. */
    TargetTable(RouterOptions options) {
        this(options, new Evacuations(), (source, sinceNanos, nowNanos) -> -1);
    }

    TargetTable(RouterOptions options, Evacuations evacuations, Ineligibility.SourceAge sourceAge) {
        mOptions = options;
        mEvacuations = evacuations;
        mSourceAge = sourceAge;
    }

    Collection<GatewayTarget> all() {
        return mById.values();
    }

    /** Returns a target by instance id, null if it is not registered. */
    GatewayTarget get(String id) {
        return mById.get(id);
    }

    Collection<GatewayTarget> ofService(String service) {
        return mByService.getOrDefault(service, Map.of()).values();
    }

    List<GatewayTarget> ofDataCenter(String dataCenter) {
        return mById.values().stream()
                .filter(target -> target.record().locality().dataCenter().equals(dataCenter))
                .toList();
    }

    List<GatewayTarget> ofLoader(NodeId loader) {
        return mById.values().stream().filter(t -> loader.equals(t.loader())).toList();
    }

    /**
     * Adds a target, or applies its newer registration. An incarnation that has once reported that
     * it is draining counts as leaving, whatever later registrations say: they may be older ones
     * that were restored.
     */
    GatewayTarget put(TargetRecord record, long nowNanos) {
        if (record.draining()) {
            mNotices.of(record.incarnation()).apply(TargetNotice.LEAVING, nowNanos);
        }
        GatewayTarget known = mById.get(record.id());
        if (known == null) {
            known =
                    new GatewayTarget(
                            record,
                            mNotices.of(record.incarnation()),
                            mOptions,
                            mEvacuations,
                            mSourceAge);
            mById.put(record.id(), known);
        } else {
            if (!known.record().service().equals(record.service())) {
                mByService.getOrDefault(known.record().service(), Map.of()).remove(record.id());
            }
            known.onRegistration(record, mNotices.of(record.incarnation()));
        }
        mByService
                .computeIfAbsent(record.service(), s -> new LinkedHashMap<>())
                .put(record.id(), known);
        return known;
    }

    /** Removes a target; returns it, null if it was not registered. */
    GatewayTarget remove(String id) {
        GatewayTarget known = mById.remove(id);
        if (known != null) {
            mByService.getOrDefault(known.record().service(), Map.of()).remove(id);
        }
        return known;
    }
}
