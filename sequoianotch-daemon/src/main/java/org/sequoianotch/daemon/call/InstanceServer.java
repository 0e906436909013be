package org.sequoianotch.daemon.call;

import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.explain.EventKind;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.daemon.http.BackendConnection;
import org.sequoianotch.daemon.http.HeaderFields;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.policy.admission.AdmissionRequest;
import org.sequoianotch.policy.admission.CallResult;
import org.sequoianotch.policy.admission.PendingAdmission;
import org.sequoianotch.policy.admission.Permit;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.ResponseTrailer;
import org.sequoianotch.protocol.link.CallHandler;
import org.sequoianotch.protocol.link.IncomingCall;
import org.sequoianotch.time.Clock;

/**
 * Serves calls to the instance on this host: admits a call, sends it to the backend server and returns the response.
 *
 * <p>This class is thread-safe. Each call is served on a thread of its own.
 */
public final class InstanceServer implements CallHandler {
    private static final Logger LOG = LogManager.getLogger(InstanceServer.class);
    /** Placeholder that is sent as the load report if the load of an instance is not available. */
    private static final LoadReport NO_LOAD = new LoadReport(0, 1, 0, LoadReport.ADMIT_ALL);

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int SERVER_ERROR = 500;
    /** Interval of the check for an early response while the backend server does not read the request body. */
    private static final long WRITABLE_POLL_MS = 20;
    /** A body that is not forwarded is read only for the reuse of its connection; a new one costs less than this. */
    private static final long MAX_DISCARDED_BYTES = 65_536;

    private static final long MAX_DISCARD_MS = 50;

    private final LocalInstances instances;
    private final ContextRegistry contexts;
    private final RequestRecorder recorder;
    private final Clock clock;
    private final Timer timer;
    private final BackendHeaderCodec headerCodec;

    /**
     * Creates a server.
     *
     * @param instances the instances on this host; not null
     * @param contexts the contexts of open calls; not null
     * @param recorder records the events of requests; not null
     * @param clock the clock; not null
     * @param timer ends calls at their deadline; not null
     * @param headerCodec writes and reads the headers of backend servers; not null
     */
    public InstanceServer(
            LocalInstances instances,
            ContextRegistry contexts,
            RequestRecorder recorder,
            Clock clock,
            Timer timer,
            BackendHeaderCodec headerCodec) {
        this.instances = instances;
        this.contexts = contexts;
        this.recorder = recorder;
        this.clock = clock;
        this.timer = timer;
        this.headerCodec = headerCodec;
    }

    @Override
    public void handle(IncomingCall call) {
        CallHeader header = call.header();
        RequestContext context =
                RequestContext.ofRun(header, clock.monotonicMs() + header.timeLeftMs(), targetAtMs(header));
        Timeout deadline = timer.newTimeout(
                timeout -> context.cancel(
                        new Cancellation(CancelCause.TIME_LIMIT_PASSED, "The deadline passed at the instance's node.")),
                header.timeLeftMs(),
                TimeUnit.MILLISECONDS);
        call.onCancel(reason -> context.cancel(new Cancellation(CancelCause.CALL_ABOVE_ENDED, reason.detail())));
        try {
            admit(call, context);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.error(
                    "[call] Unexpected exception while serving request {} to {}.",
                    header.requestId(),
                    header.service(),
                    e);
            refuse(call, context, Failure.of(ErrorKind.INTERNAL, e.toString()), null);
        } finally {
            deadline.cancel();
        }
    }

    private double targetAtMs(CallHeader header) {
        return header.targetLeftMs() == CallHeader.NO_TARGET
                ? Double.POSITIVE_INFINITY
                : clock.monotonicMs() + header.targetLeftMs();
    }

    private void admit(IncomingCall call, RequestContext context) throws InterruptedException {
        LocalInstance instance = instances.find(call.header().service());
        if (instance == null) {
            String detail = "There is no instance of " + call.header().service() + " on this host.";
            refuse(call, context, Failure.of(ErrorKind.NO_INSTANCE, detail), null);
            return;
        }
        boolean isKnownToLeave = applyRemembered(call, instance);
        if (instances.isDraining() || isKnownToLeave || !isStillAccepting(instance)) {
            refuse(call, context, drainingFailure(call.header()), instance);
            return;
        }
        PendingAdmission pending = instance.admission()
                .submit(new AdmissionRequest(
                        context.requestId(),
                        context.criticality(),
                        call.header().depth(),
                        context.deadlineAtMs(),
                        context.targetAtMs()));
        Runnable leaveQueue = pending::cancel;
        context.onCancel(leaveQueue);
        Either<Failure, Permit> admitted = pending.await();
        context.removeCancelAction(leaveQueue);
        if (admitted.isLeft()) {
            refuse(call, context, admitted.getLeft(), instance);
            return;
        }
        serve(call, context, instance, admitted.get());
    }

