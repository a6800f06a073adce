package ebonygw.peer;

import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Payload;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.RequestId;
import ebonygw.request.RequestMessage;
import ebonygw.request.Verdict;
import ebonygw.request.Work;
import ebonygw.wire.PeerProtocol;
import ebonygw.wire.PeerProtocol.Envelope;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Converts {@link RequestMessage}s to and from protobuf. */
final class RequestCodec implements FamilyCodec {
    private static final int VERDICT_NOT_RUN = 1;
    private static final int VERDICT_MAY_HAVE_RUN = 2;
    private static final int VERDICT_RAN = 3;

    RequestCodec() {}

    /** Decodes an adapter version. */
    static AdapterVersion decode(PeerProtocol.AdapterVersion version) {
        return new AdapterVersion(version.getAdapter(), version.getVersion());
    }

    /** Encodes an adapter version. */
    static PeerProtocol.AdapterVersion encode(AdapterVersion version) {
        return PeerProtocol.AdapterVersion.newBuilder()
                .setAdapter(version.adapter())
                .setVersion(version.version())
                .build();
    }

    @Override
    public Optional<Message> decode(Envelope envelope) {
        switch (envelope.getKindCase()) {
            case RUN:
                return Optional.of(run(envelope.getRun()));
            case HEAD:
                return Optional.of(head(envelope.getHead()));
            case BODY:
                PeerProtocol.Body body = envelope.getBody();
                return Optional.of(
                        new RequestMessage.Body(
                                id(body.getId()),
                                body.getAttempt(),
                                body.getIndex(),
                                body.getData()));
            case END:
                PeerProtocol.End end = envelope.getEnd();
                return Optional.of(
                        new RequestMessage.End(
                                id(end.getId()),
                                end.getAttempt(),
                                end.getParts(),
                                end.getTokensUsed()));
            case FAILED:
                return Optional.of(failed(envelope.getFailed()));
            case CANCEL:
                PeerProtocol.Cancel cancel = envelope.getCancel();
                return Optional.of(
                        new RequestMessage.Cancel(id(cancel.getId()), cancel.getAttempt()));
            case CREDIT:
                PeerProtocol.Credit credit = envelope.getCredit();
                return Optional.of(
                        new RequestMessage.Credit(
                                id(credit.getId()), credit.getAttempt(), credit.getParts()));
            default:
                return Optional.empty();
        }
    }

