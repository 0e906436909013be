package org.sequoianotch.policy.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.ManualClock;

/**
 * Guards against queues in which each of the least urgent calls waits until its response is just too late.
 *
 * <p>The test replays the load of a service that also stands behind other services: short sub-calls take a part of its
 * slots, and the requests for the service itself need a little more than the rest. A call that is refused at the end of
 * the queue time is redirected to another instance, up to three times.
 */
final class TargetLatencyReplayTest {
    private static final int INSTANCES = 6;
    private static final int SLOTS = 19;
    private static final double WORK_MS = 360;
    private static final double SUB_CALL_WORK_MS = 22;
    private static final double SUB_CALL_SHARE = 0.5;
    private static final double TARGET_MS = 1_000;
    private static final double DEADLINE_MS = 4_000;
    private static final double QUEUE_TIME_MS = 300;
    private static final int MAX_REDIRECTS = 3;
    private static final double END_MS = 30_000;
    /** The same target as for other overloads; see the design document. */
    private static final double MIN_USEFUL_SHARE = 0.9;

    private final ManualClock clock = ManualClock.startingAt(0);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<AdmissionControl> instances = new ArrayList<>();
    private Random random = new Random();
    private int punctual;
    private int late;
    private long sequence;

    private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime == 0 ? Long.compare(sequence, other.sequence) : byTime;
        }
    }

    private void schedule(double delayMs, Runnable action) {
        events.add(new Event(clock.monotonicMs() + delayMs, sequence++, action));
    }

    private void call(AdmissionRequest request, double workMs, int redirects, Runnable onSuccess) {
        AdmissionControl instance = instances.get(random.nextInt(INSTANCES));
        PendingAdmission pending = instance.submit(request);
        pending.whenDecided(decision -> decision.peek(permit -> schedule(workMs, () -> {
                    permit.release(CallResult.SUCCEEDED, workMs);
                    onSuccess.run();
                }))
                .peekLeft(failure -> {
                    if (redirects < MAX_REDIRECTS) {
                        schedule(1, () -> call(request, workMs, redirects + 1, onSuccess));
                    }
                }));
        schedule(QUEUE_TIME_MS + 1, instance::load);
    }

    private void request(RequestId id) {
        double nowMs = clock.monotonicMs();
        AdmissionRequest request =
                new AdmissionRequest(id, Criticality.SHEDDABLE, 0, nowMs + DEADLINE_MS, nowMs + TARGET_MS);
        call(request, WORK_MS, 0, () -> {
            if (clock.monotonicMs() <= nowMs + TARGET_MS) {
                punctual++;
            } else {
                late++;
            }
        });
    }

    private void subCall(RequestId id) {
        call(
                new AdmissionRequest(id, Criticality.STANDARD, 1, clock.monotonicMs() + DEADLINE_MS),
                SUB_CALL_WORK_MS,
                0,
                () -> {});
    }

    private void arrivals(double perMs, Runnable arrival) {
        double delayMs = -Math.log(1 - random.nextDouble()) / perMs;
        if (clock.monotonicMs() + delayMs < END_MS) {
            schedule(delayMs, () -> {
                arrival.run();
                arrivals(perMs, arrival);
            });
        }
    }

    @ParameterizedTest
    @CsvSource({"1.1, 1", "1.1, 2", "1.3, 1", "1.3, 2", "2, 1"})
    void capacityIsUsedForResponsesWithinTheTarget(double overload, long seed) {
        random = new Random(seed);
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(PolicyMode.KNOWN_SLOTS.newAdmission(
                    new ServiceRule(ServiceName.of("jury"), 100_000, 256, (long) QUEUE_TIME_MS, 10, 0), SLOTS, clock));
        }
        double slots = INSTANCES * SLOTS;
        double capacityPerMs = slots * (1 - SUB_CALL_SHARE) / WORK_MS;
        arrivals(slots * SUB_CALL_SHARE / SUB_CALL_WORK_MS, () -> subCall(RequestId.random(random)));
        arrivals(overload * capacityPerMs, () -> request(RequestId.random(random)));
        while (!events.isEmpty()) {
            Event next = events.poll();
            clock.advance(next.atMs() - clock.monotonicMs());
            next.action().run();
        }

        assertWithMessage("share of the capacity that went into punctual responses; " + late + " were late")
                .that(punctual / (capacityPerMs * END_MS))
                .isAtLeast(MIN_USEFUL_SHARE);
    }
}
