package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.explain.EventKind;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.policy.retry.FailedAttempt;
import org.sequoianotch.policy.retry.RetryPolicy;
import org.sequoianotch.policy.routing.RoutingRequest;
import org.sequoianotch.protocol.ResponseTrailer;
import org.sequoianotch.time.Clock;

/**
 * Sends a call to instances of its service until one responds or no further attempt is allowed.
 *
 * <p>This class is thread-safe.
 */
final class CallForwarder {
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    /** Volume assumed for a body of unknown length when the price of a transfer to another region is estimated. */
    private static final long ASSUMED_BODY_BYTES = 16_384;

    private final InstanceDirectory directory;
    private final ServicePolicies policies;
    private final AttemptRunner attempts;
    private final RequestRecorder recorder;
    private final Clock clock;
    private final long assumedResponseBytes;

    CallForwarder(
            InstanceDirectory directory,
            ServicePolicies policies,
            AttemptRunner attempts,
            RequestRecorder recorder,
            Clock clock,
            long assumedResponseBytes) {
        this.directory = directory;
        this.policies = policies;
        this.attempts = attempts;
        this.recorder = recorder;
        this.clock = clock;
        this.assumedResponseBytes = assumedResponseBytes;
    }

    /** The hosts and the number of the attempts of one call, and its first failure in doubt. Not thread-safe. */
    private static final class AttemptHistory {
        private final Set<HostId> triedHosts = new HashSet<>();
        private int attempts;
        /** Whether an attempt has reached an instance, so that a later one is a repeat for the service. */
        private boolean reachedInstance;
        /** The first failure after which the call may have run. A refusal of a later attempt does not disprove it. */
        private @Nullable Failure firstInDoubt;

        boolean hasTriedAll(List<Instance> candidates) {
            for (Instance candidate : candidates) {
                if (!triedHosts.contains(candidate.host())) {
                    return false;
                }
            }
            return true;
        }

        void addFailure(Failure failure) {
            reachedInstance |= failure.kind() == ErrorKind.INSTANCE_REFUSED || !failure.provesNotRun();
            if (firstInDoubt == null && !failure.provesNotRun()) {
                firstInDoubt = failure;
            }
        }
    }

    /** Runs the call and retries it until it succeeds or no further attempt is allowed. */
    ForwardResult forward(OutboundCall outbound, RequestContext context, ReplayableBody body)
            throws InterruptedException {
        AttemptHistory history = new AttemptHistory();
        Optional<Failure> refusal = checkEntry(outbound, context);
        if (refusal.isPresent()) {
            return new ForwardResult(Either.left(refusal.get()), 0);
        }
        countFirstAttempt(outbound, context);
        while (true) {
            Either<Failure, Instance> selected = selectInstance(outbound, context, history);
            if (selected.isLeft()) {
                return failed(history, context, selected.getLeft());
            }
            Instance instance = selected.get();
            history.triedHosts.add(instance.host());
            history.attempts++;
            attempts.recordSent(outbound, context, instance, history.attempts);
            Either<Failure, IncomingResponse> response =
                    attempts.run(outbound, context, instance, body, history.reachedInstance);
            Optional<Failure> failure = failureOf(response);
            if (failure.isEmpty()) {
                return new ForwardResult(response, history.attempts);
            }
            history.addFailure(failure.get());
            recordFailure(outbound, context, instance, failure.get());
            if (isShedDownstream(response, context.criticality())
                    || !mayRetry(outbound, context, body, history, failure.get())) {
                return response.isRight()
                        ? new ForwardResult(response, history.attempts)
                        : failed(history, context, failure.get());
            }
        }
    }

    private void countFirstAttempt(OutboundCall outbound, RequestContext context) {
        RetryPolicy policy = policies.retryPolicy(outbound.limits());
        if (context.isRepeatedRun()) {
            policy.onFirstAttemptOfRepeatedRun(context.criticality());
        } else {
            policy.onFirstAttempt(context.criticality());
        }
    }

    private Optional<Failure> checkEntry(OutboundCall outbound, RequestContext context) {
        // Calls further down the chain are not refused here, because other services have already done work for them.
        if (context.depth() > 0) {
            return Optional.empty();
        }
        List<Instance> instances = directory.instances(outbound.service());
        return policies.gate(outbound.limits(), outbound.route()).check(context.criticality(), instances);
    }

