package org.sequoianotch.policy.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.ManualClock;

/**
 * Replays the load at which a service is called five times for each request above it and can run half of the calls.
 * Guards against a queue that serves some calls of each request, after which nearly all requests fail.
 */
final class SequentialCallsTest {
    private static final int SLOTS = 20;
    private static final double WORK_MS = 22;
    private static final int CALLS = 5;
    private static final double OVERLOAD = 2;
    private static final double DEADLINE_MS = 800;
    private static final double CALL_LIMIT_MS = 700;
    private static final double END_MS = 20_000;
    /** The same as for other overloads, see the design page. */
    private static final double TARGET = 0.95;

    private final ManualClock clock = ManualClock.startingAt(0);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final AdmissionControl admission = PolicyMode.KNOWN_SLOTS.newAdmission(
            new ServiceRule(ServiceName.of("jury"), 100_000, 256, 300, 10, 0), SLOTS, clock);
    private int completed;
    private long sequence;

    private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime == 0 ? Long.compare(sequence, other.sequence) : byTime;
        }
    }

    private void at(double atMs, Runnable action) {
        events.add(new Event(atMs, sequence++, action));
    }

    /** Makes the calls of one request one after the other, up to the first that is refused. */
    private void call(RequestId id, double deadlineAtMs, int left) {
        if (left == 0) {
            completed++;
            return;
        }
        double endMs = Math.min(deadlineAtMs, clock.monotonicMs() + CALL_LIMIT_MS);
        AdmissionTicket ticket = admission.submit(new AdmissionRequest(id, Criticality.SHEDDABLE, 1, endMs));
        ticket.whenDecided(decision -> decision.peek(permit -> at(clock.monotonicMs() + WORK_MS, () -> {
            permit.release(CallResult.ANSWERED, WORK_MS);
            call(id, deadlineAtMs, left - 1);
        })));
        at(clock.monotonicMs() + 301, admission::load);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsThatAreServedAreServedWhole(long seed) {
        Random random = new Random(seed);
        double capacityPerMs = SLOTS / WORK_MS / CALLS;
        for (double atMs = 0; atMs < END_MS; atMs += -Math.log(1 - random.nextDouble()) / (OVERLOAD * capacityPerMs)) {
            RequestId id = RequestId.random(random);
            double arrivesAtMs = atMs;
            at(atMs, () -> call(id, arrivesAtMs + DEADLINE_MS, CALLS));
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            clock.advance(next.atMs() - clock.monotonicMs());
            next.action().run();
        }
        assertThat(admission.load().inFlight()).isEqualTo(0);
        assertWithMessage("share of the capacity that completed requests used")
                .that(completed / (capacityPerMs * END_MS))
                .isAtLeast(TARGET);
    }
}
