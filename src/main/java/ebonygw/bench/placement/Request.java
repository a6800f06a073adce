package ebonygw.bench.placement;

import ebonygw.request.AdapterVersion;
import ebonygw.request.Work;

/** One request on its way through a run. */
final class Request {
    final Arrival mArrival;
    final Work mWork;
    final AdapterVersion mAdapter;
    boolean mEnded;
    long mStalledNanos;
    long mAbsentSinceNanos = -1;

    Request(Arrival arrival, Work work) {
        mArrival = arrival;
        mWork = work;
        mAdapter = work.adapter().orElse(null);
    }
}
