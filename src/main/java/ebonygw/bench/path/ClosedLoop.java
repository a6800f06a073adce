package ebonygw.bench.path;

import com.google.protobuf.ByteString;
import ebonygw.http.HttpAnswerSink;
import ebonygw.http.HttpClient;
import ebonygw.http.HttpClientOptions;
import ebonygw.http.HttpFailure;
import ebonygw.http.HttpRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * A load generator: a fixed number of callers, each of which sends its next request once it has the
 * whole answer to the former.
 *
 * <p>Used by one thread at a time.
 */
final class ClosedLoop implements AutoCloseable {
    static final String THREAD_NAME = "generator";

    private static final long TIMEOUT_NANOS = 30_000_000_000L;
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;
    private static final int DIGITS = 3;
    private static final int SUCCESS = 200;

    private final HttpClient mClient;
    private final HttpRequest mRequest;

    ClosedLoop(InetSocketAddress server, HttpRequest request, int connections) throws IOException {
        mClient =
                new HttpClient(
                        THREAD_NAME,
                        new HttpClientOptions(server, connections, connections, TIMEOUT_NANOS));
        mRequest = request;
    }

    /**
     * What a run gave.
     *
     * @param latencies times of whole answers, in nanoseconds
     * @param failures requests without a whole answer of status 200
     * @param elapsedNanos time of the whole run, in nanoseconds
     */
    record Result(Histogram latencies, long failures, long elapsedNanos) {
        /** Returns answers a second. */
        double perSecond() {
            return latencies.getTotalCount() * 1e9 / elapsedNanos;
        }
    }

    @Override
    public void close() {
        mClient.close();
    }

    /** Sends a number of requests from a number of callers at once. */
    Result run(int requests, int callers) throws InterruptedException {
        Run run = new Run(requests, callers);
        long start = System.nanoTime();
        for (int caller = 0; caller < callers; caller++) {
            run.next();
        }
        run.mDone.await();
        return new Result(run.mLatencies, run.mFailures.get(), System.nanoTime() - start);
    }

    /** One run; answers arrive on the client's IO thread. */
    private final class Run {
        private final Histogram mLatencies = new Histogram(MAX_LATENCY_NANOS, DIGITS);
        private final AtomicLong mFailures = new AtomicLong();
        private final AtomicInteger mLeft;
        private final CountDownLatch mDone;

        Run(int requests, int callers) {
            mLeft = new AtomicInteger(requests);
            mDone = new CountDownLatch(callers);
        }

        private void next() {
            if (mLeft.getAndDecrement() > 0) {
                mClient.send(mRequest, TIMEOUT_NANOS, new Answer(this, System.nanoTime()));
            } else {
                mDone.countDown();
            }
        }
    }

    /** One answer. */
    private static final class Answer implements HttpAnswerSink {
        private final Run mRun;
        private final long mStartNanos;
        private int mStatus;

        Answer(Run run, long startNanos) {
            mRun = run;
            mStartNanos = startNanos;
        }

        @Override
        public void ended() {
            if (mStatus == SUCCESS) {
                mRun.mLatencies.recordValue(System.nanoTime() - mStartNanos);
            } else {
                mRun.mFailures.incrementAndGet();
            }
            mRun.next();
        }

        @Override
        public void failed(HttpFailure failure) {
            mRun.mFailures.incrementAndGet();
            mRun.next();
        }

        @Override
        public void part(ByteString data) {}

        @Override
        public void started(int status, Map<String, String> headers) {
            mStatus = status;
        }
    }
}
