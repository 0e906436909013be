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
 * Body parts that arrived and were not read yet. The window bounds them, so adding never blocks. Parts that are read
 * give the peer new room. This class is thread-safe.
 */
final class BodyQueue {
    /** Room is granted in steps, so that small parts do not cost a window frame each. */
    private static final int GRANT_STEP_BYTES = Frame.MAX_CHUNK_BYTES;

    private final Signal changed = new Signal();
    private final BooleanSupplier canTake = this::canTake;
    private final ArrayDeque<byte[]> parts = new ArrayDeque<>();
    private final IntConsumer grant;
    private int roomBytes = Frame.WINDOW_BYTES;
    private int readBytes;
    private boolean ended;
    private @Nullable Failure failure;

    /** Creates an empty queue; the action sends a window frame. */
    BodyQueue(IntConsumer grant) {
        this.grant = grant;
    }

    void add(byte[] part) throws ProtocolViolationException {
        synchronized (this) {
            if (ended) {
                throw new ProtocolViolationException("a body part follows the end of the body");
            }
            if (part.length > roomBytes) {
                throw new ProtocolViolationException("the peer sends more than the window allows");
            }
            roomBytes -= part.length;
            if (failure == null) {
                parts.add(part);
            }
        }
        changed.raise();
    }

    /** Marks the proper end of the body. */
    void end() throws ProtocolViolationException {
        synchronized (this) {
            if (ended) {
                throw new ProtocolViolationException("a body ends twice");
            }
            ended = true;
        }
        changed.raise();
    }

    /** Makes readers fail at once, unless the whole body has arrived. */
    void fail(Failure newFailure) {
        synchronized (this) {
            if (failure == null && !ended) {
                failure = newFailure;
                parts.clear();
            }
        }
        changed.raise();
    }

    /** Makes readers fail at once and drops what they did not read. */
    void discard(Failure newFailure) {
        synchronized (this) {
            if (failure == null) {
                failure = newFailure;
                parts.clear();
            }
        }
        changed.raise();
    }

    /** Takes the next part, or empty at the end of the body. */
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
                granted = release(part.length);
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

    private int release(int bytes) {
        readBytes += bytes;
        if (readBytes < GRANT_STEP_BYTES) {
            return 0;
        }
        int granted = readBytes;
        readBytes = 0;
        roomBytes += granted;
        return granted;
    }
}