    /** Returns whether the sending node knows that the instance is leaving, so that the call must not reach it. */
    private boolean applyRemembered(IncomingCall call, LocalInstance instance) {
        InstanceNotice remembered = call.header().notice();
        if (remembered == null) {
            return false;
        }
        instance.notice().onRemembered(remembered, call.from());
        instances.applyLeaving(instance);
        return remembered.leaving()
                && remembered.incarnation() == instance.notice().incarnation();
    }

    private void serve(IncomingCall call, RequestContext context, LocalInstance instance, Permit permit)
            throws InterruptedException {
        double startedAtMs = clock.monotonicMs();
        CallResult result = CallResult.FAILED;
        contexts.add(context);
        try {
            Either<Failure, BackendConnection> started = start(call, context, instance, permit);
            if (started.isLeft()) {
                result = resultOf(Either.left(started.getLeft()), context);
                refuse(call, context, started.getLeft(), instance);
                return;
            }
            BackendConnection connection = started.get();
            Runnable close = connection::close;
            context.onCancel(close);
            Either<Failure, Integer> status = exchange(call, context, connection, instance);
            context.removeCancelAction(close);
            result = resultOf(status, context);
            if (status.isLeft()) {
                if (status.getLeft().kind() == ErrorKind.INSTANCE_REFUSED) {
                    connection.release();
                } else {
                    connection.close();
                }
                refuse(call, context, withCancellation(status.getLeft(), context), instance);
            } else {
                connection.release();
            }
        } finally {
            contexts.remove(context);
            permit.release(result, clock.monotonicMs() - startedAtMs);
        }
    }

    private static CallResult resultOf(Either<Failure, Integer> status, RequestContext context) {
        if (status.isRight()) {
            if (status.get() >= SERVER_ERROR && context.hasFailedSubCall()) {
                return CallResult.SHED_DOWNSTREAM;
            }
            if (status.get() == SERVICE_UNAVAILABLE) {
                return CallResult.OVERLOADED;
            }
            return status.get() >= SERVER_ERROR ? CallResult.FAILED : CallResult.SUCCEEDED;
        }
        if (context.isWithdrawn()) {
            return CallResult.CANCELLED;
        }
        return switch (status.getLeft().kind()) {
            case BODY_INCOMPLETE -> CallResult.CANCELLED;
            case BACKEND_CUT_ANSWER -> CallResult.FAILED;
            default -> CallResult.OVERLOADED;
        };
    }

    private static Failure withCancellation(Failure failure, RequestContext context) {
        return failure.provesNotRun()
                ? failure
                : context.cancellation().map(Cancellation::failure).orElse(failure);
    }

    /**
     * Passes the head of the call to a connection. A pooled connection that the backend server has closed is replaced,
     * because nothing was sent over it.
     *
     * @return the connection, or a failure that proves that nothing was sent
     */
    private Either<Failure, BackendConnection> start(
            IncomingCall call, RequestContext context, LocalInstance instance, Permit permit)
            throws InterruptedException {
        CallHeader header = call.header();
        while (context.cancellation().isEmpty() && context.timeLeftMs(clock) > 0) {
            if (!isStillAccepting(instance)) {
                return Either.left(drainingFailure(header));
            }
            Either<Failure, BackendConnection> connected = instance.client().connect();
            if (connected.isLeft()) {
                return connected;
            }
            BackendConnection connection = connected.get();
            if (connection.hasRefused(context.requestId())) {
                connection.close();
                continue;
            }
            boolean started = connection.start(
                    header.method(),
                    header.path(),
                    headerCodec.requestHeaders(header, instance.instanceId(), remainingMs(context)),
                    header.bodyBytes(),
                    remainingMs(context));
            if (started) {
                recordSent(context, header, instance, permit);
                return connected;
            }
            connection.close();
            if (!connection.isReused()) {
                return Either.left(Failure.of(
                        ErrorKind.NO_INSTANCE,
                        "The backend server closed a new connection before the request was sent."));
            }
        }
        return Either.left(Failure.of(
                ErrorKind.DEADLINE_BEFORE_RUN,
                "The call was cancelled or its deadline passed before it was sent to the backend server."));
    }

