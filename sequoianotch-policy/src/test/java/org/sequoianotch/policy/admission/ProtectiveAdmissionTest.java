package org.sequoianotch.policy.admission;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.ManualClock;
import org.sequoianotch.time.SystemClock;

/** Guards against calls that run in the wrong order, after their deadline, or although they were refused. */
final class ProtectiveAdmissionTest {
    private final ManualClock clock = ManualClock.startingAt(0);
    private final AdmissionControl admission =
            PolicyMode.PROTECTIVE.newAdmission(new ServiceRule(ServiceName.of("jury"), 10, 3, 100, 10, 0), 1, clock);
    private final List<String> started = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();

    @Test
    void mostImportantCallStartsFirst() {
        Permit permit = admit();
        submit("lookup", Criticality.STANDARD, 0, 500);
        submit("deep lookup", Criticality.STANDARD, 4, 500);
        submit("booking", Criticality.CRITICAL, 0, 900);
        permit.release(CallResult.SUCCEEDED, 1);
        assertThat(started).containsExactly("booking");
        assertThat(refused).isEmpty();
    }

    @Test
    void fullQueueRefusesTheLeastImportantCallRatherThanTheNewest() {
        admit();
        submit("gallery", Criticality.SHEDDABLE, 0, 500);
        submit("late lookup", Criticality.STANDARD, 0, 900);
        submit("lookup", Criticality.STANDARD, 0, 500);
        submit("booking", Criticality.CRITICAL, 0, 500);
        submit("fee", Criticality.CRITICAL, 0, 500);
        assertThat(refused)
                .containsExactly("gallery overloaded", "late lookup overloaded")
                .inOrder();
    }

    /** A refused call that waits could not be sent to another instance in time. */
    @Test
    void callBeyondTheNamedRateIsRefusedAtOnceWithTheTimeUntilThereIsRoom() {
        RequestRateLimit rateLimit = new RequestRateLimit(clock);
        AdmissionControl limited = PolicyMode.KNOWN_SLOTS.newAdmission(
                new ServiceRule(ServiceName.of("jury"), 10, 3, 100, 10, 0), 10, rateLimit, clock);
        rateLimit.set(0.5, "the response to request 7");
        clock.advance(4_000);
        List<Either<Failure, Permit>> decisions = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            limited.submit(new AdmissionRequest(new RequestId(0, 1), Criticality.CRITICAL, 0, 9_000))
                    .whenDecided(decisions::add);
        }

