package org.sequoianotch.daemon.call;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.policy.retry.RetryAllowance;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.time.Clock;

/**
 * The state of a request while one of its calls is open on this node: its deadline, criticality and retry allowance,
 * and the actions that run when it is cancelled.
 *
 * <p>This class is thread-safe.
 */
public final class RequestContext {
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final RequestId requestId;
    private final Criticality criticality;
    private final int depth;
    private final double deadlineAtMs;
    private final double targetAtMs;
    private final RetryAllowance allowance;
    /** Whether the run to which calls from this context belong was made before. */
    private final boolean repeatedRun;
    /** The call that the backend server was serving when it made the sub-call of this context. */
    private final @Nullable RequestContext parent;

    private final Set<Runnable> cancelActions = new LinkedHashSet<>();
    private @Nullable Cancellation cancellation;
    private double lowestDownstreamLevel = LoadReport.ADMIT_ALL;
    private boolean subCallFailed;
    private final Runnable cancelWithParent = this::cancelWithParent;

    /**
     * Creates a context.
     *
     * @param requestId the request; not null
     * @param criticality criticality of the request; not null
     * @param depth depth in the call chain of calls that start from this context; zero at the entry node, not negative
     * @param deadlineAtMs deadline on the monotonic clock, in milliseconds
     * @param targetAtMs time until which a response has its full value for the caller, on the monotonic clock, in
     *     milliseconds; positive infinity if there is none
     * @param allowance retries that calls from this context may use; not null
     */
    public RequestContext(
            RequestId requestId,
            Criticality criticality,
            int depth,
            double deadlineAtMs,
            double targetAtMs,
            RetryAllowance allowance) {
        this(requestId, criticality, depth, deadlineAtMs, targetAtMs, allowance, false, null);
    }

    /** Creates the context of the calls that a run at an instance makes. */
    static RequestContext ofRun(CallHeader call, double deadlineAtMs, double targetAtMs) {
        return new RequestContext(
                call.requestId(),
                call.criticality(),
                call.depth() + 1,
                deadlineAtMs,
                targetAtMs,
                RetryAllowance.of(call.retryShare()),
                call.repeated(),
                null);
    }

    private RequestContext(
            RequestId requestId,
            Criticality criticality,
            int depth,
            double deadlineAtMs,
            double targetAtMs,
            RetryAllowance allowance,
            boolean repeatedRun,
            @Nullable RequestContext parent) {
        this.requestId = requestId;
        this.criticality = criticality;
        this.depth = depth;
        this.deadlineAtMs = deadlineAtMs;
        this.targetAtMs = targetAtMs;
        this.allowance = allowance;
        this.repeatedRun = repeatedRun;
        this.parent = parent;
    }

    /** Creates the context of a sub-call, which shares the retry allowance of this context. */
    RequestContext newSubCall(double ownDeadlineAtMs) {
        return newSubRequest(requestId, Math.min(deadlineAtMs, ownDeadlineAtMs), allowance);
    }

    /**
     * Creates the context of a sub-call that is a request of its own. It has the criticality of this context but no
     * target: its request has already cost work, which is lost if the sub-call waits behind others. It is cancelled
     * with this context until {@link #detach} is called.
     *
     * @param ownId id of the new request; not null
     * @param ownDeadlineAtMs deadline of the new request on the monotonic clock, in milliseconds
     * @param ownAllowance retries that the new request may use; not null
     */
    RequestContext newSubRequest(RequestId ownId, double ownDeadlineAtMs, RetryAllowance ownAllowance) {
        RequestContext context = new RequestContext(
                ownId, criticality, depth, ownDeadlineAtMs, Double.POSITIVE_INFINITY, ownAllowance, repeatedRun, this);
        onCancel(context.cancelWithParent);
        return context;
    }

    private void cancelWithParent() {
        Objects.requireNonNull(parent)
                .cancellation()
                .map(Cancellation::ofSubRequest)
                .ifPresent(this::cancel);
    }

    /** Removes the cancel action from the parent call, if there is one. To be called when a sub-call has ended. */
    void detach() {
        if (parent != null) {
            parent.removeCancelAction(cancelWithParent);
        }
    }

    /**
     * Returns the id of the request.
     *
     * @return the request id, never null
     */
    public RequestId requestId() {
        return requestId;
    }

