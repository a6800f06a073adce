package ebonygw.gateway;

import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.quarantine.Evidence;
import ebonygw.targetlimit.KnownLimit;
import java.util.List;
import java.util.Objects;

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
     */
    record AdapterNeed(
            String adapter, long version, int waiting, int punctual, int running, int sent) {
        /** Creates the need. */
        public AdapterNeed {
            Objects.requireNonNull(adapter, "adapter");
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
     * Prompt tokens that wait for prefill at the loader's replica: those of the sender if sent from
     * an entry to a loader, those of all other entries if sent from a loader to an entry.
     *
     * @param tokens number of tokens, not negative
     */
    record PrefillBacklog(long tokens) implements GatewayMessage {}

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
     * Limits that targets name, as far as they have changed since the sender's last message on the
     * same link. Sent between entries.
     *
     * @param limits the limits, at most one for each incarnation
     */
    record TargetLimits(List<KnownLimit> limits) implements GatewayMessage {
        /** Creates the message. */
        public TargetLimits {
            limits = List.copyOf(limits);
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
     * @param standing what the entry reports besides, {@link QuotaStanding#NONE} if nothing
     */
    record CustomerTokens(String customer, long tokens, long sequence, QuotaStanding standing) {
        /** Creates the value. */
        public CustomerTokens {
            Objects.requireNonNull(customer, "customer");
            Objects.requireNonNull(standing, "standing");
        }

        /** Creates the value without a standing. */
        public CustomerTokens(String customer, long tokens, long sequence) {
            this(customer, tokens, sequence, QuotaStanding.NONE);
        }
    }
}
