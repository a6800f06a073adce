package ebonygw.gateway;

import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.quarantine.Evidence;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Messages between entries that forward to targets directly and the loaders of the targets. */
public sealed interface GatewayMessage extends Message {
    /**
     * Demand of an entry for one adapter at one replica.
     *
     * @param adapter the adapter as MODEL/ADAPTER
     * @param version minimum version that the waiting requests may run on, 0 for any
     * @param waiting number of requests that wait until it is loaded
     * @param punctual number of waiting requests that can still meet their latency objective
     * @param running number of requests that were sent and have not ended
     * @param sent number of requests sent since the last message
     * @param urgency that of the waiting requests, empty if it is not reported
     */
    record AdapterNeed(
            String adapter,
            long version,
            int waiting,
            int punctual,
            int running,
            int sent,
            Optional<Urgency> urgency) {
        /** Creates the need. */
        public AdapterNeed {
            Objects.requireNonNull(adapter, "adapter");
            Objects.requireNonNull(urgency, "urgency");
        }

        /** Creates a need that reports no urgency. */
        public AdapterNeed(
                String adapter, long version, int waiting, int punctual, int running, int sent) {
            this(adapter, version, waiting, punctual, running, sent, Optional.empty());
        }
    }

    /**
     * Urgency of the requests that wait for an adapter.
     *
     * @param priority the most urgent scheduling priority of them, 0 is the highest
     * @param remainingMillis time left of the first request of that priority until its latency
     *     objective, or until its deadline if the objective is missed; not negative
     * @param customer customer of that request, empty for none
     */
    record Urgency(int priority, long remainingMillis, String customer) {
        /** Creates the urgency. */
        public Urgency {
            Objects.requireNonNull(customer, "customer");
        }
    }

    /**
     * Demand of the sender for all adapters at the receiver's replica. Sent from an entry to a
     * loader; replaces the sender's last message of this kind.
     *
     * @param needs the needs, one for each adapter
     */
    record AdapterNeeds(List<AdapterNeed> needs) implements GatewayMessage {
        /** Creates the message. */
        public AdapterNeeds {
            needs = List.copyOf(needs);
        }
    }

    /**
     * Number of open adapter slots at the sender's replica. Sent from a loader to the entries.
     *
     * @param count adapters that can be loaded at once, negative if adapters wait for a slot
     */
    record OpenAdapterSlots(int count) implements GatewayMessage {}

    /**
     * What the sender knows of prompt parts that crash targets, as far as it has changed since its
     * last message on the same link. Sent between entries.
     *
     * @param evidence the evidence
     */
    record PromptEvidence(Evidence evidence) implements GatewayMessage {
        /** Creates the message. */
        public PromptEvidence {
            Objects.requireNonNull(evidence, "evidence");
        }
    }

    /**
     * An incarnation of the sender's replica has ended. Sent from a loader to the entries.
     *
     * @param incarnation name of the incarnation
     */
    record TargetEnded(String incarnation) implements GatewayMessage {
        /** Creates the message. */
        public TargetEnded {
            Objects.requireNonNull(incarnation, "incarnation");
        }
    }

    /**
     * Tokens charged by entries, as far as they have changed since the sender's last message on the
     * same link. Sent between entries.
     *
     * @param wanted whether the sender wants such messages from the receiver
     * @param entries the changes, at most one for each entry
     */
    record Usage(boolean wanted, List<EntryUsage> entries) implements GatewayMessage {
        /** Creates the message. */
        public Usage {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Tokens charged by one entry.
     *
     * @param entry the entry
     * @param incarnation identifies a start of its process; not ordered
     * @param sequence grows with each change and at least twice a second
     * @param charged the changes, at most one for each customer
     */
    record EntryUsage(NodeId entry, long incarnation, long sequence, List<CustomerTokens> charged) {
        /** Creates the usage. */
        public EntryUsage {
            Objects.requireNonNull(entry, "entry");
            charged = List.copyOf(charged);
        }
    }

    /**
     * All tokens that one entry has charged for a customer since its start.
     *
     * @param customer name of the customer
     * @param tokens the tokens, less those given back
     * @param sequence sequence of the entry at which the value was set
     */
    record CustomerTokens(String customer, long tokens, long sequence) {
        /** Creates the value. */
        public CustomerTokens {
            Objects.requireNonNull(customer, "customer");
        }
    }
}
