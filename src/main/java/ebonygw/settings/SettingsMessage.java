package ebonygw.settings;

import com.google.protobuf.ByteString;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.List;
import java.util.Objects;

/** Messages by which processes pass the settings on to each other. */
public sealed interface SettingsMessage extends Message {
    /**
     * Changes in order without gaps.
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
     * Asks for the changes after a revision; answered by {@link Changes}, or by the first {@link
     * Part} of a snapshot where they are no longer kept.
     *
     * @param after revision that the sender holds
     */
    record Fetch(long after) implements SettingsMessage {}

    /**
     * Asks for a part of a snapshot.
     *
     * @param revision revision of the snapshot
     * @param index the part, from 0
     */
    record FetchPart(long revision, int index) implements SettingsMessage {}

    /**
     * Tells the revision that the sender holds.
     *
     * @param revision the revision
     */
    record Offer(long revision) implements SettingsMessage {}

    /**
     * A part of a snapshot.
     *
     * @param revision revision of the snapshot
     * @param checksum checksum of the whole snapshot
     * @param index the part, from 0
     * @param count number of parts
     * @param data the part's bytes
     */
    record Part(long revision, long checksum, int index, int count, ByteString data)
            implements SettingsMessage {
        /** Creates the message. */
        public Part {
            Objects.requireNonNull(data, "data");
        }
    }

    /**
     * Tells, over any number of hops, that a watcher has contact with the key-value service.
     *
     * @param watcher the watcher
     * @param sequence greater in each of its messages
     */
    record WatcherAlive(NodeId watcher, long sequence) implements SettingsMessage {
        /** Creates the message. */
        public WatcherAlive {
            Objects.requireNonNull(watcher, "watcher");
        }
    }
}
