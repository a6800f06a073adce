package ebonygw.peer;

import ebonygw.gateway.GatewayMessage;
import ebonygw.gateway.QuotaStanding;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.quarantine.Evidence;
import ebonygw.quarantine.PartSet;
import ebonygw.targetlimit.KnownLimit;
import ebonygw.targetlimit.NamedLimit;
import ebonygw.wire.PeerProtocol.AdapterNeed;
import ebonygw.wire.PeerProtocol.AdapterNeeds;
import ebonygw.wire.PeerProtocol.CustomerTokens;
import ebonygw.wire.PeerProtocol.EntryUsage;
import ebonygw.wire.PeerProtocol.Envelope;
import ebonygw.wire.PeerProtocol.GatewayUsage;
import ebonygw.wire.PeerProtocol.PartEvidence;
import ebonygw.wire.PeerProtocol.PromptEvidence;
import ebonygw.wire.PeerProtocol.Sighting;
import ebonygw.wire.PeerProtocol.Survivals;
import ebonygw.wire.PeerProtocol.TargetLimit;
import ebonygw.wire.PeerProtocol.TargetLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Converts {@link GatewayMessage}s to and from protobuf. */
final class GatewayFamilyCodec implements FamilyCodec {
    GatewayFamilyCodec() {}

    @Override
    public Optional<Message> decode(Envelope envelope) {
        return switch (envelope.getKindCase()) {
            case ADAPTER_NEEDS -> Optional.of(needs(envelope.getAdapterNeeds()));
            case GATEWAY_USAGE -> Optional.of(usage(envelope.getGatewayUsage()));
            case PROMPT_EVIDENCE -> Optional.of(evidence(envelope.getPromptEvidence()));
            case TARGET_LIMITS -> Optional.of(limits(envelope.getTargetLimits()));
            case TARGET_ENDED ->
                    Optional.of(
                            new GatewayMessage.TargetEnded(
                                    envelope.getTargetEnded().getIncarnation()));
            case PREFILL_BACKLOG ->
                    Optional.of(
                            new GatewayMessage.PrefillBacklog(
                                    envelope.getPrefillBacklog().getTokens()));
            case OPEN_PLACES ->
                    Optional.of(
                            new GatewayMessage.OpenAdapterSlots(
                                    envelope.getOpenPlaces().getCount()));
            default -> Optional.empty();
        };
    }

