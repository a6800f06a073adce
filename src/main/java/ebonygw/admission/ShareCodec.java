package ebonygw.admission;

import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Holding;
import ebonygw.admission.ShareMessage.Limits;
import ebonygw.protocol.NodeId;
import ebonygw.wire.SharesProtocol.SharesAdopt;
import ebonygw.wire.SharesProtocol.SharesAdopted;
import ebonygw.wire.SharesProtocol.SharesAsk;
import ebonygw.wire.SharesProtocol.SharesAssign;
import ebonygw.wire.SharesProtocol.SharesAssigned;
import ebonygw.wire.SharesProtocol.SharesDemand;
import ebonygw.wire.SharesProtocol.SharesEnvelope;
import ebonygw.wire.SharesProtocol.SharesGrant;
import ebonygw.wire.SharesProtocol.SharesHeartbeat;
import ebonygw.wire.SharesProtocol.SharesHolder;
import ebonygw.wire.SharesProtocol.SharesHolding;
import ebonygw.wire.SharesProtocol.SharesReturn;
import java.util.List;

/** Converts {@link ShareMessage}s to protobuf and back. */
public final class ShareCodec {
    private ShareCodec() {}

    /**
     * Returns the message of an envelope.
     *
     * @throws IllegalArgumentException if the message's kind is unknown or a field is invalid
     */
    public static ShareMessage decode(SharesEnvelope envelope) {
        switch (envelope.getKindCase()) {
            case ADOPT:
                return decodeAdopt(envelope.getAdopt());
            case ADOPTED:
                return decodeAdopted(envelope.getAdopted());
            case ASK:
                SharesAsk request = envelope.getAsk();
                return new ShareMessage.LoanRequest(
                        request.getCustomer(),
                        request.getLoan(),
                        request.getTokens(),
                        request.getLeast());
            case ASSIGN:
                return decodeAssign(envelope.getAssign());
            case ASSIGNED:
                return decodeAssigned(envelope.getAssigned());
            case DEMAND:
                return decodeDemand(envelope.getDemand());
            case GRANT:
                return decodeGrant(envelope.getGrant());
            case GIVE_BACK:
                SharesReturn loanReturn = envelope.getGiveBack();
                return new ShareMessage.LoanReturn(
                        loanReturn.getCustomer(),
                        loanReturn.getLoan(),
                        loanReturn.getReturnedTotal(),
                        loanReturn.getStarted());
            case HEARTBEAT:
                SharesHeartbeat heartbeat = envelope.getHeartbeat();
                return new ShareMessage.Heartbeat(
                        heartbeat.getShard(), heartbeat.getEpoch(), heartbeat.getSentNanos());
            case HEARTBEAT_ACK:
                SharesHeartbeat ack = envelope.getHeartbeatAck();
                return new ShareMessage.HeartbeatAck(
                        ack.getShard(), ack.getEpoch(), ack.getSentNanos());
            default:
                throw new IllegalArgumentException(
                        "unknown kind of share message: " + envelope.getKindCase());
        }
    }

    /**
     * Returns the envelope of a message.
     *
     * @throws NullPointerException if {@code message} is null
     */
    public static SharesEnvelope encode(ShareMessage message) {
        SharesEnvelope.Builder envelope = SharesEnvelope.newBuilder();
        if (message instanceof ShareMessage.Adopt adopt) {
            encodeAdopt(envelope, adopt);
        } else if (message instanceof ShareMessage.Adopted adopted) {
            encodeAdopted(envelope, adopted);
        } else if (message instanceof ShareMessage.LoanRequest request) {
            envelope.getAskBuilder()
                    .setCustomer(request.customer())
                    .setLoan(request.loan())
                    .setTokens(request.amount())
                    .setLeast(request.least());
        } else if (message instanceof ShareMessage.Assign assign) {
            encodeAssign(envelope, assign);
        } else if (message instanceof ShareMessage.Assigned assigned) {
            encodeAssigned(envelope, assigned);
        } else if (message instanceof ShareMessage.Demand demand) {
            encodeDemand(envelope, demand);
        } else if (message instanceof ShareMessage.LoanGrant grant) {
            encodeGrant(envelope, grant);
        } else if (message instanceof ShareMessage.Heartbeat heartbeat) {
            envelope.setHeartbeat(
                    encodeHeartbeat(heartbeat.shard(), heartbeat.epoch(), heartbeat.sentNanos()));
        } else if (message instanceof ShareMessage.HeartbeatAck ack) {
            envelope.setHeartbeatAck(encodeHeartbeat(ack.shard(), ack.epoch(), ack.sentNanos()));
        } else if (message instanceof ShareMessage.LoanReturn loanReturn) {
            envelope.getGiveBackBuilder()
                    .setCustomer(loanReturn.customer())
                    .setLoan(loanReturn.loan())
                    .setReturnedTotal(loanReturn.returnedTotal())
                    .setStarted(loanReturn.started());
        } else {
            throw new NullPointerException("message");
        }
        return envelope.build();
    }

    static Holder decodeHolder(SharesHolder holder) {
        return new Holder(new NodeId(holder.getId()), holder.getIncarnation(), holder.getAlone());
    }