        assertThat(decisions).hasSize(3);
        assertThat(decisions.get(1).isRight()).isTrue();
        Failure refusal = decisions.get(2).getLeft();
        assertThat(refusal.kind()).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(refusal.retryAfterMs()).isEqualTo(2_000);
        assertThat(refusal.detail()).contains("0.5 requests per second");
        assertThat(refusal.detail()).contains("the response to request 7");
        assertThat(limited.load().maxRequestsPerS()).isEqualTo(0.5);
    }

    /** Slots reserved for refused critical calls kept others out for a minute after the end of the limit. */
    @Test
    void allSlotsAreUsedAgainOnceTheRateIsNoLongerNamed() {
        RequestRateLimit rateLimit = new RequestRateLimit(clock);
        AdmissionControl limited = PolicyMode.KNOWN_SLOTS.newAdmission(
                new ServiceRule(ServiceName.of("jury"), 10, 3, 100, 10, 0), 10, rateLimit, clock);
        rateLimit.set(1, "a test");
        for (int i = 0; i < 1_000; i++) {
            clock.advance(10);
            limited.submit(new AdmissionRequest(new RequestId(0, 1), Criticality.CRITICAL, 0, 90_000))
                    .whenDecided(decision -> decision.forEach(permit -> permit.release(CallResult.SUCCEEDED, 1)));
        }
        rateLimit.set(InstanceNotice.UNLIMITED, "a test");
        AtomicInteger startedCalls = new AtomicInteger();
        for (int i = 0; i < 10; i++) {
            limited.submit(new AdmissionRequest(new RequestId(0, 1), Criticality.SHEDDABLE, 0, 90_000))
                    .whenDecided(decision -> startedCalls.addAndGet(decision.isRight() ? 1 : 0));
        }
        assertThat(startedCalls.get()).isEqualTo(10);
    }

    @Test
    void expiredCallsAreRefusedBeforeTheyRun() {
        Permit permit = admit();
        submit("short deadline", Criticality.CRITICAL, 0, 50);
        submit("long deadline", Criticality.STANDARD, 0, 500);
        clock.advance(60);
        permit.release(CallResult.SUCCEEDED, 60);
        assertThat(started).containsExactly("long deadline");
        assertThat(refused).containsExactly("short deadline deadline_before_run");
        submit("queued too long", Criticality.CRITICAL, 0, 500);
        clock.advance(101);
        admission.load();
        assertThat(refused).contains("queued too long overloaded");
    }

    @Test
    void cancelledCallLeavesTheQueueAtOnceAndNeverRuns() {
        Permit permit = admit();
        PendingAdmission pending = submit("cancelled", Criticality.CRITICAL, 0, 500);
        pending.cancel();
        assertThat(admission.load().queued()).isEqualTo(0);
        assertThat(pending.await().getLeft().provesNotRun()).isTrue();
        permit.release(CallResult.SUCCEEDED, 1);
        permit.release(CallResult.SUCCEEDED, 1);
        assertThat(started).isEmpty();
        assertThat(admission.load().inFlight()).isEqualTo(0);
    }

    /** Guards against entry nodes that admit calls which a downstream service refuses after work was spent on them. */
    @Test
    void callsWhoseSubCallsFailLowerTheLevel() {
        for (int i = 0; i < 100; i++) {
            Permit permit = admit();
            clock.advance(10);
            permit.release(CallResult.SHED_DOWNSTREAM, 10);
        }
        assertThat(admission.load().admissionLevel()).isLessThan(2.0);
        assertThat(admission.load().admissionLevel()).isAtLeast(1.0);
    }

    /** Guards against lost wake-ups and against more calls in flight than slots under concurrent use. */
    @Property(seed = "20261204", tries = 5)
    void allWaitingThreadsReceiveADecision(@ForAll long seed) {
        for (PolicyMode mode : PolicyMode.values()) {
            ServiceRule rule = new ServiceRule(ServiceName.of("jury"), 10, 20, 20, 10, 0);
            AdmissionControl control = mode.newAdmission(rule, 4, SystemClock.INSTANCE);
            AtomicInteger inFlight = new AtomicInteger();
            AtomicInteger maxInFlight = new AtomicInteger();
            AtomicInteger decisions = new AtomicInteger();
            try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
                for (int i = 0; i < 200; i++) {
                    Random random = new Random(seed + i);
                    threads.execute(() -> {
                        PendingAdmission pending = control.submit(request(
                                Criticality.values()[random.nextInt(3)],
                                0,
                                SystemClock.INSTANCE.monotonicMs() + 10 + random.nextInt(1_000)));
                        if (random.nextInt(10) == 0) {
                            pending.cancel();
                        }
                        Either<Failure, Permit> decision = pending.await();
                        decisions.incrementAndGet();
                        decision.forEach(permit -> {
                            maxInFlight.accumulateAndGet(inFlight.incrementAndGet(), Math::max);
                            Thread.yield();
                            inFlight.decrementAndGet();
                            permit.release(CallResult.SUCCEEDED, 1);
                        });
                    });
                }
            }
            assertThat(decisions.get()).isEqualTo(200);
            assertThat(maxInFlight.get()).isAtMost(4);
            assertThat(control.load().inFlight()).isEqualTo(0);
            assertThat(control.load().queued()).isEqualTo(0);
        }
    }

    private Permit admit() {
        return admission
                .submit(request(Criticality.STANDARD, 0, 10_000))
                .await()
                .get();
    }

    private PendingAdmission submit(String name, Criticality criticality, int depth, double deadlineAtMs) {
        PendingAdmission pending = admission.submit(request(criticality, depth, deadlineAtMs));
        pending.whenDecided(decision -> {
            if (decision.isRight()) {
                started.add(name);
            } else {
                ErrorKind kind = decision.getLeft().kind();
                assertThat(kind.provesNotRun()).isTrue();
                refused.add(name + " " + kind.code());
            }
        });
        return pending;
    }

    private static AdmissionRequest request(Criticality criticality, int depth, double deadlineAtMs) {
        return new AdmissionRequest(new RequestId(1, 1), criticality, depth, deadlineAtMs);
    }
}