    /**
     * Checks the instance again before a call is sent to it. While the call waited in the queue, or the process was
     * paused, the instance may have left or another one may have taken its place.
     */
    private boolean isStillAccepting(LocalInstance admittedBy) {
        LocalInstance current = instances.find(admittedBy.service());
        return current != null && current.client() == admittedBy.client() && current.accepts(clock.monotonicMs());
    }

    private static Failure drainingFailure(CallHeader header) {
        return Failure.of(ErrorKind.DRAINING, "The instance of " + header.service() + " is draining.");
    }

    private void recordSent(RequestContext context, CallHeader header, LocalInstance instance, Permit permit) {
        instances.countSentRequest();
        LoadReport load = instance.admission().load();
        recorder.record(
                context.requestId(),
                EventKind.ADMITTED,
                () -> String.format(
                        "Sent to the backend server of %s after %.1f ms in the queue, with %d of %d calls in flight.",
                        header.service(), permit.waitedMs(), load.inFlight(), load.limit()));
    }

    /** Sends the body and forwards the response; returns its status, or the failure that ended the call. */
    private Either<Failure, Integer> exchange(
            IncomingCall call, RequestContext context, BackendConnection connection, LocalInstance instance)
            throws InterruptedException {
        Either<Failure, Void> sent = sendBody(call, context, connection);
        if (sent.isLeft()) {
            return Either.left(sent.getLeft());
        }
        return awaitMatchingResponse(call, context, instance, connection);
    }

    /** Waits for the response to this call; late responses to earlier requests on the connection are discarded. */
    private Either<Failure, Integer> awaitMatchingResponse(
            IncomingCall call, RequestContext context, LocalInstance instance, BackendConnection connection)
            throws InterruptedException {
        while (true) {
            Either<Failure, ResponseHeader> head = connection.awaitResponse(remainingMs(context));
            if (head.isLeft()) {
                return Either.left(head.getLeft());
            }
            BackendResponseInfo info = headerCodec.readResponse(call.header(), head.get());
            if (info.invalid()) {
                String detail = "The instance's response with status "
                        + head.get().status() + " is invalid and was not forwarded.";
                return Either.left(Failure.of(ErrorKind.BACKEND_CUT_ANSWER, detail));
            }
            boolean mayBeCopy = info.notExecuted() && !info.namesCall() && connection.hasRefusedAny();
            if (info.belongsToCall() && !mayBeCopy && info.statement() != null) {
                instance.notice().onResponse(info.statement(), context.requestId(), connection.headReceivedAtMs());
                instances.applyLeaving(instance);
            }
            if (info.belongsToCall() && !info.notExecuted()) {
                if (info.maxIdleMs() > 0) {
                    connection.setMaxIdleMs(info.maxIdleMs());
                }
                return forwardResponse(call, context, instance, connection, head.get());
            }
            if (info.belongsToCall() && mayBeCopy) {
                String detail = "The instance sent a refusal that names no request, and that may be a copy of an"
                        + " earlier one on the same connection.";
                return Either.left(Failure.of(ErrorKind.BACKEND_CUT_ANSWER, detail));
            }
            if (info.belongsToCall()) {
                connection.recordRefusal(context.requestId());
                if (!discardBody(connection, Math.min(MAX_DISCARD_MS, remainingMs(context)))) {
                    connection.close();
                }
                String detail = "The instance rejected the call with status "
                        + head.get().status() + " and stated that the call did not run.";
                return Either.left(Failure.of(ErrorKind.INSTANCE_REFUSED, detail));
            }
            LOG.warn(
                    "[call] Discarded a response to an earlier request while waiting for the response to request {}.",
                    context.requestId());
            if (!discardBody(connection, remainingMs(context))) {
                return Either.left(Failure.of(
                        ErrorKind.BACKEND_CUT_ANSWER,
                        "The instance sent a response to an earlier request that did not end within "
                                + MAX_DISCARDED_BYTES + " bytes and the time that was left."));
            }
        }
    }

