package ebonygw;

import ebonygw.keyvalue.KeyValueReply;
import ebonygw.membership.Member;
import ebonygw.protocol.Message;
import ebonygw.request.CallerRequest;
import ebonygw.request.Refusal;
import ebonygw.settings.SettingsChange;
import java.util.HashMap;
import java.util.Map;

/** An entry process with its callers. */
final class FakeEntry extends FakeNode {
    final EntryNode mNode;
    final Map<Long, Asked> mAsked = new HashMap<>();

    FakeEntry(NodeFleet fleet, Member self, long seed) {
        super(fleet, self);
        mNode = new EntryNode(EntryNodeOptions.defaults(self, seed));
    }

    /** A caller's request and what its caller saw. */
    static final class Asked {
        final CallerRequest mRequest;
        final long mAtNanos;
        final StringBuilder mAnswer = new StringBuilder();
        boolean mStarted;
        boolean mEnded;
        boolean mCallerGone;
        Refusal mRefusal;

        Asked(CallerRequest request, long atNanos) {
            mRequest = request;
            mAtNanos = atNanos;
        }

        boolean settled() {
            return mEnded || mRefusal != null || mCallerGone;
        }
    }

    void ask(long exchange, CallerRequest request) {
        mAsked.put(exchange, new Asked(request, fleet().mNowNanos));
        mInbox.add(() -> handle(new EntryEvent.CallerAsked(exchange, request)));
    }

    @Override
    void askStop() {
        handle(new EntryEvent.StopAsked());
    }

    void callerGone(long exchange) {
        Asked asked = mAsked.get(exchange);
        if (asked != null && !asked.settled()) {
            asked.mCallerGone = true;
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
    void replied(long callId, KeyValueReply reply) {
        handle(new EntryEvent.KeyValueReplied(callId, reply));
    }

    @Override
    long revision() {
        return mNode.settings().revision();
    }

    @Override
    void said(FakeNode peer, Message message) {
        handle(new EntryEvent.PeerSaid(peer.id(), peer.mSelf.incarnation(), message));
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
        } else if (effect instanceof EntryEffect.KeyValue call) {
            keyValue(call.callId(), call.call());
        } else if (effect instanceof EntryEffect.Exit) {
            mExited = true;
        } else if (effect instanceof EntryEffect.ChangeSettled settled) {
            fleet().settled(settled.outcome());
        } else if (effect instanceof EntryEffect.AnswerStarted started) {
            mAsked.get(started.exchange()).mStarted = true;
        } else if (effect instanceof EntryEffect.AnswerPart part) {
            mAsked.get(part.exchange()).mAnswer.append(part.data().toStringUtf8());
            mInbox.add(() -> handle(new EntryEvent.CallerTook(part.exchange(), 1)));
        } else if (effect instanceof EntryEffect.AnswerEnded ended) {
            mAsked.get(ended.exchange()).mEnded = true;
        } else if (effect instanceof EntryEffect.AnswerBroken broken) {
            mAsked.get(broken.exchange()).mRefusal = broken.refusal();
        } else if (effect instanceof EntryEffect.Refused refused) {
            mAsked.get(refused.exchange()).mRefusal = refused.refusal();
        }
    }
}
