package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameFormatException;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.ResponseTrailer;

/** Callee side of a call. The event loop of the link delivers its frames and is never blocked. */
final class ServedCall implements IncomingCall {
    private static final Logger LOG = LogManager.getLogger(ServedCall.class);

    private final long callId;
    private final CallHeader header;
    private final AcceptedLink link;
    private final SendWindow window = new SendWindow();
    private final BodyQueue body;
    private final Object lock = new Object();
    private final List<Consumer<Failure>> cancelActions = new ArrayList<>();
    private boolean responding;
    private boolean ended;
    private @Nullable Failure cancelled;

    ServedCall(long callId, CallHeader header, AcceptedLink link) {
        this.callId = callId;
        this.header = header;
        this.link = link;
        body = new BodyQueue(this::grant);
    }

    @Override
    public CallHeader header() {
        return header;
    }

    @Override
    public HostId from() {
        return link.peer();
    }

    @Override
    public Either<Failure, Optional<byte[]>> readBody() {
        return body.take(Long.MAX_VALUE);
    }

    @Override
    public Either<Failure, Void> startResponse(ResponseHeader responseHeader) {
        synchronized (lock) {
            if (ended) {
                return Either.left(endedFailure());
            }
            if (responding) {
                throw new IllegalStateException("The response has already started");
            }
            try {
                link.send(new Frame.ResponseStart(callId, responseHeader));
            } catch (FrameFormatException e) {
                return Either.left(
                        Failure.of(ErrorKind.INTERNAL, "The head of the response is too large: " + e.getMessage()));
            }
            responding = true;
            return Either.right(null);
        }
    }

    @Override
    public Either<Failure, Void> writeBody(byte[] bytes) {
        synchronized (lock) {
            if (!responding && !ended) {
                throw new IllegalStateException("The response has not started");
            }
        }
        return link.sendBody(callId, true, bytes, window);
    }

    @Override
    public Either<Failure, Void> endResponse(ResponseTrailer trailer) {
        synchronized (lock) {
            if (ended) {
                return Either.left(endedFailure());
            }
            if (!responding) {
                throw new IllegalStateException("The response has not started");
            }
            ended = true;
            link.sendSmall(new Frame.ResponseEnd(callId, trailer));
        }
        release();
        return Either.right(null);
    }

    @Override
    public void refuse(Failure failure, ResponseTrailer trailer) {
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            link.sendSmall(new Frame.Refused(callId, Link.shorten(failure), trailer));
        }
        release();
    }

    @Override
    public void onCancel(Consumer<Failure> action) {
        Failure reason;
        synchronized (lock) {
            reason = cancelled;
            if (reason == null) {
                if (!ended) {
                    cancelActions.add(action);
                }
                return;
            }
        }
        runSafely(action, reason);
    }

    void bodyPart(byte[] bytes) throws ProtocolViolationException {
        body.add(bytes);
    }

    void bodyEnded() throws ProtocolViolationException {
        body.end();
    }

    void windowGranted(int bytes) throws ProtocolViolationException {
        window.grant(bytes);
    }

    /** Ends the call after the caller cancelled it or the link was lost. */
    void cancel(Failure failure) {
        List<Consumer<Failure>> actions;
        synchronized (lock) {
            if (ended) {
                return;
            }
            ended = true;
            cancelled = failure;
            actions = List.copyOf(cancelActions);
            cancelActions.clear();
        }
        link.remove(callId);
        body.discard(failure);
        window.close(failure);
        actions.forEach(action -> runSafely(action, failure));
    }

    boolean isOpen() {
        synchronized (lock) {
            return !ended;
        }
    }

    private void release() {
        Failure failure = endedFailure();
        link.remove(callId);
        body.discard(failure);
        window.close(failure);
    }

    private Failure endedFailure() {
        Failure failure = cancelled;
        return failure == null ? Failure.of(ErrorKind.INTERNAL, "The call has already ended.") : failure;
    }

    private void grant(int bytes) {
        if (isOpen()) {
            link.sendSmall(new Frame.Window(callId, bytes));
        }
    }

    private void runSafely(Consumer<Failure> action, Failure reason) {
        try {
            action.accept(reason);
        } catch (RuntimeException e) {
            LOG.error("[peer] A cancel action of a call from {} for request {} failed", from(), header.requestId(), e);
        }
    }
}
