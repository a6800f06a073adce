package ebonygw.membership;

import ebonygw.keyvalue.CallIds;
import ebonygw.keyvalue.KeyValueCall;
import ebonygw.keyvalue.KeyValueCall.Write;
import ebonygw.keyvalue.KeyValueReply;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.List;
import java.util.Objects;

/**
 * Registers this process, in its announced state, at the key-value service under its lease.
 *
 * <p>Not thread-safe.
 */
public final class Presence {
    /** Prefix of the keys; the process's name follows. */
    public static final String KEY_PREFIX = "/ebonygw/presence/";

    /** First key after those of presence. */
    public static final String KEY_END = "/ebonygw/presence0";

    private final Membership mMembership;
    private final ProcessLease mLease;
    private final CallIds mCallIds;
    private final ServiceBudget mBudget;
    private Registration mWritten;
    private Registration mWriting;
    private long mOpenCall;
    private long mOpenSinceNanos;

    /**
     * Creates the presence of a process that is not registered yet.
     *
     * @param membership tells what to register
     * @param lease the lease that the registration goes with
     * @param callIds issues the identifiers of its calls
     * @param budget limits its calls
     * @throws NullPointerException if an argument is null
     */
    public Presence(
            Membership membership, ProcessLease lease, CallIds callIds, ServiceBudget budget) {
        mMembership = Objects.requireNonNull(membership, "membership");
        mLease = Objects.requireNonNull(lease, "lease");
        mCallIds = Objects.requireNonNull(callIds, "callIds");
        mBudget = Objects.requireNonNull(budget, "budget");
    }

    /** Returns whether the service confirmed the registration of the present state. */
    public boolean isRegistered() {
        return wanted().equals(mWritten) && mLease.id() != 0;
    }

    /**
     * Takes in the answer to a call.
     *
     * @return whether the call was this presence's
     */
    public boolean onReply(long callId, KeyValueReply reply, long nowNanos) {
        if (mOpenCall == 0 || callId != mOpenCall) {
            return false;
        }
        mOpenCall = 0;
        if (reply instanceof KeyValueReply.Committed) {
            mBudget.answered();
            mWritten = mWriting;
        } else {
            mBudget.failed(nowNanos);
        }
        return true;
    }

    /** Lets time pass: registers what is not registered under the present lease. */
    public void onTick(long nowNanos, Outbox out) {
        if (mLease.id() == 0) {
            return;
        }
        if (mOpenCall != 0) {
            if (nowNanos - mOpenSinceNanos <= mLease.options().callTimeoutNanos()) {
                return;
            }
            mOpenCall = 0;
            mBudget.failed(nowNanos);
        }
        if (!wanted().equals(mWritten) && mBudget.tryCall(nowNanos)) {
            mWriting = wanted();
            mOpenSinceNanos = nowNanos;
            mOpenCall = mCallIds.next();
            out.keyValue(mOpenCall, write(mWriting));
        }
    }

    /** Returns the key of a process. */
    static String key(NodeId id) {
        return KEY_PREFIX + id.name();
    }

    private static KeyValueCall write(Registration registration) {
        Member member = registration.member();
        Write write = new Write(key(member.id()), MemberValues.write(member), registration.lease());
        return new KeyValueCall.Transaction(List.of(), List.of(write));
    }

    private Registration wanted() {
        return new Registration(mMembership.self(), mLease.id());
    }

    private record Registration(Member member, long lease) {}
}
