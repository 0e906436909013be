package org.sequoianotch.policy.admission;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.Clock;

/**
 * Admission control with a concurrency limit and a bounded queue that is ordered by importance.
 *
 * <p>Decisions are made in {@link #submit}, {@link Permit#release}, {@link PendingAdmission#cancel} and {@link #load},
 * none of which blocks. There is no timer: a thread in {@link PendingAdmission#await} triggers the expiry of its call.
 * This class is thread-safe.
 */
public final class ProtectiveAdmission implements AdmissionControl {
    private final ServiceRule rule;
    private final Clock clock;
    private final InFlightLimit limit;
    private final RequestRateLimit rateLimit;
    private final InstanceAdmissionLevel instanceLevel;
    private final DownstreamAdmissionLevel downstreamLevel;
    private final CallQueue queue = new CallQueue();
    private final RunTimeEstimate runTimes = new RunTimeEstimate();
    private int inFlight;
    private long nextSequence;

    /**
     * Creates the admission control of one instance with an adaptive concurrency limit.
     *
     * @param rule limits of the service; not null
     * @param slots calls that the backend server runs concurrently; at least 1
     * @param rateLimit limit on the calls that are started; not null
     * @param clock the clock; not null
     * @throws IllegalArgumentException if {@code slots} is less than 1
     */
    public ProtectiveAdmission(ServiceRule rule, int slots, RequestRateLimit rateLimit, Clock clock) {
        this(rule, clock, new ConcurrencyLimit(limitOf(rule, slots), clock.monotonicMs()), rateLimit);
    }

    private ProtectiveAdmission(ServiceRule rule, Clock clock, InFlightLimit limit, RequestRateLimit rateLimit) {
        this.rule = rule;
        this.clock = clock;
        this.limit = limit;
        this.rateLimit = rateLimit;
        this.instanceLevel = new InstanceAdmissionLevel(rule.queueTimeMs(), clock.monotonicMs());
        this.downstreamLevel = new DownstreamAdmissionLevel(clock.monotonicMs());
    }

    /**
     * Creates the admission control of an instance whose announced slots are exact, so that its limit is constant.
     *
     * @param rule limits of the service; not null
     * @param slots calls that the instance runs concurrently; at least 1
     * @param rateLimit limit on the calls that are started; not null
     * @param clock the clock; not null
     * @return the admission control, never null
     * @throws IllegalArgumentException if {@code slots} is less than 1
     */
    public static ProtectiveAdmission ofKnownSlots(
            ServiceRule rule, int slots, RequestRateLimit rateLimit, Clock clock) {
        return new ProtectiveAdmission(rule, clock, InFlightLimit.fixed(limitOf(rule, slots)), rateLimit);
    }

