package org.sequoianotch.daemon.call;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.policy.retry.RetryAllowance;
import org.sequoianotch.time.Clock;

/**
 * What a node knows of a request while one of its calls is open here: deadline, criticality, retry allowance and what
 * has to be cancelled with it.
 *
 * <p>This class is thread-safe.
 */
public final class RequestContext {
    private final RequestId requestId;
    private final Criticality criticality;
    private final int depth;
    private final double deadlineAtMs;
    private final RetryAllowance allowance;
    private final Set<Runnable> cancelActions = new LinkedHashSet<>();
    private @Nullable Failure cancellation;
    private double lowestLevel = LoadReport.ADMIT_ALL;

    /**
     * Creates a context.
     *
     * @param requestId the request; not null
     * @param criticality how much the request matters; not null
     * @param depth calls above those that start from this context; not negative
     * @param deadlineAtMs deadline on the monotonic clock, in milliseconds
     * @param allowance retries that may be used from here; not null
     */
    public RequestContext(
            RequestId requestId, Criticality criticality, int depth, double deadlineAtMs, RetryAllowance allowance) {
        this.requestId = requestId;
        this.criticality = criticality;
        this.depth = depth;
        this.deadlineAtMs = deadlineAtMs;
        this.allowance = allowance;
    }

    /**
     * Returns the request.
     *
     * @return the identifier, never null
     */
    public RequestId requestId() {
        return requestId;
    }

    /**
     * Returns how much the request matters.
     *
     * @return the criticality, never null
     */
    public Criticality criticality() {
        return criticality;
    }

    /**
     * Returns the depth of calls that start from this context.
     *
     * @return calls above them in the chain; zero at the entry node
     */
    public int depth() {
        return depth;
    }

    /**
     * Returns the deadline.
     *
     * @return time on the monotonic clock, in milliseconds
     */
    public double deadlineAtMs() {
        return deadlineAtMs;
    }

    /**
     * Returns the time until the deadline.
     *
     * @param clock the clock; not null
     * @return whole milliseconds; zero or negative when the deadline has passed
     */
    public long timeLeftMs(Clock clock) {
        return (long) Math.floor(deadlineAtMs - clock.monotonicMs());
    }

    /**
     * Returns the retries that may be used from here.
     *
     * @return the allowance, never null
     */
    public RetryAllowance allowance() {
        return allowance;
    }

    /**
     * Takes in the load report of a sub-call. The lowest admission level of the calls below is passed up the chain, so
     * that the entry node can refuse what a deeper service would refuse after work was spent on it.
     *
     * @param load the load report; not null
     */
    public void observe(LoadReport load) {
        observeLevel(load.admissionLevel());
    }

    synchronized void observeLevel(double admissionLevel) {
        lowestLevel = Math.min(lowestLevel, admissionLevel);
    }

    synchronized double lowestLevel() {
        return lowestLevel;
    }

    /**
     * Returns a load report with the admission level lowered to that of the calls below.
     *
     * @param own the load of the instance itself; not null
     * @return the combined report, never null
     */
    public synchronized LoadReport combine(LoadReport own) {
        return new LoadReport(own.inFlight(), own.limit(), own.queued(), Math.min(own.admissionLevel(), lowestLevel));
    }

    /**
     * Registers an action that runs when the request is cancelled; at once if it was cancelled already.
     *
     * @param action the action, which must not block; not null
     */
    public void onCancel(Runnable action) {
        boolean runNow;
        synchronized (this) {
            runNow = cancellation != null;
            if (!runNow) {
                cancelActions.add(action);
            }
        }
        if (runNow) {
            action.run();
        }
    }

    /**
     * Removes an action of {@link #onCancel}.
     *
     * @param action the action; not null
     */
    public synchronized void removeCancelAction(Runnable action) {
        cancelActions.remove(action);
    }

    /**
     * Cancels everything that is open below this context. Later calls do nothing.
     *
     * @param failure why; not null
     */
    public void cancel(Failure failure) {
        List<Runnable> actions;
        synchronized (this) {
            if (cancellation != null) {
                return;
            }
            cancellation = failure;
            actions = List.copyOf(cancelActions);
            cancelActions.clear();
        }
        actions.forEach(Runnable::run);
    }

    /**
     * Tells whether and why the request was cancelled.
     *
     * @return the failure, or empty if it was not cancelled
     */
    public synchronized Optional<Failure> cancellation() {
        return Optional.ofNullable(cancellation);
    }
}
