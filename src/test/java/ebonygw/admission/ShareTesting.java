package ebonygw.admission;

import ebonygw.admission.ShareMessage.Holder;
import ebonygw.admission.ShareMessage.Limits;
import ebonygw.keyvalue.KeyValueRequest;
import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.Message;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.List;

/** Fixtures of the tests of shares: processes, a customer's limits and a recording outbox. */
final class ShareTesting {
    static final long SECOND = 1_000_000_000L;
    static final Limits LIMITS = new Limits(1, 1_000_000, 2_000_000);
    static final Locality HERE = new Locality("kingston", "a");
    static final Holder A = holder("a");
    static final Holder B = holder("b");
    static final Holder C = holder("c");

    private ShareTesting() {}

    static Holder holder(String name) {
        return new Holder(new NodeId(name), 1, false);
    }

    static Member member(Holder holder, MemberState state) {
        return new Member(
                holder.id(), holder.incarnation(), Role.ENTRY, state, HERE, "127.0.0.1:1", "");
    }

    static Peers peers(Holder self, Holder... others) {
        Peers peers = new Peers(self.id(), self.incarnation(), HERE);
        List<Member> members = new ArrayList<>();
        for (Holder other : others) {
            members.add(member(other, MemberState.LIVE));
            peers.onUp(other.id(), other.incarnation(), 0);
        }
        peers.onMembers(members);
        return peers;
    }

    /** Records messages and key-value requests. */
    static final class SentMessages implements Outbox {
        final List<Message> mMessages = new ArrayList<>();
        final List<KeyValueRequest> mKeyValueRequests = new ArrayList<>();
        long mLastRequestId;

        @Override
        public void sendKeyValueRequest(long requestId, KeyValueRequest request) {
            mLastRequestId = requestId;
            mKeyValueRequests.add(request);
        }

        @Override
        public void send(NodeId to, Message message) {
            mMessages.add(message);
        }

        <T> List<T> all(Class<T> type) {
            return mMessages.stream().filter(type::isInstance).map(type::cast).toList();
        }

        <T> T last(Class<T> type) {
            List<T> all = all(type);
            return all.get(all.size() - 1);
        }
    }
}
