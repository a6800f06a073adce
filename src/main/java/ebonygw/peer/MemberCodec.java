package ebonygw.peer;

import ebonygw.membership.MemberMessage;
import ebonygw.membership.MemberValues;
import ebonygw.protocol.Message;
import ebonygw.request.AdapterVersion;
import ebonygw.wire.PeerProtocol;
import ebonygw.wire.PeerProtocol.Envelope;
import java.util.List;
import java.util.Optional;

/** Converts {@link MemberMessage}s to and from protobuf. */
final class MemberCodec implements FamilyCodec {
    /** Protocol version of this implementation; later versions are backward compatible. */
    static final int PROTOCOL_VERSION = 1;

    MemberCodec() {}

    @Override
    public Optional<Message> decode(Envelope envelope) {
        switch (envelope.getKindCase()) {
            case HELLO:
                return Optional.of(
                        new MemberMessage.Hello(
                                MemberValues.fromWire(envelope.getHello().getSelf()),
                                envelope.getHello().getSettingsRevision()));
            case HEARTBEAT:
                return Optional.of(
                        new MemberMessage.Heartbeat(
                                envelope.getHeartbeat().getSequence(),
                                envelope.getHeartbeat().getSettingsRevision()));
            case REPORT:
                return Optional.of(report(envelope.getReport()));
            case PREFETCH:
                return versions(List.of(envelope.getPrefetch().getAdapter())).stream()
                        .<Message>map(MemberMessage.Prefetch::new)
                        .findFirst();
            case LOAD:
                return Optional.of(load(envelope.getLoad()));
            case DIGEST:
                return Optional.of(
                        new MemberMessage.MemberDigest(envelope.getDigest().getBucketsList()));
            case UPDATES:
                return Optional.of(
                        new MemberMessage.MemberUpdates(
                                envelope.getUpdates().getMembersList().stream()
                                        .map(MemberValues::fromWire)
                                        .toList(),
                                envelope.getUpdates().getNews()));
            default:
                return Optional.empty();
        }
    }

    @Override
    public Optional<Envelope> encode(Message message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof MemberMessage.Hello hello) {
            envelope.getHelloBuilder()
                    .setSelf(MemberValues.toWire(hello.self()))
                    .setSettingsRevision(hello.settingsRevision())
                    .setProtocolVersion(PROTOCOL_VERSION);
        } else if (message instanceof MemberMessage.Heartbeat heartbeat) {
            envelope.getHeartbeatBuilder()
                    .setSequence(heartbeat.sequence())
                    .setSettingsRevision(heartbeat.settingsRevision());
        } else if (message instanceof MemberMessage.TargetReport report) {
            envelope.setReport(report(report));
        } else if (message instanceof MemberMessage.Prefetch prefetch) {
            envelope.getPrefetchBuilder().setAdapter(RequestCodec.encode(prefetch.adapter()));
        } else if (message instanceof MemberMessage.TargetLoad load) {
            envelope.getLoadBuilder()
                    .setSequence(load.sequence())
                    .setRunning(load.running())
                    .setQueued(load.queued())
                    .setConcurrency(load.concurrency())
                    .setQueuedTokens(load.queuedTokens());
        } else if (message instanceof MemberMessage.MemberDigest digest) {
            envelope.getDigestBuilder().addAllBuckets(digest.buckets());
        } else if (message instanceof MemberMessage.MemberUpdates updates) {
            envelope.getUpdatesBuilder().setNews(updates.news());
            updates.members().stream()
                    .map(MemberValues::toWire)
                    .forEach(envelope.getUpdatesBuilder()::addMembers);
        } else {
            return Optional.empty();
        }
        return Optional.of(envelope.build());
    }

    private static MemberMessage.TargetLoad load(PeerProtocol.TargetLoad load) {
        return new MemberMessage.TargetLoad(
                load.getSequence(),
                load.getRunning(),
                load.getQueued(),
                load.getConcurrency(),
                load.getQueuedTokens());
    }

    private static PeerProtocol.TargetReport report(MemberMessage.TargetReport report) {
        PeerProtocol.TargetReport.Builder builder =
                PeerProtocol.TargetReport.newBuilder()
                        .setSequence(report.sequence())
                        .setRunning(report.running())
                        .setQueued(report.queued())
                        .setConcurrency(report.concurrency())
                        .setQueuedTokens(report.queuedTokens());
        report.resident().forEach(adapter -> builder.addResident(RequestCodec.encode(adapter)));
        report.loading().forEach(adapter -> builder.addLoading(RequestCodec.encode(adapter)));
        return builder.build();
    }

    private static MemberMessage.TargetReport report(PeerProtocol.TargetReport report) {
        return new MemberMessage.TargetReport(
                report.getSequence(),
                report.getRunning(),
                report.getQueued(),
                report.getConcurrency(),
                report.getQueuedTokens(),
                versions(report.getResidentList()),
                versions(report.getLoadingList()));
    }

    private static List<AdapterVersion> versions(List<PeerProtocol.AdapterVersion> versions) {
        return versions.stream().map(RequestCodec::decode).toList();
    }
}
