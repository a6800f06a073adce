package ebonygw.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlLoopTest {
    private static final String TICK = "tick";
    private static final long WAIT_SECONDS = 20;

    private final WallClock mClock = new WallClock();
    private final List<ControlLoop<String>> mLoops = new ArrayList<>();

    @AfterEach
    void closeAll() {
        mLoops.forEach(ControlLoop::close);
    }

    @Test
    void eventsOfOneThreadAreHandledInOrderOnOneThread() throws Exception {
        List<String> seen = new ArrayList<>();
        ControlLoop<String> loop = loop(64, (event, now) -> seen.add(event));
        loop.start();
        for (int i = 0; i < 1_000; i++) {
            loop.put("e" + i);
        }
        List<String> copy = loop.query(() -> List.copyOf(seen)).get(WAIT_SECONDS, TimeUnit.SECONDS);
        List<String> events = copy.stream().filter(event -> !event.equals(TICK)).toList();
        assertThat(events).hasSize(1_000).startsWith("e0", "e1").endsWith("e998", "e999");
    }

    @Test
    void ticksAreHandledWithoutEventsAndAtLeastOneIntervalApart() throws Exception {
        BlockingQueue<Long> ticks = new LinkedBlockingQueue<>();
        ControlLoop<String> loop = loop(8, (event, now) -> ticks.add(now));
        loop.start();
        long previous = 0;
        for (int i = 0; i < 5; i++) {
            long now = ticks.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(now - previous).isGreaterThanOrEqualTo(ControlLoop.TICK_INTERVAL_NANOS);
            previous = now;
        }
    }

    @Test
    void offersAreRejectedWhileTheRingIsNearlyFullAndPutsAreStillAccepted() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        List<String> seen = new ArrayList<>();
        ControlLoop<String> loop =
                loop(
                        16,
                        (event, now) -> {
                            await(release);
                            seen.add(event);
                        });
        loop.start();
        int accepted = 0;
        while (loop.offer("offer" + accepted)) {
            accepted++;
        }
        assertThat(accepted).isBetween(12, 13);
        assertThat(loop.refused()).isEqualTo(1);
        loop.put("required");
        release.countDown();
        assertThat(loop.query(() -> seen.contains("required")).get(WAIT_SECONDS, TimeUnit.SECONDS))
                .isTrue();
        assertThat(seen).doesNotContain("offer" + accepted);
    }

    @Test
    void theControlThreadNeverBlocksOnItsOwnRing() throws Exception {
        AtomicReference<ControlLoop<String>> self = new AtomicReference<>();
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        ControlLoop<String> loop =
                loop(
                        8,
                        (event, now) -> {
                            if (event.equals("burst")) {
                                for (int i = 0; i < 100; i++) {
                                    self.get().put("own" + i);
                                }
                            } else if (!event.equals(TICK)) {
                                seen.add(event);
                            }
                        });
        self.set(loop);
        loop.start();
        loop.put("burst");
        for (int i = 0; i < 100; i++) {
            assertThat(seen.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("own" + i);
        }
    }

    @Test
    void anExceptionOfTheHandlerIsCountedAndTheNextEventIsHandled() throws Exception {
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        ControlLoop<String> loop =
                loop(
                        8,
                        (event, now) -> {
                            if (event.equals("bad")) {
                                throw new IllegalStateException("bad event");
                            } else if (!event.equals(TICK)) {
                                seen.add(event);
                            }
                        });
        loop.start();
        loop.put("bad");
        loop.put("good");
        assertThat(seen.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("good");
        assertThat(loop.failures()).isEqualTo(1);
    }

    @Test
    void ringSizesThatAreNotPowersOfTwoAreRejected() {
        assertThatThrownBy(() -> loop(12, (event, now) -> {}))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private ControlLoop<String> loop(int size, ControlLoop.Handler<String> handler) {
        ControlLoop<String> loop =
                new ControlLoop<>("control-test", size, TICK, mClock::nanos, handler);
        mLoops.add(loop);
        return loop;
    }
}
