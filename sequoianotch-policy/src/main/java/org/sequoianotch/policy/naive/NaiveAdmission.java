package org.sequoianotch.policy.naive;

import io.vavr.control.Either;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.policy.admission.AdmissionControl;
import org.sequoianotch.policy.admission.AdmissionPromise;
import org.sequoianotch.policy.admission.AdmissionRequest;
import org.sequoianotch.policy.admission.CallResult;
import org.sequoianotch.policy.admission.PendingAdmission;
import org.sequoianotch.policy.admission.Permit;
import org.sequoianotch.time.Clock;

/**
 * Admission control in the order of arrival, limited by the slots, with an unbounded queue.
 *
 * <p>Criticality and deadlines are ignored, so that the wait is bounded only by {@link PendingAdmission#cancel}. This
 * class is thread-safe.
 */
public final class NaiveAdmission implements AdmissionControl {
    private final int slots;
    private final Clock clock;
    private final Set<PendingCall> queue = new LinkedHashSet<>();
    private int inFlight;

    /**
     * Creates the admission control of one instance.
     *
     * @param slots calls that the backend server runs concurrently; at least 1
     * @param clock the clock; not null
     */
    public NaiveAdmission(int slots, Clock clock) {
        this.slots = slots;
        this.clock = clock;
    }

    @Override
    public PendingAdmission submit(AdmissionRequest request) {
        PendingCall pending = new PendingCall(clock.monotonicMs());
        synchronized (this) {
            queue.add(pending);
        }
        startNext();
        return pending;
    }

    @Override
    public synchronized LoadReport load() {
        return new LoadReport(inFlight, slots, queue.size(), LoadReport.ADMIT_ALL);
    }

    private void startNext() {
        @Nullable PendingCall next = null;
        synchronized (this) {
            if (inFlight < slots && !queue.isEmpty()) {
                next = queue.iterator().next();
                queue.remove(next);
                inFlight++;
            }
        }
        if (next != null) {
            next.promise.complete(Either.right(new CallPermit(clock.monotonicMs() - next.arrivedAtMs)));
        }
    }

    private void release() {
        synchronized (this) {
            inFlight--;
        }
        startNext();
    }

    private void cancel(PendingCall pending) {
        boolean removed;
        synchronized (this) {
            removed = queue.remove(pending);
        }
        if (removed) {
            pending.promise.complete(Either.left(AdmissionPromise.cancelled()));
        }
    }

    /** Submitted call that waits for its decision. */
    private final class PendingCall implements PendingAdmission {
        private final AdmissionPromise promise = new AdmissionPromise();
        private final double arrivedAtMs;

        PendingCall(double arrivedAtMs) {
            this.arrivedAtMs = arrivedAtMs;
        }

        @Override
        public Either<Failure, Permit> await() {
            return promise.await(this::cancel);
        }

        @Override
        public void whenDecided(Consumer<Either<Failure, Permit>> consumer) {
            promise.whenDecided(consumer);
        }

        @Override
        public void cancel() {
            NaiveAdmission.this.cancel(this);
        }
    }

    /** Permit of one admitted call. */
    private final class CallPermit implements Permit {
        private final double waitedMs;
        private final AtomicBoolean released = new AtomicBoolean();

        CallPermit(double waitedMs) {
            this.waitedMs = waitedMs;
        }

        @Override
        public double waitedMs() {
            return waitedMs;
        }

        @Override
        public void release(CallResult result, double latencyMs) {
            if (released.compareAndSet(false, true)) {
                NaiveAdmission.this.release();
            }
        }
    }
}
