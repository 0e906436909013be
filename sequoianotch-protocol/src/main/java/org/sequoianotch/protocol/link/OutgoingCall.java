package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.ResponseTrailer;
import org.sequoianotch.task.Promise;

/** Caller side of a call. The event loop of the link delivers its frames and is never blocked. */
final class OutgoingCall implements PeerCall {
    private final long callId;
    private final OutgoingLink link;
    private final SendWindow window = new SendWindow();
    private final BodyQueue responseBody;
    private final Promise<Either<Failure, ResponseHeader>> head = new Promise<>();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean responding;
    private volatile @Nullable ResponseTrailer trailer;

    OutgoingCall(long callId, OutgoingLink link) {
        this.callId = callId;
        this.link = link;
        responseBody = new BodyQueue(this::grant);
    }

    @Override
    public Either<Failure, Void> writeBody(byte[] bytes) {
        return link.sendBody(callId, false, bytes, window);
    }

    @Override
    public Either<Failure, Void> endBody() {
        Failure failure = window.failure();
        if (responding) {
            return Either.right(null);
        }
        if (failure != null) {
            return Either.left(failure);
        }
        link.sendSmall(new Frame.BodyEnd(callId));
        return Either.right(null);
    }

    @Override
    public Either<Failure, ResponseHeader> awaitResponse(long timeoutMs) {
        try {
            Optional<Either<Failure, ResponseHeader>> result = head.await(timeoutMs);
            if (result.isPresent()) {
                return result.get();
            }
            return Either.left(Failure.of(
                    ErrorKind.DEADLINE_IN_DOUBT,
                    "Host " + link.peer() + " did not respond within " + timeoutMs + " ms."));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.INTERNAL, "Interrupted while waiting for the response."));
        }
    }

    @Override
    public Either<Failure, Optional<byte[]>> readResponseBody(long timeoutMs) {
        return responseBody.take(timeoutMs);
    }

    @Override
    public Optional<ResponseTrailer> trailer() {
        return Optional.ofNullable(trailer);
    }

    @Override
    public void cancel(String reason) {
        Failure failure = Failure.of(ErrorKind.CALL_CANCELLED, "The call was cancelled: " + reason);
        if (end(failure)) {
            link.sendSmall(new Frame.Cancel(callId, Link.shorten(reason)));
        }
        if (trailer == null) {
            responseBody.discard(failure);
        }
    }

    void responseStarted(ResponseHeader header) throws ProtocolViolationException {
        if (!head.set(Either.right(header)) && !ended.get()) {
            throw new ProtocolViolationException("the response of call " + callId + " starts twice");
        }
        responding = true;
        // The peer no longer reads the body, so a writer that waits for the window would never read the response.
        window.close(Failure.of(ErrorKind.BODY_INCOMPLETE, "The peer responded before the whole body was sent."));
    }

    void responsePart(byte[] bytes) throws ProtocolViolationException {
        checkStarted();
        responseBody.add(bytes);
    }

    void responseEnded(ResponseTrailer newTrailer) throws ProtocolViolationException {
        checkStarted();
        trailer = newTrailer;
        responseBody.end();
        end(Failure.of(ErrorKind.BODY_INCOMPLETE, "The peer completed its response before the whole body was sent."));
    }

    void refused(Failure failure, ResponseTrailer newTrailer) {
        trailer = newTrailer;
        boolean started = head.isSet();
        // A response that has started contradicts a kind that proves that the call did not run.
        end(
                started && failure.provesNotRun()
                        ? Failure.of(
                                ErrorKind.BACKEND_CUT_ANSWER,
                                "The response was cut with " + failure.kind().code() + ": " + failure.detail())
                        : failure);
    }

    void windowGranted(int bytes) throws ProtocolViolationException {
        window.grant(bytes);
    }

    /** Ends the call on this node; returns whether it was open. */
    boolean end(Failure failure) {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        link.remove(callId);
        // The head is set last, so that a thread that gets the failure from it finds the body closed as well.
        window.close(failure);
        responseBody.fail(failure);
        head.set(Either.left(failure));
        return true;
    }

    private void checkStarted() throws ProtocolViolationException {
        if (!head.isSet()) {
            throw new ProtocolViolationException(
                    "the response body or end of call " + callId + " precedes the response head");
        }
    }

    private void grant(int bytes) {
        if (!ended.get()) {
            link.sendSmall(new Frame.Window(callId, bytes));
        }
    }
}
