package ebonygw.settings;

import ebonygw.protocol.NodeId;
import ebonygw.settings.SettingsMessage.Changes;
import ebonygw.settings.SettingsMessage.Fetch;
import ebonygw.settings.SettingsMessage.FetchPart;
import ebonygw.settings.SettingsMessage.Offer;
import ebonygw.settings.SettingsMessage.Part;
import ebonygw.settings.SettingsMessage.WatcherAlive;
import ebonygw.wire.SettingsProtocol.SettingsChanges;
import ebonygw.wire.SettingsProtocol.SettingsEnvelope;
import ebonygw.wire.SettingsProtocol.SettingsFetch;
import ebonygw.wire.SettingsProtocol.SettingsOffer;
import ebonygw.wire.SettingsProtocol.SettingsPart;
import ebonygw.wire.SettingsProtocol.SettingsPartFetch;
import ebonygw.wire.SettingsProtocol.SettingsWatcher;
import java.util.Optional;

/** Converts messages about the settings to and from their protobuf form. */
public final class SettingsCodec {
    private SettingsCodec() {}

    /**
     * Decodes a message.
     *
     * @return empty for a kind of message that this version does not know
     * @throws IllegalArgumentException if a field is out of its bounds
     */
    public static Optional<SettingsMessage> decode(SettingsEnvelope envelope) {
        return switch (envelope.getKindCase()) {
            case OFFER -> Optional.of(new Offer(natural(envelope.getOffer().getRevision())));
            case FETCH -> Optional.of(new Fetch(natural(envelope.getFetch().getAfter())));
            case CHANGES -> Optional.of(new Changes(envelope.getChanges().getStoredList()));
            case PART_FETCH ->
                    Optional.of(
                            new FetchPart(
                                    natural(envelope.getPartFetch().getRevision()),
                                    (int) natural(envelope.getPartFetch().getIndex())));
            case PART -> Optional.of(part(envelope.getPart()));
            case WATCHER ->
                    Optional.of(
                            new WatcherAlive(
                                    new NodeId(envelope.getWatcher().getWatcher()),
                                    envelope.getWatcher().getSequence()));
            case KIND_NOT_SET -> Optional.empty();
        };
    }

    /** Encodes a message. */
    public static SettingsEnvelope encode(SettingsMessage message) {
        SettingsEnvelope.Builder envelope = SettingsEnvelope.newBuilder();
        if (message instanceof Offer offer) {
            envelope.setOffer(SettingsOffer.newBuilder().setRevision(offer.revision()));
        } else if (message instanceof Fetch fetch) {
            envelope.setFetch(SettingsFetch.newBuilder().setAfter(fetch.after()));
        } else if (message instanceof Changes changes) {
            envelope.setChanges(SettingsChanges.newBuilder().addAllStored(changes.stored()));
        } else if (message instanceof FetchPart fetch) {
            envelope.setPartFetch(
                    SettingsPartFetch.newBuilder()
                            .setRevision(fetch.revision())
                            .setIndex(fetch.index()));
        } else if (message instanceof Part part) {
            envelope.setPart(
                    SettingsPart.newBuilder()
                            .setRevision(part.revision())
                            .setChecksum(part.checksum())
                            .setIndex(part.index())
                            .setCount(part.count())
                            .setData(part.data()));
        } else if (message instanceof WatcherAlive alive) {
            envelope.setWatcher(
                    SettingsWatcher.newBuilder()
                            .setWatcher(alive.watcher().name())
                            .setSequence(alive.sequence()));
        }
        return envelope.build();
    }

    private static long natural(long number) {
        if (number < 0) {
            throw new IllegalArgumentException("number must not be negative: " + number);
        }
        return number;
    }

    private static Part part(SettingsPart part) {
        int count = part.getCount();
        if (count < 1 || part.getIndex() < 0 || part.getIndex() >= count) {
            throw new IllegalArgumentException(
                    "invalid part of a snapshot: index " + part.getIndex() + " of " + count);
        }
        return new Part(
                natural(part.getRevision()),
                part.getChecksum(),
                part.getIndex(),
                count,
                part.getData());
    }
}
