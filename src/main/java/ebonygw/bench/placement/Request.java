package ebonygw.bench.placement;

import ebonygw.request.AdapterVersion;
import ebonygw.request.Work;

/** A request in a simulation, with the stall time measured for it. */
final class Request {
    final Arrival mArrival;
    final Work mWork;
    final AdapterVersion mAdapter;
    boolean mEnded;

    /** Total time for which the request was queued at a target without its adapter. */
    long mStallNanos;

    /**
     * Time since which the request has been queued without its adapter; -1 if it is not stalled.
     */
    long mAdapterAbsentSinceNanos = -1;

    Request(Arrival arrival, Work work) {
        mArrival = arrival;
        mWork = work;
        mAdapter = work.adapter().orElse(null);
    }
}
