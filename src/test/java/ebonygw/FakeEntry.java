package ebonygw;

import ebonygw.keyvalue.KeyValueReply;
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
            mInbox.add(() -> handle(new EntryEvent.CallerGone(exchange)));
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
    void keyValueResponse(long callId, KeyValueReply response) {
        handle(new EntryEvent.KeyValueReplied(callId, response));
    }

    @Override
    void received(FakeNode peer, Message message) {
        handle(new EntryEvent.PeerSaid(peer.id(), peer.mSelf.incarnation(), message));
    }

    void request(long exchange, CallerRequest request) {
        mCallers.put(exchange, new CallerState(request, fleet().mNowNanos));
        mInbox.add(() -> handle(new EntryEvent.CallerAsked(exchange, request)));
    }

    @Override
    void requestStop() {
        handle(new EntryEvent.StopAsked());
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
            keyValue(request.callId(), request.call());
        } else if (effect instanceof EntryEffect.Exit) {
            mExited = true;
        } else if (effect instanceof EntryEffect.ChangeSettled settled) {
            fleet().settled(settled.outcome());
        } else if (effect instanceof EntryEffect.AnswerStarted started) {
            mCallers.get(started.exchange()).mStarted = true;
        } else if (effect instanceof EntryEffect.AnswerPart part) {
            mCallers.get(part.exchange()).mResponse.append(part.data().toStringUtf8());
            mInbox.add(() -> handle(new EntryEvent.CallerTook(part.exchange(), 1)));
        } else if (effect instanceof EntryEffect.AnswerEnded ended) {
            mCallers.get(ended.exchange()).mEnded = true;
        } else if (effect instanceof EntryEffect.AnswerBroken broken) {
            mCallers.get(broken.exchange()).mRefusal = broken.refusal();
        } else if (effect instanceof EntryEffect.Refused refused) {
            mCallers.get(refused.exchange()).mRefusal = refused.refusal();
        }
    }
}