    @Override
    public Optional<Envelope> encode(Message message) {
        if (!(message instanceof RequestMessage)) {
            return Optional.empty();
        }
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof RequestMessage.Run run) {
            envelope.setRun(run(run));
        } else if (message instanceof RequestMessage.Head head) {
            envelope.setHead(head(head));
        } else if (message instanceof RequestMessage.Body body) {
            envelope.getBodyBuilder()
                    .setId(id(body.id()))
                    .setAttempt(body.attempt())
                    .setIndex(body.index())
                    .setData(body.data());
        } else if (message instanceof RequestMessage.End end) {
            envelope.getEndBuilder()
                    .setId(id(end.id()))
                    .setAttempt(end.attempt())
                    .setParts(end.parts())
                    .setTokensUsed(end.tokensUsed());
        } else if (message instanceof RequestMessage.Failed failed) {
            envelope.setFailed(failed(failed));
        } else if (message instanceof RequestMessage.Cancel cancel) {
            envelope.getCancelBuilder().setId(id(cancel.id())).setAttempt(cancel.attempt());
        } else if (message instanceof RequestMessage.Credit credit) {
            envelope.getCreditBuilder()
                    .setId(id(credit.id()))
                    .setAttempt(credit.attempt())
                    .setParts(credit.parts());
        }
        return Optional.of(envelope.build());
    }

    /** Returns the code of a name; codes of later versions are read as unavailable. */
    private static RefusalCode code(String name) {
        try {
            return RefusalCode.valueOf(name);
        } catch (IllegalArgumentException unknown) {
            return RefusalCode.UNAVAILABLE;
        }
    }

    private static RequestMessage.Failed failed(PeerProtocol.Failed failed) {
        Refusal refusal =
                new Refusal(
                        code(failed.getCode()),
                        verdict(failed.getVerdict()),
                        failed.getDetail(),
                        failed.getRetryAfterNanos());
        return new RequestMessage.Failed(id(failed.getId()), failed.getAttempt(), refusal);
    }

    private static PeerProtocol.Failed failed(RequestMessage.Failed failed) {
        return PeerProtocol.Failed.newBuilder()
                .setId(id(failed.id()))
                .setAttempt(failed.attempt())
                .setCode(failed.refusal().code().name())
                .setVerdict(verdict(failed.refusal().verdict()))
                .setDetail(failed.refusal().detail())
                .setRetryAfterNanos(failed.refusal().retryAfterNanos())
                .build();
    }

    private static RequestMessage.Head head(PeerProtocol.Head head) {
        return new RequestMessage.Head(
                id(head.getId()),
                head.getAttempt(),
                head.getStatus(),
                headers(head.getHeadersList()));
    }

    private static PeerProtocol.Head head(RequestMessage.Head head) {
        PeerProtocol.Head.Builder builder =
                PeerProtocol.Head.newBuilder()
                        .setId(id(head.id()))
                        .setAttempt(head.attempt())
                        .setStatus(head.status());
        head.headers().forEach((name, value) -> builder.addHeaders(header(name, value)));
        return builder.build();
    }

    private static PeerProtocol.Header header(String name, String value) {
        return PeerProtocol.Header.newBuilder().setName(name).setValue(value).build();
    }

    private static Map<String, String> headers(List<PeerProtocol.Header> list) {
        Map<String, String> headers = new HashMap<>();
        list.forEach(header -> headers.put(header.getName(), header.getValue()));
        return headers;
    }

    private static RequestId id(PeerProtocol.RequestId id) {
        return new RequestId(new NodeId(id.getEntry()), id.getIncarnation(), id.getSequence());
    }

    private static PeerProtocol.RequestId id(RequestId id) {
        return PeerProtocol.RequestId.newBuilder()
                .setEntry(id.entry().name())
                .setIncarnation(id.incarnation())
                .setSequence(id.sequence())
                .build();
    }

    private static RequestMessage.Run run(PeerProtocol.Run run) {
        Payload payload =
                new Payload(
                        run.getMethod(),
                        run.getPath(),
                        headers(run.getHeadersList()),
                        run.getBody());
        Work work =
                new Work(
                        id(run.getId()),
                        run.getAttempt(),
                        run.getCustomer(),
                        run.getKeyId(),
                        run.getRoute(),
                        run.hasAdapter() ? Optional.of(decode(run.getAdapter())) : Optional.empty(),
                        run.getIdempotent(),
                        run.getPriority(),
                        run.getPromptTokens(),
                        run.getMaxTokens(),
                        run.getPrefixHash(),
                        run.getStreamed(),
                        payload);
        return new RequestMessage.Run(work, run.getTimeoutNanos(), run.getCredit());
    }

    private static PeerProtocol.Run run(RequestMessage.Run run) {
        Work work = run.work();
        PeerProtocol.Run.Builder builder =
                PeerProtocol.Run.newBuilder()
                        .setId(id(work.id()))
                        .setAttempt(work.attempt())
                        .setCustomer(work.customer())
                        .setKeyId(work.keyId())
                        .setRoute(work.route())
                        .setIdempotent(work.idempotent())
                        .setPriority(work.priority())
                        .setPromptTokens(work.promptTokens())
                        .setMaxTokens(work.maxTokens())
                        .setPrefixHash(work.prefixHash())
                        .setStreamed(work.streamed())
                        .setMethod(work.payload().method())
                        .setPath(work.payload().path())
                        .setBody(work.payload().body())
                        .setTimeoutNanos(run.timeoutNanos())
                        .setCredit(run.credit());
        work.adapter().ifPresent(adapter -> builder.setAdapter(encode(adapter)));
        work.payload().headers().forEach((name, value) -> builder.addHeaders(header(name, value)));
        return builder.build();
    }

    /** Decodes a verdict; a missing or unknown one is read as the cautious {@code MAY_HAVE_RUN}. */
    private static Verdict verdict(int number) {
        if (number == VERDICT_NOT_RUN) {
            return Verdict.NOT_RUN;
        }
        return number == VERDICT_RAN ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
    }

    private static int verdict(Verdict verdict) {
        switch (verdict) {
            case NOT_RUN:
                return VERDICT_NOT_RUN;
            case RAN:
                return VERDICT_RAN;
            default:
                return VERDICT_MAY_HAVE_RUN;
        }
    }
}
