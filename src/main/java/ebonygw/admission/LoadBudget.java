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
 * A target process's part of the weight store's budget: the rate at which loads may start, and the
 * number of loads in flight.
 *
 * <p>Both are resources that the entry processes divide among themselves like a customer's tokens.
 * A target process borrows one unit of each for a load. The unit of the rate is used up when the
 * load starts; the unit of loads in flight is returned when the load has finished. Not thread-safe:
 * used on the control thread only.
 */
public final class LoadBudget {
    private static final String RATE_PREFIX = "weight-store-rate/";
    private static final String IN_FLIGHT_PREFIX = "weight-store-in-flight/";
    private static final long UNIT = TokenBucket.UNITS_PER_TOKEN;
    private static final double NANOS_PER_SECOND = 1e9;

    /** How long after a load could not start its units are still requested and kept. */
    private static final long DEMAND_VALIDITY_NANOS = 1_000_000_000L;

    private final Locality mLocality;
    private final Borrower mRate;
    private final Borrower mInFlight;
    private final String mRateName;
    private List<NodeId> mLenders = List.of();
    private long mLastLoanId;
    private long mLastLoadId;
    private long mDemandUntil;

    /**
     * Creates the budget of one target process.
     *
     * @param store name of the weight store
     * @param locality where the process runs; the nearest entry processes are its first lenders
     * @throws NullPointerException if an argument is null
     */
    public LoadBudget(String store, Locality locality) {
        mLocality = Objects.requireNonNull(locality, "locality");
        mRateName = RATE_PREFIX + Objects.requireNonNull(store, "store");
        mRate = new Borrower(mRateName, () -> ++mLastLoanId);
        mInFlight = new Borrower(IN_FLIGHT_PREFIX + store, () -> ++mLastLoanId);
    }

    /**
     * Returns the resources of a weight store that the entry processes divide.
     *
     * <p>Units in flight that are lost with their process have to accrue again. So one unit accrues
     * within the maximum duration of a load, and the divided burst is one unit below the limit,
     * which keeps loads in flight within it.
     *
     * @param store name of the weight store
     * @param loadsPerSecond loads that may start per second
     * @param inFlight maximum number of loads in flight, at least 2
     * @param maxLoadNanos maximum duration of a load
     */
    public static List<Resource> resources(
            String store, double loadsPerSecond, long inFlight, long maxLoadNanos) {
        double unitsPerSecond = NANOS_PER_SECOND / maxLoadNanos;
        return List.of(
                new Resource(RATE_PREFIX + store, loadsPerSecond, 1),
                new Resource(IN_FLIGHT_PREFIX + store, unitsPerSecond, inFlight - 1));
    }

    /** Returns the state for operators. */
    public Map<String, Object> dump(long nowNanos) {
        return Map.of(
                "rateAtHand", mRate.usable(nowNanos) / UNIT,
                "inFlightAtHand", mInFlight.usable(nowNanos) / UNIT,
                "lenders", mLenders.size());
    }

    /**
     * Ends a load, whether it succeeded or not.
     *
     * @param load id returned by {@link #tryStart}
     */
    public void finished(long load, long nowNanos, Outbox out) {
        mInFlight.settle(load, UNIT, nowNanos, out);
        mRate.settle(load, 0, nowNanos, out);
    }

    /**
     * Applies a new list of the fleet's processes; entry processes that are not gone are lenders.
     */
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

    /**
     * Handles an entry process's message; returns whether it was the response to a loan request.
     */
    public boolean onMessage(ShareMessage message, long nowNanos, Outbox out) {
        if (!(message instanceof ShareMessage.LoanGrant grant)) {
            return false;
        }
        Borrower borrower = grant.customer().equals(mRateName) ? mRate : mInFlight;
        borrower.onGrant(grant, nowNanos, out);
        if (nowNanos < mDemandUntil) {
            requestMissing(borrower, nowNanos, out);
        }
        return true;
    }

    /** Runs timed work; call at least every 10 milliseconds. */
    public void onTick(long nowNanos, Outbox out) {
        mRate.tick(nowNanos, out);
        mInFlight.tick(nowNanos, out);
        if (nowNanos >= mDemandUntil) {
            mRate.returnUnused(nowNanos, out);
            mInFlight.returnUnused(nowNanos, out);
        } else {
            requestMissing(mRate, nowNanos, out);
            requestMissing(mInFlight, nowNanos, out);
        }
    }

    /**
     * Starts a load if one unit of both resources is available, or else requests the missing units.
     *
     * @return an id for {@link #finished}, or -1 if the load may not start yet; try again later
     */
    public long tryStart(long nowNanos, Outbox out) {
        boolean available = mRate.usable(nowNanos) >= UNIT && mInFlight.usable(nowNanos) >= UNIT;
        if (available) {
            mLastLoadId++;
            mRate.charge(mLastLoadId, UNIT, nowNanos, out);
            mInFlight.charge(mLastLoadId, UNIT, nowNanos, out);
            return mLastLoadId;
        }
        mDemandUntil = nowNanos + DEMAND_VALIDITY_NANOS;
        requestMissing(mRate, nowNanos, out);
        requestMissing(mInFlight, nowNanos, out);
        return -1;
    }

    private void requestMissing(Borrower borrower, long nowNanos, Outbox out) {
        long missing = UNIT - borrower.usable(nowNanos);
        if (missing <= 0 || borrower.pendingRequests() > 0) {
            return;
        }
        for (NodeId lender : mLenders) {
            if (borrower.canRequest(lender, nowNanos)) {
                borrower.requestLoan(lender, missing, missing, nowNanos, out);
                return;
            }
        }
    }
}
