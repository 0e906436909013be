package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.explain.EventKind;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.policy.routing.Attempt;
import org.sequoianotch.policy.routing.AttemptResult;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.ResponseTrailer;
import org.sequoianotch.protocol.link.CallHandler;
import org.sequoianotch.protocol.link.PeerCall;
import org.sequoianotch.protocol.link.PeerNetwork;
import org.sequoianotch.time.Clock;

/**
 * Sends a call to one instance and receives its response.
 *
 * <p>The instance on the node's own host is called directly, without a link.
 *
 * <p>This class is thread-safe.
 */
final class AttemptRunner {
    private static final int SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final NodeLocation location;
    private final PeerNetwork network;
    private final CallHandler localHandler;
    private final ServicePolicies policies;
    private final RequestRecorder recorder;
    private final Clock clock;
    private final RememberedNotices notices = new RememberedNotices();

    AttemptRunner(
            NodeLocation location,
            PeerNetwork network,
            CallHandler localHandler,
            ServicePolicies policies,
            RequestRecorder recorder,
            Clock clock) {
        this.location = location;
        this.network = network;
        this.localHandler = localHandler;
        this.policies = policies;
        this.recorder = recorder;
        this.clock = clock;
    }

    /**
     * Makes one attempt; {@code repeated} tells whether an earlier one has reached an instance. On success, the
     * response has arrived completely or its buffer is full.
     */
    Either<Failure, IncomingResponse> run(
            OutboundCall outbound, RequestContext context, Instance instance, ReplayableBody body, boolean repeated)
            throws InterruptedException {
        double startedAtMs = clock.monotonicMs();
        RemainingTime time = new RemainingTime(context, clock);
        Attempt attempt = policies.selector(outbound.limits()).start(instance);
        Either<Failure, PeerCall> opened = open(outbound, context, instance, repeated);
        if (opened.isLeft()) {
            attempt.finish(AttemptResult.UNREACHABLE, clock.monotonicMs() - startedAtMs, null);
            return Either.left(opened.getLeft());
        }
        PeerCall call = opened.get();
        Runnable cancel = () -> call.cancel(cancelReason(context));
        context.onCancel(cancel);
        Either<Failure, IncomingResponse> response = exchange(call, context, instance, body, time);
        if (response.isLeft()) {
            context.removeCancelAction(cancel);
            call.cancel("the attempt failed");
        }
        LoadReport load = call.trailer().map(ResponseTrailer::load).orElse(null);
        if (response.isLeft() || response.get().isComplete()) {
            applyTrailer(outbound, context, instance, call);
        }
        attempt.finish(resultOf(response, context), clock.monotonicMs() - startedAtMs, load);
        return response;
    }

    /** Tells the other node why the call ends, for its record. */
    private static String cancelReason(RequestContext context) {
        return context.cancellation().map(Cancellation::detail).orElse("The request was cancelled.");
    }

    private Either<Failure, PeerCall> open(
            OutboundCall outbound, RequestContext context, Instance instance, boolean repeated) {
        CallHeader header = new CallHeader(
                context.requestId(),
                outbound.service(),
                outbound.method(),
                outbound.path(),
                outbound.headers(),
                new RemainingTime(context, clock).remainingMs(),
                context.targetLeftMs(clock),
                context.criticality(),
                context.allowance().takeShare(),
                context.depth(),
                outbound.key(),
                outbound.bodyBytes(),
                repeated || context.isRepeatedRun(),
                notices.find(instance.host(), outbound.service()));
        Either<Failure, PeerCall> opened = instance.host().equals(location.host())
                ? Either.right(LocalCall.open(header, location.host(), localHandler))
                : network.open(instance.peerAddress(), header);
        if (opened.isLeft()) {
            context.allowance().giveBack(header.retryShare());
        }
        return opened;
    }

    private Either<Failure, IncomingResponse> exchange(
            PeerCall call, RequestContext context, Instance instance, ReplayableBody body, RemainingTime time)
            throws InterruptedException {
        Failure bodyFailure = sendBody(call, body);
        if (bodyFailure != null) {
            return Either.left(bodyFailure);
        }
        Either<Failure, ResponseHeader> head = call.awaitResponse(time.remainingMs());
        if (head.isLeft()) {
            return Either.left(head.getLeft());
        }
        notices.store(instance.host(), instance.service(), head.get().notice());
        IncomingResponse response = new IncomingResponse(instance, call, head.get());
        return response.fillBuffer(time).map(filled -> response);
    }

    /**
     * Sends the request body. A failed write is ignored, because a peer stops reading only after it
     * responded or refused.
     *
     * @return the failure if the caller did not send its whole body, otherwise null
     */
    private static @Nullable Failure sendBody(PeerCall call, ReplayableBody body) throws InterruptedException {
        while (true) {
            Either<Failure, Optional<byte[]>> part = body.read();
            if (part.isLeft()) {
                return part.getLeft();
            }
            if (part.get().isEmpty()) {
                call.endBody();
                return null;
            }
            if (call.writeBody(part.get().get()).isLeft()) {
                return null;
            }
        }
    }

    /** Returns unused retries to the allowance and records the reported load. To be called once the call has ended. */
    void applyTrailer(OutboundCall outbound, RequestContext context, Instance instance, PeerCall call) {
        call.trailer().ifPresent(trailer -> {
            context.allowance().giveBack(trailer.returnedRetries());
            context.recordLoad(trailer.load());
            notices.store(instance.host(), instance.service(), trailer.notice());
            policies.gate(outbound.limits(), outbound.route()).observe(instance.host(), trailer.load());
        });
    }

    private static AttemptResult resultOf(Either<Failure, IncomingResponse> response, RequestContext context) {
        if (response.isRight()) {
            int status = response.get().head().status();
            // A backend server that sheds load is healthy; ejecting it would move its load to the other instances.
            if (status == SERVICE_UNAVAILABLE) {
                return AttemptResult.REFUSED;
            }
            return status >= SERVER_ERROR ? AttemptResult.SERVER_ERROR : AttemptResult.SUCCEEDED;
        }
        if (context.isWithdrawn()) {
            return AttemptResult.CANCELLED;
        }
        return switch (response.getLeft().kind()) {
            case OVERLOADED, INSTANCE_REFUSED, DRAINING, DEADLINE_BEFORE_RUN -> AttemptResult.REFUSED;
            case DEADLINE_IN_DOUBT -> AttemptResult.TIMED_OUT;
            case BODY_INCOMPLETE, CALLER_GONE, CALL_CANCELLED -> AttemptResult.CANCELLED;
            default -> AttemptResult.UNREACHABLE;
        };
    }

    void recordSent(OutboundCall outbound, RequestContext context, Instance instance, int attempts) {
        EventKind kind = attempts == 1 ? EventKind.SENT : EventKind.RETRIED;
        String action = attempts == 1 ? "Sent" : "Sent again";
        recorder.record(
                context.requestId(),
                kind,
                () -> String.format(
                        "%s to %s at host %s in data centre %s by %s, with %d ms and %d retries left.",
                        action,
                        outbound.service(),
                        instance.host(),
                        instance.dataCentre(),
                        outbound.ruleLabel(),
                        context.timeLeftMs(clock),
                        context.allowance().remaining()));
    }
}