    @Override
    public Optional<Envelope> encode(Message message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof GatewayMessage.AdapterNeeds needs) {
            encode(needs, envelope.getAdapterNeedsBuilder());
        } else if (message instanceof GatewayMessage.OpenAdapterSlots places) {
            envelope.getOpenPlacesBuilder().setCount(places.count());
        } else if (message instanceof GatewayMessage.PrefillBacklog backlog) {
            envelope.getPrefillBacklogBuilder().setTokens(backlog.tokens());
        } else if (message instanceof GatewayMessage.PromptEvidence evidence) {
            encode(evidence.evidence(), envelope.getPromptEvidenceBuilder());
        } else if (message instanceof GatewayMessage.TargetEnded ended) {
            envelope.getTargetEndedBuilder().setIncarnation(ended.incarnation());
        } else if (message instanceof GatewayMessage.TargetLimits limits) {
            encode(limits, envelope.getTargetLimitsBuilder());
        } else if (message instanceof GatewayMessage.Usage usage) {
            encode(usage, envelope.getGatewayUsageBuilder());
        } else {
            return Optional.empty();
        }
        return Optional.of(envelope.build());
    }

    private static void encode(GatewayMessage.AdapterNeeds needs, AdapterNeeds.Builder to) {
        for (GatewayMessage.AdapterNeed need : needs.needs()) {
            to.addNeedsBuilder()
                    .setAdapter(need.adapter())
                    .setVersion(need.version())
                    .setWaiting(need.waiting())
                    .setPunctual(need.punctual())
                    .setRunning(need.running())
                    .setSent(need.sent());
        }
    }

    private static void encode(Evidence evidence, PromptEvidence.Builder to) {
        for (Evidence.PartEvidence part : evidence.parts()) {
            PartEvidence.Builder row = to.addPartsBuilder().setPart(part.parts().toString());
            part.crashed().forEach(it -> encode(it, row.addCrashedBuilder()));
            part.broken().forEach(it -> encode(it, row.addBrokenBuilder()));
            for (Evidence.Survivals survivals : part.survivals()) {
                row.addSurvivalsBuilder()
                        .setObserver(survivals.observer())
                        .setSequence(survivals.sequence())
                        .setCount(survivals.count())
                        .setRemembered(survivals.remembered())
                        .setAgeMillis(millis(survivals.ageNanos()));
            }
        }
        evidence.endedTargets().forEach(it -> encode(it, to.addEndedTargetsBuilder()));
    }

    private static void encode(Evidence.Sighting sighting, Sighting.Builder to) {
        to.setTarget(sighting.target()).setAgeMillis(millis(sighting.ageNanos()));
    }

    private static int millis(long nanos) {
        return (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    private static void encode(GatewayMessage.TargetLimits limits, TargetLimits.Builder to) {
        for (KnownLimit known : limits.limits()) {
            TargetLimit.Builder limit =
                    to.addLimitsBuilder()
                            .setIncarnation(known.incarnation())
                            .setVersion(known.version())
                            .setConfirmations(known.confirmations());
            if (known.perSecond() != NamedLimit.UNLIMITED) {
                limit.setPerSecond(known.perSecond());
            }
        }
    }

    private static void encode(GatewayMessage.Usage usage, GatewayUsage.Builder to) {
        to.setWanted(usage.wanted());
        for (GatewayMessage.EntryUsage entry : usage.entries()) {
            EntryUsage.Builder row =
                    to.addEntriesBuilder()
                            .setEntry(entry.entry().name())
                            .setIncarnation(entry.incarnation())
                            .setSequence(entry.sequence());
            for (GatewayMessage.CustomerTokens tokens : entry.charged()) {
                CustomerTokens.Builder charged =
                        row.addChargedBuilder()
                                .setCustomer(tokens.customer())
                                .setTokens(tokens.tokens())
                                .setSequence(tokens.sequence());
                if (tokens.standing().isReported()) {
                    charged.setDemand(tokens.standing().demand())
                            .setSmallDemand(tokens.standing().smallDemand())
                            .setLevel(tokens.standing().level());
                }
            }
        }
    }

    private static GatewayMessage.PromptEvidence evidence(PromptEvidence from) {
        List<Evidence.PartEvidence> parts = new ArrayList<>();
        for (PartEvidence row : from.getPartsList()) {
            List<Evidence.Survivals> survivals = new ArrayList<>();
            for (Survivals value : row.getSurvivalsList()) {
                survivals.add(
                        new Evidence.Survivals(
                                value.getObserver(),
                                value.getSequence(),
                                value.getCount(),
                                value.getRemembered(),
                                TimeUnit.MILLISECONDS.toNanos(value.getAgeMillis())));
            }
            parts.add(
                    new Evidence.PartEvidence(
                            PartSet.parse(row.getPart()),
                            sightings(row.getCrashedList()),
                            sightings(row.getBrokenList()),
                            survivals));
        }
        return new GatewayMessage.PromptEvidence(
                new Evidence(parts, sightings(from.getEndedTargetsList())));
    }

    private static List<Evidence.Sighting> sightings(List<Sighting> from) {
        return from.stream()
                .map(
                        it ->
                                new Evidence.Sighting(
                                        it.getTarget(),
                                        TimeUnit.MILLISECONDS.toNanos(it.getAgeMillis())))
                .toList();
    }

    private static GatewayMessage.TargetLimits limits(TargetLimits from) {
        List<KnownLimit> limits = new ArrayList<>();
        for (TargetLimit limit : from.getLimitsList()) {
            limits.add(
                    new KnownLimit(
                            limit.getIncarnation(),
                            limit.hasPerSecond() ? limit.getPerSecond() : NamedLimit.UNLIMITED,
                            limit.getVersion(),
                            limit.getConfirmations()));
        }
        return new GatewayMessage.TargetLimits(limits);
    }

    private static GatewayMessage.AdapterNeeds needs(AdapterNeeds from) {
        List<GatewayMessage.AdapterNeed> needs = new ArrayList<>();
        for (AdapterNeed need : from.getNeedsList()) {
            needs.add(
                    new GatewayMessage.AdapterNeed(
                            need.getAdapter(),
                            need.getVersion(),
                            need.getWaiting(),
                            need.getPunctual(),
                            need.getRunning(),
                            need.getSent()));
        }
        return new GatewayMessage.AdapterNeeds(needs);
    }

    private static GatewayMessage.Usage usage(GatewayUsage from) {
        List<GatewayMessage.EntryUsage> entries = new ArrayList<>();
        for (EntryUsage row : from.getEntriesList()) {
            List<GatewayMessage.CustomerTokens> charged = new ArrayList<>();
            for (CustomerTokens tokens : row.getChargedList()) {
                charged.add(
                        new GatewayMessage.CustomerTokens(
                                tokens.getCustomer(),
                                tokens.getTokens(),
                                tokens.getSequence(),
                                tokens.hasDemand()
                                        ? new QuotaStanding(
                                                tokens.getDemand(),
                                                tokens.getSmallDemand(),
                                                tokens.getLevel())
                                        : QuotaStanding.NONE));
            }
            entries.add(
                    new GatewayMessage.EntryUsage(
                            new NodeId(row.getEntry()),
                            row.getIncarnation(),
                            row.getSequence(),
                            charged));
        }
        return new GatewayMessage.Usage(from.getWanted(), entries);
    }
}
