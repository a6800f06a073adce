package ebonygw.membership;

import ebonygw.protocol.Message;
import ebonygw.request.AdapterVersion;
import java.util.List;
import java.util.Objects;

/** Messages by which processes tell each other of their own state. */
public sealed interface MemberMessage extends Message {
    /**
     * First message on each link, and again on each change of the sender's state.
     *
     * @param self the sender
     * @param settingsRevision revision of the settings that it holds
     */
    record Hello(Member self, long settingsRevision) implements MemberMessage {
        /** Creates the message. */
        public Hello {
            Objects.requireNonNull(self, "self");
        }
    }

    /**
     * Periodic sign of life.
     *
     * @param sequence number of this heartbeat in the sender's incarnation
     * @param settingsRevision revision of the settings that the sender holds
     */
    record Heartbeat(long sequence, long settingsRevision) implements MemberMessage {}

    /**
     * Hashes of the sender's table of members, to find differences between two tables.
     *
     * @param buckets one hash for each bucket of members; a receiver with another number of buckets
     *     ignores the message
     */
    record MemberDigest(List<Long> buckets) implements MemberMessage {
        /** Creates the message. */
        public MemberDigest {
            buckets = List.copyOf(buckets);
        }
    }

    /**
     * What the sender knows of other processes, by their own word or on proof.
     *
     * @param members the processes, in any state but {@link MemberState#SUSPECTED}
     * @param news whether they have just changed, so that the receiver is to pass on what it did
     *     not know; else they answer a {@link MemberDigest}
     */
    record MemberUpdates(List<Member> members, boolean news) implements MemberMessage {
        /** Creates the message. */
        public MemberUpdates {
            members = List.copyOf(members);
        }
    }

    /**
     * Asks a target process to load an adapter version before work comes for it, entry to target.
     *
     * @param adapter the adapter version
     */
    record Prefetch(AdapterVersion adapter) implements MemberMessage {
        /** Creates the message. */
        public Prefetch {
            Objects.requireNonNull(adapter, "adapter");
        }
    }

    /**
     * Load of a target since its last {@link TargetReport}, whose residency still holds.
     *
     * @param sequence number of this report in the sender's incarnation, counted with the others
     * @param running requests running at the target
     * @param queued requests waiting in the target process
     * @param concurrency requests that the target runs well together
     * @param queuedTokens tokens of the waiting requests
     */
    record TargetLoad(long sequence, int running, int queued, int concurrency, long queuedTokens)
            implements MemberMessage {
        /** Returns the load part of a report. */
        public static TargetLoad of(TargetReport report) {
            return new TargetLoad(
                    report.sequence(),
                    report.running(),
                    report.queued(),
                    report.concurrency(),
                    report.queuedTokens());
        }
    }

    /**
     * Load and residency of a target, sent by its process.
     *
     * @param sequence number of this report in the sender's incarnation
     * @param running requests running at the target
     * @param queued requests waiting in the target process
     * @param concurrency requests that the target runs well together
     * @param queuedTokens tokens of the waiting requests
     * @param resident adapter versions loaded
     * @param loading adapter versions being loaded
     */
    record TargetReport(
            long sequence,
            int running,
            int queued,
            int concurrency,
            long queuedTokens,
            List<AdapterVersion> resident,
            List<AdapterVersion> loading)
            implements MemberMessage {
        /** Creates the message. */
        public TargetReport {
            resident = List.copyOf(resident);
            loading = List.copyOf(loading);
        }

        /** Returns a report of a later load with the residency of this one. */
        public TargetReport with(TargetLoad load) {
            return new TargetReport(
                    load.sequence(),
                    load.running(),
                    load.queued(),
                    load.concurrency(),
                    load.queuedTokens(),
                    resident,
                    loading);
        }
    }
}
