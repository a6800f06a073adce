package ebonygw;

import ebonygw.keyvalue.KeyValueResponse;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.request.CallerRequest;
import ebonygw.request.Refusal;
import ebonygw.settings.SettingsChange;
import java.util.HashMap;
import java.util.Map;

/** A simulated entry process with its callers. */
final class FakeEntry extends FakeNode {
    final EntryNode mNode;
    final Map<Long, CallerState> mCallers = new HashMap<>();

    FakeEntry(NodeFleet fleet, Member self, long seed) {
        super(fleet, self);
        mNode = new EntryNode(EntryNodeOptions.defaults(self, seed));
    }

    /** A caller's request and the response that the caller has received. */
    static final class CallerState {
        final CallerRequest mRequest;
        final long mSentNanos;
        final StringBuilder mResponse = new StringBuilder();
        boolean mStarted;
        boolean mEnded;
        boolean mCallerGone;
        Refusal mRefusal;

        CallerState(CallerRequest request, long sentNanos) {
            mRequest = request;
            mSentNanos = sentNanos;
        }

        boolean settled() {
            return mEnded || mRefusal != null || mCallerGone;
        }
    }

    void callerGone(long exchange) {
        CallerState caller = mCallers.get(exchange);
        if (caller != null && !caller.settled()) {
            caller.mCallerGone = true;
            mInbox.add(() -> handle(new EntryEvent.CallerDisconnected(exchange)));
        }
    }

    void change(SettingsChange change) {
        mInbox.add(() -> handle(new EntryEvent.ChangeSubmitted(1, change)));
    }

    @Override
    void down(FakeNode peer) {
        handle(new EntryEvent.PeerDown(peer.id(), peer.mSelf.incarnation()));
    }

    @Override
    void keyValueResponse(long requestId, KeyValueResponse response) {
        handle(new EntryEvent.KeyValueResponseReceived(requestId, response));
    }

    @Override
    void received(FakeNode peer, Message message) {
        handle(new EntryEvent.PeerMessageReceived(peer.id(), peer.mSelf.incarnation(), message));
    }

    void request(long exchange, CallerRequest request) {
        mCallers.put(exchange, new CallerState(request, fleet().mNowNanos));
        mInbox.add(() -> handle(new EntryEvent.RequestReceived(exchange, request)));
    }

    @Override
    void requestStop() {
        handle(new EntryEvent.StopRequested());
    }

    @Override
    long revision() {
        return mNode.settings().revision();
    }

    @Override
    void tick() {
        handle(new EntryEvent.Tick());
    }

    @Override
    void up(FakeNode peer) {
        handle(new EntryEvent.PeerUp(peer.id(), peer.mSelf.incarnation()));
    }

    private void handle(EntryEvent event) {
        mNode.handle(event, fleet().mNowNanos, this::carryOut);
    }

    private void carryOut(EntryEffect effect) {
        if (effect instanceof EntryEffect.Send send) {
            send(send.to(), send.message());
        } else if (effect instanceof EntryEffect.KeyValue request) {
            keyValue(request.requestId(), request.request());
        } else if (effect instanceof EntryEffect.Exit) {
            mExited = true;
        } else if (effect instanceof EntryEffect.ChangeCompleted settled) {
            fleet().settled(settled.outcome());
        } else if (effect instanceof EntryEffect.ResponseStarted started) {
            mCallers.get(started.exchangeId()).mStarted = true;
        } else if (effect instanceof EntryEffect.ResponsePart part) {
            mCallers.get(part.exchangeId()).mResponse.append(part.data().toStringUtf8());
            mInbox.add(() -> handle(new EntryEvent.ResponsePartsConsumed(part.exchangeId(), 1)));
        } else if (effect instanceof EntryEffect.ResponseEnded ended) {
            mCallers.get(ended.exchangeId()).mEnded = true;
        } else if (effect instanceof EntryEffect.ResponseAborted broken) {
            mCallers.get(broken.exchangeId()).mRefusal = broken.refusal();
        } else if (effect instanceof EntryEffect.Refused refused) {
            mCallers.get(refused.exchangeId()).mRefusal = refused.refusal();
        }
    }
}
