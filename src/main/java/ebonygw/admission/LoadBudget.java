package ebonygw.admission;

import ebonygw.membership.Member;
import ebonygw.membership.MemberState;
import ebonygw.membership.Role;
import ebonygw.protocol.Locality;
import ebonygw.protocol.NodeId;
import ebonygw.protocol.Outbox;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A target process's part of the weight store's load rate and of the loads that may be in flight.
 *
 * <p>Both are resources that the entry processes divide among themselves like a customer's tokens;
 * a target process borrows one unit of each for a load. A unit of the rate is used up when the load
 * starts; a unit in flight comes back when it has finished. Not thread-safe: used on the control
 * thread only.
 */
public final class LoadBudget {
    private static final String RATE_PREFIX = "weight-store-rate/";
    private static final String FLIGHT_PREFIX = "weight-store-in-flight/";
    private static final long UNIT = TokenBucket.UNITS_PER_TOKEN;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long WANTED_NANOS = 1_000_000_000L;

    private final Locality mLocality;
    private final Borrower mRate;
    private final Borrower mFlight;
    private final String mRateName;
    private List<NodeId> mLenders = List.of();
    private long mLastLoan;
    private long mLastTicket;
    private long mWantedUntil;

    /**
     * Creates the budget of one target process.
     *
     * @param store name of the weight store
     * @param locality where the process runs; near entry processes are asked first
     * @throws NullPointerException if an argument is null
     */
    public LoadBudget(String store, Locality locality) {
        mLocality = Objects.requireNonNull(locality, "locality");
        mRateName = RATE_PREFIX + Objects.requireNonNull(store, "store");
        mRate = new Borrower(mRateName, () -> ++mLastLoan);
        mFlight = new Borrower(FLIGHT_PREFIX + store, () -> ++mLastLoan);
    }

    /**
     * Returns the resources that the entry processes have to divide for a store.
     *
     * <p>One unit fewer may be in flight at once than the limit; one more accrues in the longest
     * time of a load, so that units lost with their process come back and the limit holds all the
     * same.
     *
     * @param store name of the weight store
     * @param loadsPerSecond loads that may start a second
     * @param inFlight loads that may be in flight, at least 2
     * @param longestLoadNanos after how long a load has surely ended
     */
    public static List<Resource> resources(
            String store, double loadsPerSecond, long inFlight, long longestLoadNanos) {
        double perLongestLoad = NANOS_PER_SECOND / longestLoadNanos;
        return List.of(
                new Resource(RATE_PREFIX + store, loadsPerSecond, 1),
                new Resource(FLIGHT_PREFIX + store, perLongestLoad, inFlight - 1));
    }

    /** Returns the state for people. */
    public Map<String, Object> dump(long nowNanos) {
        return Map.of(
                "rateAtHand", mRate.usable(nowNanos) / UNIT,
                "inFlightAtHand", mFlight.usable(nowNanos) / UNIT,
                "lenders", mLenders.size());
    }

    /**
     * Ends a load, whether it succeeded or not.
     *
     * @param load what {@link #tryStart} returned
     * @param nowNanos the present time
     * @param out takes messages
     */
    public void finished(long load, long nowNanos, Outbox out) {
        mFlight.settle(load, UNIT, nowNanos, out);
        mRate.settle(load, 0, nowNanos, out);
    }

    /** Takes in the processes of the fleet; the live entry processes are the lenders. */
    public void onMembers(Collection<Member> members) {
        List<Member> lenders = new ArrayList<>();
        for (Member member : members) {
            if (member.role() == Role.ENTRY && member.state() != MemberState.GONE) {
                lenders.add(member);
            }
        }
        lenders.sort(
                Comparator.comparing((Member it) -> !mLocality.sameDataCenter(it.locality()))
                        .thenComparing(it -> !mLocality.sameRegion(it.locality()))
                        .thenComparing(Member::id));
        mLenders = lenders.stream().map(Member::id).toList();
    }

    /** Takes in an entry process's answer; returns whether it was meant for this budget. */
    public boolean onMessage(ShareMessage message, long nowNanos, Outbox out) {
        if (!(message instanceof ShareMessage.Grant grant)) {
            return false;
        }
        Borrower borrower = grant.customer().equals(mRateName) ? mRate : mFlight;
        borrower.onGrant(grant, nowNanos, out);
        if (nowNanos < mWantedUntil) {
            ask(borrower, nowNanos, out);
        }
        return true;
    }

    /** Does what is due by time; call at least every 10 milliseconds. */
    public void onTick(long nowNanos, Outbox out) {
        mRate.tick(nowNanos, out);
        mFlight.tick(nowNanos, out);
        if (nowNanos >= mWantedUntil) {
            mRate.returnUnused(nowNanos, out);
            mFlight.returnUnused(nowNanos, out);
        } else {
            ask(mRate, nowNanos, out);
            ask(mFlight, nowNanos, out);
        }
    }

    /**
     * Starts a load if one unit of both resources is at hand, and asks for what is missing.
     *
     * @param nowNanos the present time
     * @param out takes messages
     * @return a number for {@link #finished}, or -1 if the load may not start yet; try again later
     */
    public long tryStart(long nowNanos, Outbox out) {
        boolean atHand = mRate.usable(nowNanos) >= UNIT && mFlight.usable(nowNanos) >= UNIT;
        if (atHand) {
            mLastTicket++;
            mRate.take(mLastTicket, UNIT, nowNanos, out);
            mFlight.take(mLastTicket, UNIT, nowNanos, out);
            return mLastTicket;
        }
        mWantedUntil = nowNanos + WANTED_NANOS;
        ask(mRate, nowNanos, out);
        ask(mFlight, nowNanos, out);
        return -1;
    }

    private void ask(Borrower borrower, long nowNanos, Outbox out) {
        long missing = UNIT - borrower.usable(nowNanos);
        if (missing <= 0 || borrower.openAsks() > 0) {
            return;
        }
        for (NodeId lender : mLenders) {
            if (borrower.mayAsk(lender, nowNanos)) {
                borrower.ask(lender, missing, missing, nowNanos, out);
                return;
            }
        }
    }
}
