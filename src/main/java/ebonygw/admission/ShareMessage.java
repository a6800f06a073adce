package ebonygw.admission;

import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.List;

/**
 * Messages that divide and move customers' shares.
 *
 * <p>Amounts are in thousandths of a token, rates in thousandths of a token a second.
 */
public sealed interface ShareMessage extends Message {
    /**
     * Announces a new epoch of a shard, owner to holders; repeated until {@link Adopted}.
     *
     * @param shard the shard
     * @param epoch revision of the owner's record in the key-value service
     * @param owner the owner
     * @param holders every process that may hold shares in this epoch
     */
    record Adopt(int shard, long epoch, Holder owner, List<Holder> holders)
            implements ShareMessage {
        /** Creates the message. */
        public Adopt {
            holders = List.copyOf(holders);
        }
    }

    /**
     * Says what a process holds at the moment it follows a new epoch, holder to owner.
     *
     * @param shard the shard
     * @param epoch the epoch
     * @param holdings its shares; a customer that is missing is not held
     */
    record Adopted(int shard, long epoch, List<Holding> holdings) implements ShareMessage {
        /** Creates the message. */
        public Adopted {
            holdings = List.copyOf(holdings);
        }
    }

    /**
     * Asks a holder for a loan of tokens.
     *
     * @param customer the customer
     * @param loan number of the loan, unique in the asker's incarnation
     * @param amount tokens wanted; fewer may be granted
     * @param least tokens below which the loan is of no use
     */
    record Ask(String customer, long loan, long amount, long least) implements ShareMessage {}

    /**
     * Replaces a holder's share, owner to holder; repeated until {@link Assigned}.
     *
     * @param customer the customer
     * @param epoch the owner's epoch
     * @param version number of this change for this holder in the epoch, from 1
     * @param rate the new rate
     * @param capacity the new capacity
     * @param tokens tokens that come with an increase, at most the increase of the capacity
     * @param terms the customer's settings that the share was computed from
     */
    record Assign(
            String customer,
            long epoch,
            long version,
            long rate,
            long capacity,
            long tokens,
            Terms terms)
            implements ShareMessage {}

    /**
     * Says what a holder holds after an {@link Assign}, or after it lost a part of its share.
     *
     * @param customer the customer
     * @param epoch the epoch
     * @param version newest version applied
     * @param rate the rate held
     * @param capacity the capacity held
     * @param returned tokens given up by that version
     */
    record Assigned(
            String customer, long epoch, long version, long rate, long capacity, long returned)
            implements ShareMessage {}

    /**
     * Reports a process's demand, to the owner.
     *
     * @param customer the customer
     * @param rate tokens asked for by callers, a second
     * @param backlog tokens of waiting requests
     * @param largest tokens of the largest recent request
     * @param level tokens at hand
     * @param leaving whether the sender gives its whole share up
     */
    record Demand(
            String customer, long rate, long backlog, long largest, long level, boolean leaving)
            implements ShareMessage {}

    /**
     * Answers an {@link Ask}; nothing is lent if the amount is 0.
     *
     * @param customer the customer
     * @param loan the loan
     * @param amount tokens lent
     * @param retryAfterNanos after how long asking again makes sense
     * @param holders processes that may have tokens, best first
     */
    record Grant(
            String customer, long loan, long amount, long retryAfterNanos, List<NodeId> holders)
            implements ShareMessage {
        /** Creates the message. */
        public Grant {
            holders = List.copyOf(holders);
        }
    }

    /**
     * Asks a process of the same epoch to confirm it, which renews the sender's lease.
     *
     * @param shard the shard
     * @param epoch the epoch
     * @param sentNanos when it was sent, by the sender's clock
     */
    record Heartbeat(int shard, long epoch, long sentNanos) implements ShareMessage {}

    /**
     * Confirms a {@link Heartbeat}.
     *
     * @param shard the shard
     * @param epoch the epoch that both follow
     * @param sentNanos copied from the heartbeat
     */
    record HeartbeatAck(int shard, long epoch, long sentNanos) implements ShareMessage {}

    /**
     * Gives tokens of a loan back.
     *
     * @param customer the customer
     * @param loan the loan
     * @param returnedTotal all tokens of the loan given back so far, so that repeats do no harm
     * @param started whether no further request will start on the loan
     */
    record Return(String customer, long loan, long returnedTotal, boolean started)
            implements ShareMessage {}

    /**
     * One incarnation of a process that may hold shares.
     *
     * @param id the process
     * @param incarnation its incarnation
     * @param alone whether it was the only holder, whose lease no other process can let lapse
     */
    record Holder(NodeId id, long incarnation, boolean alone) {}

    /**
     * A share of one customer.
     *
     * @param customer the customer
     * @param rate its rate
     * @param capacity its capacity
     */
    record Holding(String customer, long rate, long capacity) {}

    /**
     * A customer's whole rate and burst at one revision of the settings.
     *
     * @param revision the revision
     * @param rate the whole rate
     * @param burst the whole burst
     */
    record Terms(long revision, long rate, long burst) {}
}