    private static int limitOf(ServiceRule rule, int slots) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots is " + slots + ", but must be at least 1");
        }
        return Math.min(slots, rule.maxInFlight());
    }

    @Override
    public PendingAdmission submit(AdmissionRequest request) {
        AdmissionPromise promise = new AdmissionPromise();
        List<Runnable> completions = new ArrayList<>();
        QueuedCall call;
        synchronized (this) {
            double nowMs = clock.monotonicMs();
            double expiresAtMs = Math.min(nowMs + rule.queueTimeMs(), request.deadlineAtMs());
            double latestStartMs = request.targetAtMs() - runTimes.of(request);
            call = new QueuedCall(request, nextSequence++, nowMs, expiresAtMs, latestStartMs, promise);
            instanceLevel.onArrival(request.criticality(), request.depth());
            if (request.deadlineAtMs() <= nowMs) {
                refuse(call, nowMs, "before it was queued", completions);
            } else {
                queue.add(call);
                processQueue(nowMs, completions);
                while (queue.size() > rule.queueLength()) {
                    refuse(queue.removeLeastImportant(), nowMs, "because the queue was full", completions);
                }
            }
        }
        completions.forEach(Runnable::run);
        return new PendingCall(call);
    }

    @Override
    public LoadReport load() {
        List<Runnable> completions = new ArrayList<>();
        LoadReport report;
        synchronized (this) {
            processQueue(clock.monotonicMs(), completions);
            double instanceAdmissionLevel = instanceLevel.level();
            double admissionLevel = Math.min(instanceAdmissionLevel, downstreamLevel.level());
            report = new LoadReport(
                    inFlight,
                    limit.current(),
                    queue.size(),
                    admissionLevel,
                    instanceAdmissionLevel,
                    rateLimit.requestsPerS());
        }
        completions.forEach(Runnable::run);
        return report;
    }

    private void release(QueuedCall call, double admittedAtMs, CallResult result, double latencyMs) {
        List<Runnable> completions = new ArrayList<>();
        synchronized (this) {
            double nowMs = clock.monotonicMs();
            limit.onEnd(nowMs, result, latencyMs, inFlight);
            downstreamLevel.onEnd(call.request().criticality(), admittedAtMs, result);
            if (result == CallResult.SUCCEEDED) {
                runTimes.record(call.request(), latencyMs);
            }
            inFlight--;
            processQueue(nowMs, completions);
        }
        completions.forEach(Runnable::run);
    }

    private void cancel(QueuedCall call) {
        boolean removed;
        synchronized (this) {
            removed = queue.remove(call);
        }
        if (removed) {
            call.promise().complete(Either.left(AdmissionPromise.cancelled()));
        }
    }

    /**
     * Refuses expired calls, then starts the most important ones while slots are free. A call that could start but for
     * the rate limit is refused at once, since another instance may have room for it.
     */
    private void processQueue(double nowMs, List<Runnable> completions) {
        for (QueuedCall call : queue.removeExpired(nowMs)) {
            refuse(call, nowMs, "because it reached the queue time limit", completions);
        }
        queue.update(nowMs);
        instanceLevel.update(nowMs);
        downstreamLevel.update(nowMs);
        @Nullable QueuedCall next = queue.mostImportant();
        while (next != null && inFlight < instanceLevel.limitFor(next.request().criticality(), limit.current())) {
            if (rateLimit.tryTake(next.request())) {
                start(next, nowMs, completions);
            } else {
                refuseForRate(next, completions);
            }
            next = queue.mostImportant();
        }
    }

    private void start(QueuedCall call, double nowMs, List<Runnable> completions) {
        queue.remove(call);
        inFlight++;
        double waitedMs = nowMs - call.arrivedAtMs();
        instanceLevel.onStart(call.request().criticality(), waitedMs, limit.current());
        Permit permit = new CallPermit(call, nowMs, waitedMs);
        completions.add(() -> call.promise().complete(Either.right(permit)));
    }

    private void refuseForRate(QueuedCall call, List<Runnable> completions) {
        queue.remove(call);
        Criticality criticality = call.request().criticality();
        instanceLevel.onRateRefusal(criticality, call.arrivedAtMs());
        Failure failure = new Failure(
                ErrorKind.OVERLOADED,
                rateLimit.description() + " A " + criticality.code() + " call was refused.",
                Math.max(ErrorKind.OVERLOADED.retryAfterMs(), rateLimit.waitMs(call.request())));
        completions.add(() -> call.promise().complete(Either.left(failure)));
    }

    private void refuse(QueuedCall call, double nowMs, String reason, List<Runnable> completions) {
        Criticality criticality = call.request().criticality();
        double waitedMs = nowMs - call.arrivedAtMs();
        Failure failure;
        if (call.request().deadlineAtMs() <= nowMs) {
            failure = Failure.of(
                    ErrorKind.DEADLINE_BEFORE_RUN,
                    "The deadline passed after %.0f ms in the queue.".formatted(waitedMs));
        } else {
            instanceLevel.onRefusal(criticality, call.arrivedAtMs(), limit.current());
            failure = Failure.of(
                    ErrorKind.OVERLOADED,
                    "A %s call was refused after %.0f ms %s; %d calls were in flight (limit %d), %d were queued."
                            .formatted(criticality.code(), waitedMs, reason, inFlight, limit.current(), queue.size()));
        }
        completions.add(() -> call.promise().complete(Either.left(failure)));
    }

    /** Submitted call that waits for its decision. */
    private final class PendingCall implements PendingAdmission {
        private final QueuedCall call;

        PendingCall(QueuedCall call) {
            this.call = call;
        }

        @Override
        public Either<Failure, Permit> await() {
            try {
                // One millisecond more than the remaining time, because the wait is truncated to whole milliseconds.
                while (!call.promise().awaitFor((long) Math.max(0, call.expiresAtMs() - clock.monotonicMs()) + 1)) {
                    load();
                }
            } catch (InterruptedException e) {
                ProtectiveAdmission.this.cancel(call);
                Thread.currentThread().interrupt();
            }
            return call.promise().await(this::cancel);
        }

        @Override
        public void whenDecided(Consumer<Either<Failure, Permit>> consumer) {
            call.promise().whenDecided(consumer);
        }

        @Override
        public void cancel() {
            ProtectiveAdmission.this.cancel(call);
        }
    }

    /** Permit of one admitted call. */
    private final class CallPermit implements Permit {
        private final QueuedCall call;
        private final double admittedAtMs;
        private final double waitedMs;
        private final AtomicBoolean released = new AtomicBoolean();

        CallPermit(QueuedCall call, double admittedAtMs, double waitedMs) {
            this.call = call;
            this.admittedAtMs = admittedAtMs;
            this.waitedMs = waitedMs;
        }

        @Override
        public double waitedMs() {
            return waitedMs;
        }

        @Override
        public void release(CallResult result, double latencyMs) {
            if (released.compareAndSet(false, true)) {
                ProtectiveAdmission.this.release(call, admittedAtMs, result, latencyMs);
            }
        }
    }
}
