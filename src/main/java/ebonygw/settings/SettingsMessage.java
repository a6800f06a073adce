package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.List;
import java.util.Objects;

/** Messages by which processes exchange the settings. */
public sealed interface SettingsMessage extends Message {
    /**
     * Consecutive changes in the order of their revisions.
     *
     * @param stored their stored forms
     */
    record Changes(List<ByteString> stored) implements SettingsMessage {
        /** Creates the message. */
        public Changes {
            stored = List.copyOf(stored);
        }
    }

    /**
     * Requests the changes after a revision. The response is {@link Changes}, the first {@link
     * Part} of a snapshot if they are no longer retained, or an {@link Offer} if there are none.
     *
     * @param after newest revision that the sender holds
     */
    record Fetch(long after) implements SettingsMessage {}

    /**
     * Requests a part of a snapshot.
     *
     * @param revision revision of the snapshot
     * @param index index of the part, from 0
     */
    record FetchPart(long revision, int index) implements SettingsMessage {}

    /**
     * Reports the revision that the sender holds.
     *
     * @param revision the revision
     */
    record Offer(long revision) implements SettingsMessage {}

    /**
     * A part of a snapshot.
     *
     * @param revision revision of the snapshot
     * @param checksum checksum of the whole snapshot
     * @param index index of the part, from 0
     * @param count number of parts
     * @param data bytes of the part
     */
    record Part(long revision, long checksum, int index, int count, ByteString data)
            implements SettingsMessage {
        /** Creates the message. */
        public Part {
            Objects.requireNonNull(data, "data");
        }
    }

    /**
     * Heartbeat of a watcher that has contact with the key-value service; forwarded by gossip over
     * any number of hops.
     *
     * @param watcher name of the watcher
     * @param sequence number that increases with each heartbeat of the watcher
     */
    record WatcherAlive(NodeId watcher, long sequence) implements SettingsMessage {
        /** Creates the message. */
        public WatcherAlive {
            Objects.requireNonNull(watcher, "watcher");
        }
    }
}
