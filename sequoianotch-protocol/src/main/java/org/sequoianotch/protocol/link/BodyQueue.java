package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.task.Signal;

/**
 * Queue of received body parts that are not yet read.
 *
 * <p>The flow control window bounds the queue, so adding never blocks. Reading grants the peer more of the window.
 *
 * <p>This class is thread-safe, but only one thread may call {@link #take} at a time.
 */
final class BodyQueue {
    /** The window is granted in steps, so that not every small part costs a window frame. */
    private static final int GRANT_STEP_BYTES = Frame.MAX_CHUNK_BYTES;

    private final Signal changed = new Signal();
    private final BooleanSupplier canTake = this::canTake;
    private final ArrayDeque<byte[]> parts = new ArrayDeque<>();
    private final IntConsumer grant;
    private int windowBytes = Frame.WINDOW_BYTES;
    private int ungrantedBytes;
    private boolean ended;
    private @Nullable Failure failure;

    /** Creates an empty queue; {@code grant} sends a window frame for a number of bytes. */
    BodyQueue(IntConsumer grant) {
        this.grant = grant;
    }

    void add(byte[] part) throws ProtocolViolationException {
        synchronized (this) {
            if (ended) {
                throw new ProtocolViolationException("a body part follows the end of the body");
            }
            if (part.length > windowBytes) {
                throw new ProtocolViolationException("a body part exceeds the flow control window");
            }
            windowBytes -= part.length;
            if (failure == null) {
                parts.add(part);
            }
        }
        changed.raise();
    }

    /** Marks the body as complete. */
    void end() throws ProtocolViolationException {
        synchronized (this) {
            if (ended) {
                throw new ProtocolViolationException("the body of a call ends twice");
            }
            ended = true;
        }
        changed.raise();
    }

    /** Fails current and later readers, unless the whole body has arrived. */
    void fail(Failure newFailure) {
        synchronized (this) {
            if (failure == null && !ended) {
                failure = newFailure;
                parts.clear();
            }
        }
        changed.raise();
    }

    /** Fails current and later readers and drops unread parts, even of a complete body. */
    void discard(Failure newFailure) {
        synchronized (this) {
            if (failure == null) {
                failure = newFailure;
                parts.clear();
            }
        }
        changed.raise();
    }

    /** Waits for the next part; returns empty at the end of the body. */
    Either<Failure, Optional<byte[]>> take(long timeoutMs) {
        try {
            if (!changed.await(canTake, timeoutMs)) {
                return Either.left(Failure.of(
                        ErrorKind.DEADLINE_IN_DOUBT, "No part of the body arrived within " + timeoutMs + " ms."));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.INTERNAL, "Interrupted while waiting for the body."));
        }
        int granted = 0;
        byte @Nullable [] part;
        synchronized (this) {
            if (failure != null) {
                return Either.left(failure);
            }
            part = parts.poll();
            if (part != null && !ended) {
                granted = recordRead(part.length);
            }
        }
        if (granted > 0) {
            grant.accept(granted);
        }
        return Either.right(Optional.ofNullable(part));
    }

    private synchronized boolean canTake() {
        return !parts.isEmpty() || failure != null || ended;
    }

    private int recordRead(int bytes) {
        ungrantedBytes += bytes;
        if (ungrantedBytes < GRANT_STEP_BYTES) {
            return 0;
        }
        int granted = ungrantedBytes;
        ungrantedBytes = 0;
        windowBytes += granted;
        return granted;
    }
}