    /**
     * Returns the criticality of the request.
     *
     * @return the criticality, never null
     */
    public Criticality criticality() {
        return criticality;
    }

    /**
     * Returns the depth of calls that start from this context.
     *
     * @return number of calls before them in the chain; zero at the entry node
     */
    public int depth() {
        return depth;
    }

    /** Returns whether the run that makes the calls of this context was made before. */
    boolean isRepeatedRun() {
        return repeatedRun;
    }

    /**
     * Returns the deadline.
     *
     * @return the deadline on the monotonic clock, in milliseconds
     */
    public double deadlineAtMs() {
        return deadlineAtMs;
    }

    /**
     * Returns the time until which a response has its full value for the caller.
     *
     * @return the time on the monotonic clock, in milliseconds; positive infinity if there is none
     */
    double targetAtMs() {
        return targetAtMs;
    }

    /** Returns the time until the target in milliseconds, as {@link CallHeader#targetLeftMs} has it. */
    long targetLeftMs(Clock clock) {
        return Double.isInfinite(targetAtMs)
                ? CallHeader.NO_TARGET
                : (long) Math.floor(targetAtMs - clock.monotonicMs());
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
     * Returns the retries that calls from this context may use.
     *
     * @return the allowance, never null
     */
    public RetryAllowance allowance() {
        return allowance;
    }

    /**
     * Records the load report of a sub-call. The lowest admission level of the downstream calls is reported up the
     * chain, so that the entry node can refuse requests that a service further down would refuse only after work was
     * done for them. The level of an instance that names a rate is left out, because its service may have others.
     *
     * @param load the load report; not null
     */
    public void recordLoad(LoadReport load) {
        if (!load.isRateLimited()) {
            recordLevel(load.admissionLevel());
        }
    }

    private void recordLevel(double admissionLevel) {
        synchronized (this) {
            lowestDownstreamLevel = Math.min(lowestDownstreamLevel, admissionLevel);
        }
        if (parent != null) {
            parent.recordLevel(admissionLevel);
        }
    }

    /**
     * Records the status that is about to be returned for this call. If a sub-call failed, a later error response of
     * the backend server that made it is not counted as a failure of that backend server.
     */
    void recordStatus(int status) {
        if (parent != null && status >= BAD_GATEWAY && status <= GATEWAY_TIMEOUT) {
            synchronized (parent) {
                parent.subCallFailed = true;
            }
        }
    }

    synchronized boolean hasFailedSubCall() {
        return subCallFailed;
    }

    /**
     * Returns a load report whose admission level is lowered to that of the downstream calls.
     *
     * @param own the load of the instance itself; not null
     * @return the combined report, never null
     */
    public synchronized LoadReport combine(LoadReport own) {
        return new LoadReport(
                own.inFlight(),
                own.limit(),
                own.queued(),
                Math.min(own.admissionLevel(), lowestDownstreamLevel),
                own.instanceLevel(),
                own.maxRequestsPerS());
    }

    /**
     * Registers an action that runs when the request is cancelled. It runs at once if the request was cancelled before.
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
     * Removes an action that was registered by {@link #onCancel}.
     *
     * @param action the action; not null
     */
    public synchronized void removeCancelAction(Runnable action) {
        cancelActions.remove(action);
    }

    /**
     * Cancels everything that is open below this context by running the registered actions. Later calls have no effect.
     *
     * @param newCancellation what ended it; not null
     */
    void cancel(Cancellation newCancellation) {
        List<Runnable> actions;
        synchronized (this) {
            if (cancellation != null) {
                return;
            }
            cancellation = newCancellation;
            actions = List.copyOf(cancelActions);
            cancelActions.clear();
        }
        actions.forEach(Runnable::run);
    }

    /** Cancels the request when its connection is closed, by its caller or by this node. */
    void cancelWhenClosed(HttpExchange exchange) {
        exchange.onClose(() -> cancel(Cancellation.ofClosedConnection(exchange.isClosedByNode())));
    }

    /**
     * Tells whether and why the request was cancelled.
     *
     * @return the cancellation, or empty if it was not cancelled
     */
    synchronized Optional<Cancellation> cancellation() {
        return Optional.ofNullable(cancellation);
    }

    /** Returns whether the request was cancelled because its work is no longer wanted. */
    boolean isWithdrawn() {
        return cancellation().filter(ended -> ended.cause().isWithdrawal()).isPresent();
    }
}
