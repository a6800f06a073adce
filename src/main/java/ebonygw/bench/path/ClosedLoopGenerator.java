package ebonygw.bench.path;

import com.google.protobuf.ByteString;
import ebonygw.http.BodySummary;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpFailure;
import ebonygw.http.HttpRequest;
import ebonygw.http.HttpResponseHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * A closed-loop load generator: a fixed number of callers, each of which sends its next request
 * when the response to its previous one is complete or has failed.
 *
 * <p>Used by one thread at a time.
 */
final class ClosedLoopGenerator implements AutoCloseable {
    static final String THREAD_NAME = "generator";

    private static final long TIMEOUT_NANOS = 30_000_000_000L;
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int STATUS_OK = 200;

    private final HttpClient mClient;
    private final HttpRequest mRequest;

    ClosedLoopGenerator(InetSocketAddress server, HttpRequest request, int connections)
            throws IOException {
        mClient =
                new HttpClient(
                        THREAD_NAME,
                        new HttpClientOptions(server, connections, connections, TIMEOUT_NANOS));
        mRequest = request;
    }

    /**
     * The result of a run.
     *
     * @param latencies response times of complete responses with status 200, in nanoseconds
     * @param failures number of requests without a complete response with status 200
     * @param elapsedNanos duration of the whole run, in nanoseconds
     */
    record Result(Histogram latencies, long failures, long elapsedNanos) {
        /** Returns the successful requests per second. */
        double requestsPerSecond() {
            return latencies.getTotalCount() * 1e9 / elapsedNanos;
        }
    }

    @Override
    public void close() {
        mClient.close();
    }

    /** Sends {@code requests} requests in total from {@code callers} concurrent callers. */
    Result run(int requests, int callers) throws InterruptedException {
        Run run = new Run(requests, callers);
        long start = System.nanoTime();
        for (int caller = 0; caller < callers; caller++) {
            run.sendNext();
        }
        run.mRunningCallers.await();
        return new Result(run.mLatencies, run.mFailures.get(), System.nanoTime() - start);
    }

    /** The state of one run; responses arrive on the client's IO thread. */
    private final class Run {
        private final Histogram mLatencies = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
        private final AtomicLong mFailures = new AtomicLong();
        private final AtomicInteger mUnsentRequests;
        private final CountDownLatch mRunningCallers;

        Run(int requests, int callers) {
            mUnsentRequests = new AtomicInteger(requests);
            mRunningCallers = new CountDownLatch(callers);
        }

        private void sendNext() {
            if (mUnsentRequests.getAndDecrement() > 0) {
                mClient.send(mRequest, TIMEOUT_NANOS, new ResponseHandler(this, System.nanoTime()));
            } else {
                mRunningCallers.countDown();
            }
        }
    }

    /** Records the response to one request and lets its caller send the next one. */
    private static final class ResponseHandler implements HttpResponseHandler {
        private final Run mRun;
        private final long mStartNanos;
        private int mStatus;

        ResponseHandler(Run run, long startNanos) {
            mRun = run;
            mStartNanos = startNanos;
        }

        @Override
        public void ended(BodySummary body) {
            if (mStatus == STATUS_OK) {
                mRun.mLatencies.recordValue(System.nanoTime() - mStartNanos);
            } else {
                mRun.mFailures.incrementAndGet();
            }
            mRun.sendNext();
        }

        @Override
        public void failed(HttpFailure failure) {
            mRun.mFailures.incrementAndGet();
            mRun.sendNext();
        }

        @Override
        public void part(ByteString data) {}

        @Override
        public void started(int status, Map<String, String> headers) {
            mStatus = status;
        }
    }
}