    /** Reads the rest of a body; returns false if it is too long, incomplete or takes too long. */
    private boolean discardBody(BackendConnection connection, long timeoutMs) throws InterruptedException {
        double endMs = clock.monotonicMs() + timeoutMs;
        long discardedBytes = 0;
        while (discardedBytes <= MAX_DISCARDED_BYTES && clock.monotonicMs() < endMs) {
            Either<Failure, Optional<byte[]>> part =
                    connection.readResponseBody((long) Math.ceil(endMs - clock.monotonicMs()));
            if (part.isLeft() || part.get().isEmpty()) {
                return part.isRight();
            }
            discardedBytes += part.get().get().length;
        }
        return false;
    }

    private Either<Failure, Void> sendBody(IncomingCall call, RequestContext context, BackendConnection connection)
            throws InterruptedException {
        if (call.header().bodyBytes() == 0) {
            return Either.right(null);
        }
        while (!connection.hasResponse()) {
            Either<Failure, Optional<byte[]>> part = call.readBody();
            if (part.isLeft()) {
                return Either.left(Failure.of(
                        ErrorKind.BODY_INCOMPLETE,
                        "The request body is incomplete: " + part.getLeft().detail()));
            }
            if (!awaitWritable(context, connection)) {
                return Either.left(Failure.of(
                        ErrorKind.CONNECTION_LOST, "The backend server did not read the whole request body."));
            }
            if (connection.hasResponse()) {
                break;
            }
            boolean written = part.get().isPresent()
                    ? connection.write(part.get().get(), remainingMs(context))
                    : connection.end(remainingMs(context));
            if (!written) {
                return Either.left(Failure.of(
                        ErrorKind.CONNECTION_LOST, "The backend server did not read the whole request body."));
            }
            if (part.get().isEmpty()) {
                return Either.right(null);
            }
        }
        // The backend server responded before it read the whole body; the rest is not sent.
        return Either.right(null);
    }

    /** Waits until the connection accepts more bytes or a response has arrived; false if the deadline passes first. */
    private boolean awaitWritable(RequestContext context, BackendConnection connection) throws InterruptedException {
        while (!connection.awaitWritable(WRITABLE_POLL_MS)) {
            if (connection.hasResponse()) {
                return true;
            }
            if (context.timeLeftMs(clock) <= 0) {
                return false;
            }
        }
        return true;
    }

    private Either<Failure, Integer> forwardResponse(
            IncomingCall call,
            RequestContext context,
            LocalInstance instance,
            BackendConnection connection,
            ResponseHeader head) {
        ResponseHeader forwardedHead = new ResponseHeader(
                head.status(),
                HeaderFields.endToEnd(head.headers()),
                head.bodyBytes(),
                instance.notice().current());
        Either<Failure, Void> written = call.startResponse(forwardedHead);
        try {
            while (written.isRight()) {
                Either<Failure, Optional<byte[]>> part = connection.readResponseBody(remainingMs(context));
                if (part.isLeft()) {
                    return Either.left(part.getLeft());
                }
                if (part.get().isEmpty()) {
                    break;
                }
                written = call.writeBody(part.get().get());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.INTERNAL, "The node is being stopped."));
        }
        if (written.isLeft()) {
            return Either.left(written.getLeft());
        }
        recorder.record(
                context.requestId(),
                EventKind.ANSWERED,
                () -> "The backend server of " + call.header().service() + " responded with status " + head.status()
                        + ".");
        call.endResponse(
                trailer(context, instance.admission().load(), instance.notice().current()));
        return Either.right(head.status());
    }

    private void refuse(IncomingCall call, RequestContext context, Failure failure, @Nullable LocalInstance instance) {
        LoadReport load = instance == null ? NO_LOAD : instance.admission().load();
        EventKind kind = failure.provesNotRun() ? EventKind.REFUSED : EventKind.FAILED;
        recorder.record(
                context.requestId(),
                kind,
                String.format(
                        "The call to %s ended at the instance's node with %s: %s %d of %d calls in flight, %d queued.",
                        call.header().service(),
                        failure.kind().code(),
                        failure.detail(),
                        load.inFlight(),
                        load.limit(),
                        load.queued()));
        InstanceNotice notice = instance == null ? null : instance.notice().current();
        call.refuse(failure, trailer(context, load, notice));
    }

    private static ResponseTrailer trailer(RequestContext context, LoadReport load, @Nullable InstanceNotice notice) {
        return new ResponseTrailer(context.allowance().close(), context.combine(load), notice);
    }

    private long remainingMs(RequestContext context) {
        return Math.max(1, context.timeLeftMs(clock));
    }
}
