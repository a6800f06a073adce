package ebonygw;

import com.google.protobuf.ByteString;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Refusal;
import ebonygw.request.RefusalCode;
import ebonygw.request.Work;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** A simulated model engine or plain service in virtual time, which records what it runs. */
final class FakeEngine {
    static final int SLOTS = 3;
    private static final long MILLI = 1_000_000L;
    private static final long LOAD_NANOS = 250 * MILLI;
    private static final long REPORT_NANOS = 200 * MILLI;
    private static final int PARTS = 3;

    /** A request that the engine has started to run. */
    record Execution(Work work, long atNanos) {}

    final List<Execution> mExecutions = new ArrayList<>();
    final List<String> mViolations = new ArrayList<>();
    private final String mName;
    private final boolean mModel;
    private final Random mRandom;
    private final List<Running> mRunning = new ArrayList<>();
    private final List<Order> mOrders = new ArrayList<>();
    private final Set<AdapterVersion> mResident = new HashSet<>();
    private Consumer<TargetEvent> mProcess = event -> {};
    private long mStartedAtNanos;
    private long mNextReportNanos;

    FakeEngine(String name, boolean model, Random random) {
        mName = name;
        mModel = model;
        mRandom = random;
    }

    /** Connects a target process; requests and orders of the previous one are dropped. */
    void attach(Consumer<TargetEvent> process) {
        mRunning.clear();
        mOrders.clear();
        mProcess = process;
    }

    void begin(long correlationId, Work work, long nowNanos) {
        if (mModel && !mResident.contains(work.adapter().orElseThrow())) {
            fail(new Running(correlationId, work, nowNanos, nowNanos), "no such adapter");
            return;
        }
        mExecutions.add(new Execution(work, nowNanos));
        long nanos = (30 + mRandom.nextInt(300)) * MILLI;
        mRunning.add(new Running(correlationId, work, nowNanos, nowNanos + nanos));
    }

    void cancel(long correlationId) {
        for (Running running : List.copyOf(mRunning)) {
            if (running.mCorrelationId == correlationId) {
                mRunning.remove(running);
                fail(running, "cancelled");
            }
        }
    }

    void load(AdapterVersion adapter, long nowNanos) {
        mOrders.add(new Order(adapter, true, nowNanos + LOAD_NANOS));
    }

    /** Restarts the engine: all requests and orders fail and no adapter is loaded. */
    void restart(long nowNanos) {
        List<Running> running = List.copyOf(mRunning);
        List<Order> orders = List.copyOf(mOrders);
        mRunning.clear();
        mOrders.clear();
        mResident.clear();
        mStartedAtNanos = nowNanos;
        running.forEach(request -> fail(request, "engine restarted"));
        orders.forEach(
                order ->
                        mProcess.accept(
                                new TargetEvent.OrderDone(
                                        order.adapter(), order.load(), false, "restarted")));
    }

    void tick(long nowNanos) {
        for (Order order : List.copyOf(mOrders)) {
            if (order.atNanos() <= nowNanos) {
                mOrders.remove(order);
                complete(order);
            }
        }
        for (Running running : List.copyOf(mRunning)) {
            advance(running, nowNanos);
        }
        if (mModel && nowNanos >= mNextReportNanos) {
            mNextReportNanos = nowNanos + REPORT_NANOS;
            mProcess.accept(
                    new TargetEvent.EngineReported(
                            mRunning.size(), 0, SLOTS, 8, List.copyOf(mResident), mStartedAtNanos));
        }
    }

    void unload(AdapterVersion adapter, long nowNanos) {
        mOrders.add(new Order(adapter, false, nowNanos + 10 * MILLI));
    }

    /** Returns the complete response to a request. */
    static String response(Work work) {
        StringBuilder response = new StringBuilder();
        for (int part = 0; part < PARTS; part++) {
            response.append(part(work, part));
        }
        return response.toString();
    }

    private void advance(Running running, long nowNanos) {
        long nanosPerPart = (running.mEndNanos - running.mStartNanos) / PARTS;
        if (running.mParts < 0 && nowNanos >= running.mStartNanos + nanosPerPart) {
            running.mParts = 0;
            mProcess.accept(new TargetEvent.ResponseStarted(running.mCorrelationId, 200, Map.of()));
        }
        if (running.mParts < 0) {
            return;
        }
        while (running.mParts < PARTS
                && nowNanos >= running.mStartNanos + (running.mParts + 1) * nanosPerPart) {
            String part = part(running.mWork, running.mParts++);
            mProcess.accept(
                    new TargetEvent.ResponsePart(
                            running.mCorrelationId, ByteString.copyFromUtf8(part)));
        }
        if (nowNanos >= running.mEndNanos) {
            mRunning.remove(running);
            mProcess.accept(
                    new TargetEvent.ResponseEnded(running.mCorrelationId, running.mWork.charge()));
        }
    }

    private void complete(Order order) {
        boolean succeeded = true;
        if (order.load()) {
            succeeded = mResident.size() < SLOTS || mResident.contains(order.adapter());
            if (succeeded) {
                mResident.add(order.adapter());
            }
        } else {
            mResident.remove(order.adapter());
            for (Running running : mRunning) {
                if (running.mWork.adapter().orElseThrow().equals(order.adapter())) {
                    mViolations.add(
                            mName + " unloads " + order.adapter() + " while a request runs on it");
                }
            }
        }
        mProcess.accept(
                new TargetEvent.OrderDone(
                        order.adapter(), order.load(), succeeded, "slots are full"));
    }

    private void fail(Running running, String detail) {
        mProcess.accept(
                new TargetEvent.RequestFailed(
                        running.mCorrelationId, Refusal.mayHaveRun(RefusalCode.LOST, detail)));
    }

    private static String part(Work work, int part) {
        return "[" + work.payload().path() + "#" + part + "]";
    }

    private record Order(AdapterVersion adapter, boolean load, long atNanos) {}

    private static final class Running {
        private final long mCorrelationId;
        private final Work mWork;
        private final long mStartNanos;
        private final long mEndNanos;
        private int mParts = -1;

        Running(long correlationId, Work work, long startNanos, long endNanos) {
            mCorrelationId = correlationId;
            mWork = work;
            mStartNanos = startNanos;
            mEndNanos = endNanos;
        }
    }
}
