package ebonygw.membership;

import ebonygw.protocol.Message;
import ebonygw.request.AdapterVersion;
import java.util.List;
import java.util.Objects;

/** Messages by which processes exchange membership, load and adapter residency. */
public sealed interface MemberMessage extends Message {
    /**
     * Introduces the sender: the first message on each connection, repeated on each change of the
     * sender's state.
     *
     * @param self the sender
     * @param settingsRevision revision of the settings that the sender holds
     */
    record Hello(Member self, long settingsRevision) implements MemberMessage {
        /** Creates the message. */
        public Hello {
            Objects.requireNonNull(self, "self");
        }
    }

    /**
     * Sent periodically to show that the sender is running.
     *
     * @param sequence sequence number of this heartbeat within the sender's incarnation
     * @param settingsRevision revision of the settings that the sender holds
     */
    record Heartbeat(long sequence, long settingsRevision) implements MemberMessage {}

    /**
     * Hashes of the sender's member table. The receiver responds with its members of each bucket
     * whose hash differs.
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
     * Announced or confirmed states of processes, spread by gossip.
     *
     * @param members the processes, in any state but {@link MemberState#SUSPECTED}, which is a
     *     local judgement of each observer
     * @param news whether the states have just changed, so that the receiver forwards those that
     *     are new to it; false in the response to a {@link MemberDigest}
     */
    record MemberUpdates(List<Member> members, boolean news) implements MemberMessage {
        /** Creates the message. */
        public MemberUpdates {
            members = List.copyOf(members);
        }
    }

    /**
     * Requests that a target process load an adapter version before requests for it arrive; sent by
     * entries.
     */
    record Prefetch(AdapterVersion adapter) implements MemberMessage {
        /** Creates the message. */
        public Prefetch {
            Objects.requireNonNull(adapter, "adapter");
        }
    }

    /**
     * Load of a target whose adapter residency has not changed since its last {@link TargetReport}.
     *
     * @param sequence sequence number within the sender's incarnation, shared with {@link
     *     TargetReport}
     * @param running number of requests running at the target
     * @param queued number of requests waiting in the target process
     * @param concurrency number of requests that the target runs efficiently at the same time
     * @param queuedTokens total tokens of the waiting requests
     */
    record TargetLoad(long sequence, int running, int queued, int concurrency, long queuedTokens)
            implements MemberMessage {
        /** Returns the load of a report, without its residency. */
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
     * Load and adapter residency of a target, sent by its process.
     *
     * @param sequence sequence number within the sender's incarnation, shared with {@link
     *     TargetLoad}
     * @param running number of requests running at the target
     * @param queued number of requests waiting in the target process
     * @param concurrency number of requests that the target runs efficiently at the same time
     * @param queuedTokens total tokens of the waiting requests
     * @param resident adapter versions that are loaded
     * @param loading adapter versions that are being loaded
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

        /** Returns a report with the given load and the residency of this report. */
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
