package ebonygw.admission;

import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import java.util.List;

/**
 * Messages between processes that divide customers' rates and bursts into shares.
 *
 * <p>Amounts are in thousandths of a token, rates in thousandths of a token per second.
 */
public sealed interface ShareMessage extends Message {
    /**
     * Announces a new epoch of a shard, from owner to holders; resent until {@link Adopted}.
     *
     * @param epoch the epoch's number in the shard's owner record, greater than each earlier one
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
     * Reports what a process holds when it starts to follow an epoch, from holder to owner.
     *
     * @param holdings its shares; of a customer that is absent it holds nothing
     */
    record Adopted(int shard, long epoch, List<Holding> holdings) implements ShareMessage {
        /** Creates the message. */
        public Adopted {
            holdings = List.copyOf(holdings);
        }
    }

    /**
     * Requests a loan of tokens from a holder.
     *
     * @param loan id of the loan, unique in the borrower's incarnation
     * @param amount maximum amount to lend; less may be granted
     * @param least amount below which the loan is of no use to the borrower
     */
    record LoanRequest(String customer, long loan, long amount, long least)
            implements ShareMessage {}

    /**
     * Replaces a holder's share, from owner to holder; resent until {@link Assigned}.
     *
     * @param version version of the holder's share in the epoch, from 1
     * @param rate the new rate
     * @param capacity the new capacity
     * @param tokens tokens added with an increase, at most the increase of the capacity
     * @param limits the customer's limits that the share was computed from
     */
    record Assign(
            String customer,
            long epoch,
            long version,
            long rate,
            long capacity,
            long tokens,
            Limits limits)
            implements ShareMessage {}

    /**
     * Reports a holder's share after an {@link Assign}, or after lower limits decreased it.
     *
     * @param version the last version applied
     * @param rate the rate held
     * @param capacity the capacity held
     * @param returned tokens removed from the holder's bucket by that version
     */
    record Assigned(
            String customer, long epoch, long version, long rate, long capacity, long returned)
            implements ShareMessage {}

    /**
     * Reports a process's demand to the owner.
     *
     * @param rate tokens requested by callers per second
     * @param backlog tokens of waiting requests
     * @param largest tokens of the largest request that was queued or refused because of the rate
     * @param level available tokens
     * @param leaving whether the sender is stopping, so that its share is to be taken back
     */
    record Demand(
            String customer, long rate, long backlog, long largest, long level, boolean leaving)
            implements ShareMessage {}

    /**
     * The response to a {@link LoanRequest}; nothing is lent if the amount is 0.
     *
     * @param loan id of the loan
     * @param amount tokens lent
     * @param retryAfterNanos time after which a new request may succeed
     * @param holders processes that may have tokens, the most probable first
     */
    record LoanGrant(
            String customer, long loan, long amount, long retryAfterNanos, List<NodeId> holders)
            implements ShareMessage {
        /** Creates the message. */
        public LoanGrant {
            holders = List.copyOf(holders);
        }
    }

    /**
     * Requests a confirmation by another holder of the epoch, which renews the sender's lease.
     *
     * @param sentNanos time of sending by the sender's clock
     */
    record Heartbeat(int shard, long epoch, long sentNanos) implements ShareMessage {}

    /**
     * Confirms a {@link Heartbeat}.
     *
     * @param epoch the epoch that both processes follow
     * @param sentNanos copied from the heartbeat
     */
    record HeartbeatAck(int shard, long epoch, long sentNanos) implements ShareMessage {}

    /**
     * Returns tokens of a loan.
     *
     * @param loan id of the loan
     * @param returnedTotal all tokens of the loan returned so far; a total, so that resending is
     *     safe
     * @param started whether no further request will be charged to the loan
     */
    record LoanReturn(String customer, long loan, long returnedTotal, boolean started)
            implements ShareMessage {}

    /**
     * One incarnation of a process that may hold shares.
     *
     * @param alone whether it was the only holder of its epoch, which renews its lease by itself
     */
    record Holder(NodeId id, long incarnation, boolean alone) {}

    /**
     * A process's share of one customer's rate and burst.
     *
     * @param rate the share of the rate
     * @param capacity the share of the burst
     */
    record Holding(String customer, long rate, long capacity) {}

    /**
     * A customer's rate and burst over the whole fleet at one revision of the settings.
     *
     * @param revision the settings' revision, 0 for a {@link Resource} or without settings
     */
    record Limits(long revision, long rate, long burst) {}
}