    private Either<Failure, Instance> selectInstance(
            OutboundCall outbound, RequestContext context, AttemptHistory history) {
        if (context.timeLeftMs(clock) <= 0) {
            return Either.left(Failure.of(
                    ErrorKind.DEADLINE_BEFORE_RUN, "The deadline passed before the call was sent to an instance."));
        }
        List<Instance> candidates = directory.instances(outbound.service());
        if (history.hasTriedAll(candidates)) {
            history.triedHosts.clear();
        }
        long bodyBytes = outbound.bodyBytes() < 0 ? ASSUMED_BODY_BYTES : outbound.bodyBytes();
        long volumeBytes = bodyBytes + assumedResponseBytes;
        RoutingRequest request = new RoutingRequest(context.criticality(), volumeBytes, history.triedHosts);
        Optional<Instance> selected = policies.selector(outbound.limits()).select(request, candidates);
        if (selected.isPresent()) {
            return Either.right(selected.get());
        }
        return Either.left(Failure.of(
                ErrorKind.NO_INSTANCE,
                "None of the " + candidates.size() + " known instances of " + outbound.service() + " can be used."));
    }

    /**
     * Returns the failure of an attempt. With status 502, 503 or 504 an instance says that it could not serve the
     * call, so such a response counts as a failure and an idempotent call is retried.
     */
    private static Optional<Failure> failureOf(Either<Failure, IncomingResponse> response) {
        if (response.isLeft()) {
            return Optional.of(response.getLeft());
        }
        int status = response.get().head().status();
        if (status >= BAD_GATEWAY && status <= GATEWAY_TIMEOUT && response.get().isComplete()) {
            return Optional.of(
                    Failure.of(ErrorKind.CONNECTION_LOST, "The backend server responded with status " + status + "."));
        }
        return Optional.empty();
    }

    /** Tells whether the instance or its downstream services shed such calls, so that a retry would be shed too. */
    private static boolean isShedDownstream(Either<Failure, IncomingResponse> response, Criticality criticality) {
        return response.isRight()
                && response.get()
                        .call()
                        .trailer()
                        .map(ResponseTrailer::load)
                        .filter(load -> !load.isRateLimited() && load.admittedFraction(criticality) < 1)
                        .isPresent();
    }

    private boolean mayRetry(
            OutboundCall outbound,
            RequestContext context,
            ReplayableBody body,
            AttemptHistory history,
            Failure failure) {
        if (context.cancellation().isPresent() || !body.rewind()) {
            return false;
        }
        FailedAttempt failedAttempt = new FailedAttempt(
                failure, outbound.route().repeat(), context.criticality(), history.attempts, context.timeLeftMs(clock));
        return policies.retryPolicy(outbound.limits()).mayRetry(failedAttempt, context.allowance());
    }

    private static ForwardResult failed(AttemptHistory history, RequestContext context, Failure last) {
        Failure result = last;
        if (history.firstInDoubt != null && last.provesNotRun()) {
            result = Failure.of(
                    history.firstInDoubt.kind(),
                    history.firstInDoubt.detail() + " A later attempt did not run: " + last.detail());
        } else if (history.attempts > 1 && last.kind() == ErrorKind.NO_INSTANCE) {
            result = Failure.of(ErrorKind.RETRIES_EXHAUSTED, last.detail());
        }
        Optional<Cancellation> cancellation = context.cancellation();
        if (cancellation.isPresent() && !result.provesNotRun()) {
            result = cancellation.get().failure();
        }
        return new ForwardResult(Either.left(result), history.attempts);
    }

    private void recordFailure(OutboundCall outbound, RequestContext context, Instance instance, Failure failure) {
        recorder.record(
                context.requestId(),
                failure.provesNotRun() ? EventKind.REFUSED : EventKind.FAILED,
                String.format(
                        "The attempt at %s on host %s ended with %s (%s): %s",
                        outbound.service(),
                        instance.host(),
                        failure.kind().code(),
                        failure.kind().outcome().headerValue(),
                        failure.detail()));
    }

    /** Applies the trailer of a streamed response after its last part was read. */
    void applyTrailer(OutboundCall outbound, RequestContext context, IncomingResponse response) {
        attempts.applyTrailer(outbound, context, response.instance(), response.call());
    }
}
