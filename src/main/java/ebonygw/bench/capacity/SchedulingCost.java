package ebonygw.bench.capacity;

import com.google.protobuf.ByteString;
import ebonygw.protocol.NodeId;
import ebonygw.request.AdapterVersion;
import ebonygw.request.Payload;
import ebonygw.request.RequestId;
import ebonygw.request.RequestMessage;
import ebonygw.request.Work;
import ebonygw.scheduling.SchedulerAction;
import ebonygw.scheduling.SchedulerOptions;
import ebonygw.scheduling.TargetScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Measures the cost of a target process's queue, and the size of the messages of one request
 * without its content.
 */
final class SchedulingCost {
    private static final int[] ADAPTER_COUNTS = {4, 16, 64};
    private static final int[] QUEUE_LENGTHS = {100, 400, 900};
    private static final int[] PART_COUNTS = {1, 16, 64};
    private static final long SECOND = 1_000_000_000L;
    private static final int ITERATIONS = 5_000;
    private static final int MAX_BATCH = 8;

    private long mNow = 1_000 * SECOND;
    private long mSequence;

    /** Measures all slopes. */
    List<Slope> measure() {
        List<Slope.Sample> cpu = new ArrayList<>();
        for (int adapters : ADAPTER_COUNTS) {
            TargetScheduler scheduler = scheduler(adapters);
            cpu.add(
                    new Slope.Sample(
                            adapters, Meter.cpuNanos(ITERATIONS, () -> run(scheduler, adapters))));
        }
        List<Slope.Sample> heap = new ArrayList<>();
        for (int queued : QUEUE_LENGTHS) {
            heap.add(new Slope.Sample(queued, Meter.heapBytes(() -> filled(queued))));
        }
        List<Slope.Sample> bytes = new ArrayList<>();
        for (int parts : PART_COUNTS) {
            bytes.add(new Slope.Sample(parts, messageBytes(parts)));
        }
        return List.of(
                new Slope("scheduler request, processor", "ns", "resident adapter", cpu),
                new Slope("scheduler heap", "bytes", "queued request", heap),
                new Slope("request's messages, bytes", "bytes", "answer part", bytes));
    }

    private static AdapterVersion adapter(long number) {
        return new AdapterVersion("adapter-" + number, "v1");
    }

    private TargetScheduler filled(int queued) {
        TargetScheduler scheduler = scheduler(MAX_BATCH);
        for (int i = 0; i < queued; i++) {
            scheduler.offer(work(MAX_BATCH), 1, mNow + 60 * SECOND, mNow);
        }
        return scheduler;
    }

    private double messageBytes(int parts) {
        Work work = work(1);
        double bytes = Meter.wireBytes(new RequestMessage.Run(work, SECOND, 64));
        bytes += Meter.wireBytes(new RequestMessage.Head(work.id(), 1, 200, Map.of()));
        for (int part = 0; part < parts; part++) {
            bytes += Meter.wireBytes(new RequestMessage.Body(work.id(), 1, part, ByteString.EMPTY));
            bytes += Meter.wireBytes(new RequestMessage.Credit(work.id(), 1, 1));
        }
        return bytes + Meter.wireBytes(new RequestMessage.End(work.id(), 1, parts, 400));
    }

    private void run(TargetScheduler scheduler, int adapters) {
        mNow += SECOND / 100;
        scheduler.offer(work(adapters), 1, mNow + 60 * SECOND, mNow);
        for (SchedulerAction action : scheduler.next(mNow, () -> false)) {
            if (action instanceof SchedulerAction.Start start) {
                scheduler.onFinished(start.work(), 400, SECOND / 10, mNow);
            }
        }
    }

    private TargetScheduler scheduler(int adapters) {
        TargetScheduler scheduler = new TargetScheduler(SchedulerOptions.defaults());
        List<AdapterVersion> resident = new ArrayList<>();
        for (int i = 0; i < adapters; i++) {
            resident.add(adapter(i));
        }
        scheduler.onEngineReport(adapters, MAX_BATCH, 0, resident, 1, mNow);
        return scheduler;
    }

    private Work work(int adapters) {
        long number = ++mSequence;
        return new Work(
                new RequestId(new NodeId("entry-0"), 1, number),
                1,
                "customer-" + number % 4,
                "key-1",
                "chat",
                Optional.of(adapter(number % adapters)),
                true,
                0,
                200,
                200,
                number,
                true,
                new Payload("POST", "/v1/completions", Map.of(), ByteString.EMPTY));
    }
}
