package ebonygw;

import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;

/** A simulated target process with its engine or plain service. */
final class FakeTarget extends FakeNode {
    final TargetNode mNode;
    final FakeEngine mEngine;

    FakeTarget(NodeFleet fleet, Member self, boolean model, FakeEngine engine, long seed) {
        super(fleet, self);
        mNode = new TargetNode(TargetNodeOptions.defaults(self, model, seed));
        mEngine = engine;
        engine.attach(event -> mInbox.add(() -> handle(event)));
    }

    @Override
    void down(FakeNode peer) {
        handle(new TargetEvent.PeerDown(peer.id(), peer.mSelf.incarnation()));
    }

    @Override
    void keyValueResponse(long requestId, KeyValueResponse response) {
        handle(new TargetEvent.KeyValueResponseReceived(requestId, response));
    }

    @Override
    void received(FakeNode peer, Message message) {
        handle(new TargetEvent.PeerMessageReceived(peer.id(), peer.mSelf.incarnation(), message));
    }

    @Override
    void requestStop() {
        handle(new TargetEvent.StopRequested());
    }

    @Override
    long revision() {
        return mNode.settings().revision();
    }

    @Override
    void tick() {
        handle(new TargetEvent.Tick());
    }

    @Override
    void up(FakeNode peer) {
        handle(new TargetEvent.PeerUp(peer.id(), peer.mSelf.incarnation()));
    }

    private void handle(TargetEvent event) {
        mNode.handle(event, fleet().mNowNanos, this::carryOut);
    }

    private void carryOut(TargetEffect effect) {
        long nowNanos = fleet().mNowNanos;
        if (effect instanceof TargetEffect.Send send) {
            send(send.to(), send.message());
        } else if (effect instanceof TargetEffect.KeyValue request) {
            keyValue(request.requestId(), request.request());
        } else if (effect instanceof TargetEffect.Exit) {
            mExited = true;
        } else if (effect instanceof TargetEffect.SendRequest request) {
            fleet().executed(this, request.work());
            mEngine.begin(request.correlationId(), request.work(), nowNanos);
        } else if (effect instanceof TargetEffect.CancelRequest cancel) {
            mEngine.cancel(cancel.correlationId());
        } else if (effect instanceof TargetEffect.Load load) {
            mEngine.load(load.adapter(), nowNanos);
        } else if (effect instanceof TargetEffect.Unload unload) {
            mEngine.unload(unload.adapter(), nowNanos);
        }
    }
}