    static SharesHolder encodeHolder(Holder holder) {
        return SharesHolder.newBuilder()
                .setId(holder.id().name())
                .setIncarnation(holder.incarnation())
                .setAlone(holder.alone())
                .build();
    }

    private static ShareMessage decodeAdopt(SharesAdopt adopt) {
        List<Holder> holders =
                adopt.getHoldersList().stream().map(ShareCodec::decodeHolder).toList();
        Holder owner = decodeHolder(adopt.getOwner());
        return new ShareMessage.Adopt(adopt.getShard(), adopt.getEpoch(), owner, holders);
    }

    private static ShareMessage decodeAdopted(SharesAdopted adopted) {
        List<Holding> holdings =
                adopted.getHoldingsList().stream()
                        .map(it -> new Holding(it.getCustomer(), it.getRate(), it.getCapacity()))
                        .toList();
        return new ShareMessage.Adopted(adopted.getShard(), adopted.getEpoch(), holdings);
    }

    private static ShareMessage decodeAssign(SharesAssign assign) {
        return new ShareMessage.Assign(
                assign.getCustomer(),
                assign.getEpoch(),
                assign.getVersion(),
                assign.getRate(),
                assign.getCapacity(),
                assign.getTokens(),
                new Limits(
                        assign.getSettingsRevision(),
                        assign.getCustomerRate(),
                        assign.getCustomerBurst()));
    }

    private static ShareMessage decodeAssigned(SharesAssigned assigned) {
        return new ShareMessage.Assigned(
                assigned.getCustomer(),
                assigned.getEpoch(),
                assigned.getVersion(),
                assigned.getRate(),
                assigned.getCapacity(),
                assigned.getReturned());
    }

    private static ShareMessage decodeDemand(SharesDemand demand) {
        return new ShareMessage.Demand(
                demand.getCustomer(),
                demand.getRate(),
                demand.getBacklog(),
                demand.getLargest(),
                demand.getLevel(),
                demand.getLeaving());
    }

    private static ShareMessage decodeGrant(SharesGrant grant) {
        return new ShareMessage.LoanGrant(
                grant.getCustomer(),
                grant.getLoan(),
                grant.getTokens(),
                grant.getRetryAfterNanos(),
                grant.getHoldersList().stream().map(NodeId::new).toList());
    }

    private static void encodeAdopt(SharesEnvelope.Builder to, ShareMessage.Adopt adopt) {
        SharesAdopt.Builder builder = to.getAdoptBuilder();
        builder.setShard(adopt.shard()).setEpoch(adopt.epoch());
        builder.setOwner(encodeHolder(adopt.owner()));
        adopt.holders().forEach(holder -> builder.addHolders(encodeHolder(holder)));
    }

    private static void encodeAdopted(SharesEnvelope.Builder to, ShareMessage.Adopted adopted) {
        SharesAdopted.Builder builder = to.getAdoptedBuilder();
        builder.setShard(adopted.shard()).setEpoch(adopted.epoch());
        for (Holding holding : adopted.holdings()) {
            builder.addHoldings(
                    SharesHolding.newBuilder()
                            .setCustomer(holding.customer())
                            .setRate(holding.rate())
                            .setCapacity(holding.capacity()));
        }
    }

    private static void encodeAssign(SharesEnvelope.Builder to, ShareMessage.Assign assign) {
        to.getAssignBuilder()
                .setCustomer(assign.customer())
                .setEpoch(assign.epoch())
                .setVersion(assign.version())
                .setRate(assign.rate())
                .setCapacity(assign.capacity())
                .setTokens(assign.tokens())
                .setSettingsRevision(assign.limits().revision())
                .setCustomerRate(assign.limits().rate())
                .setCustomerBurst(assign.limits().burst());
    }

    private static void encodeAssigned(SharesEnvelope.Builder to, ShareMessage.Assigned assigned) {
        to.getAssignedBuilder()
                .setCustomer(assigned.customer())
                .setEpoch(assigned.epoch())
                .setVersion(assigned.version())
                .setRate(assigned.rate())
                .setCapacity(assigned.capacity())
                .setReturned(assigned.returned());
    }

    private static void encodeDemand(SharesEnvelope.Builder to, ShareMessage.Demand demand) {
        to.getDemandBuilder()
                .setCustomer(demand.customer())
                .setRate(demand.rate())
                .setBacklog(demand.backlog())
                .setLargest(demand.largest())
                .setLevel(demand.level())
                .setLeaving(demand.leaving());
    }

    private static void encodeGrant(SharesEnvelope.Builder to, ShareMessage.LoanGrant grant) {
        SharesGrant.Builder builder = to.getGrantBuilder();
        builder.setCustomer(grant.customer()).setLoan(grant.loan()).setTokens(grant.amount());
        builder.setRetryAfterNanos(grant.retryAfterNanos());
        grant.holders().forEach(holder -> builder.addHolders(holder.name()));
    }

    private static SharesHeartbeat encodeHeartbeat(int shard, long epoch, long sentNanos) {
        return SharesHeartbeat.newBuilder()
                .setShard(shard)
                .setEpoch(epoch)
                .setSentNanos(sentNanos)
                .build();
    }
}
