package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.AnswerHeader;
import org.sequoianotch.protocol.AnswerTrailer;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameFormatException;

/** Serving side of a call. The link's thread delivers frames; they never block it. */
final class ServedCall implements IncomingCall {
    private static final Logger LOG = LogManager.getLogger(ServedCall.class);

    private final long callId;
    private final CallHeader header;
    private final AcceptedLink link;
    private final SendWindow window = new SendWindow();
    private final BodyQueue body;
    private final Object lock = new Object();
    private final List<Runnable> cancelActions = new ArrayList<>();
    private boolean answering;
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
    public Either<Failure, Void> answer(AnswerHeader answerHeader) {
        synchronized (lock) {
            if (ended) {
                return Either.left(endedFailure());
            }
            if (answering) {
                throw new IllegalStateException("The answer has started already");
            }
            try {
                link.send(new Frame.AnswerStart(callId, answerHeader));
            } catch (FrameFormatException e) {
                return Either.left(
                        Failure.of(ErrorKind.INTERNAL, "The head of the answer is too large: " + e.getMessage()));
            }
            answering = true;
            return Either.right(null);
        }
    }

    @Override
    public Either<Failure, Void> writeBody(byte[] bytes) {
        synchronized (lock) {
            if (!answering && !ended) {
                throw new IllegalStateException("The answer has not started");
            }
        }
        return link.sendBody(callId, true, bytes, window);
    }

    @Override
    public Either<Failure, Void> end(AnswerTrailer trailer) {
        synchronized (lock) {
            if (ended) {
                return Either.left(endedFailure());
            }
            if (!answering) {
                throw new IllegalStateException("The answer has not started");
            }
            ended = true;
            link.sendSmall(new Frame.AnswerEnd(callId, trailer));
        }
        release();
        return Either.right(null);
    }

    @Override
    public void refuse(Failure failure, AnswerTrailer trailer) {
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
    public void onCancel(Runnable action) {
        synchronized (lock) {
            if (cancelled == null) {
                if (!ended) {
                    cancelActions.add(action);
                }
                return;
            }
        }
        runSafely(action);
    }

    void bodyPart(byte[] bytes) throws ProtocolViolationException {
        body.add(bytes);
    }

    void bodyEnded() throws ProtocolViolationException {
        body.end();
    }

    void granted(int bytes) throws ProtocolViolationException {
        window.grant(bytes);
    }

    /** Ends the call because the caller cancelled it or the link was lost. */
    void cancel(Failure failure) {
        List<Runnable> actions;
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
        actions.forEach(ServedCall::runSafely);
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
        return failure == null ? Failure.of(ErrorKind.INTERNAL, "The call has ended already.") : failure;
    }

    private void grant(int bytes) {
        if (isOpen()) {
            link.sendSmall(new Frame.Window(callId, bytes));
        }
    }

    private static void runSafely(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("[peer] The action for a cancelled call failed", e);
        }
    }
}
