package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.task.Signal;

/**
 * Bounded pipe for the body of a call between two tasks of this node. Its capacity does for a local call what the send
 * window of a link does for a remote one.
 *
 * <p>One task writes and one task reads.
 */
final class BodyPipe {
    private static final int CAPACITY_BYTES = 65_536;

    private final Signal spaceFreed = new Signal();
    private final Signal partAdded = new Signal();
    private final BooleanSupplier canRead = this::canRead;
    private final BooleanSupplier hasSpaceOrFailed = this::hasSpaceOrFailed;
    private final ArrayDeque<byte[]> parts = new ArrayDeque<>();
    private int bufferedBytes;
    private boolean ended;
    private @Nullable Failure failure;

    Either<Failure, Void> write(byte[] bytes) {
        try {
            spaceFreed.await(hasSpaceOrFailed);
        } catch (InterruptedException e) {
            return interrupted();
        }
        synchronized (this) {
            if (failure != null) {
                return Either.left(failure);
            }
            parts.add(bytes);
            bufferedBytes += bytes.length;
        }
        partAdded.raise();
        return Either.right(null);
    }

    private synchronized boolean hasSpaceOrFailed() {
        return bufferedBytes < CAPACITY_BYTES || failure != null;
    }

    Either<Failure, Void> end() {
        synchronized (this) {
            if (failure != null) {
                return Either.left(failure);
            }
            ended = true;
        }
        partAdded.raise();
        return Either.right(null);
    }

    void fail(Failure cause) {
        synchronized (this) {
            if (failure == null) {
                failure = cause;
            }
        }
        partAdded.raise();
        spaceFreed.raise();
    }

    Either<Failure, Optional<byte[]>> read(long timeoutMs) {
        try {
            if (!partAdded.await(canRead, timeoutMs)) {
                return Either.left(
                        Failure.of(ErrorKind.DEADLINE_IN_DOUBT, "No body data arrived before the deadline."));
            }
        } catch (InterruptedException e) {
            return interrupted();
        }
        byte @Nullable [] part;
        synchronized (this) {
            if (failure != null) {
                return Either.left(failure);
            }
            part = parts.poll();
            if (part != null) {
                bufferedBytes -= part.length;
            }
        }
        spaceFreed.raise();
        return Either.right(Optional.ofNullable(part));
    }

    private synchronized boolean canRead() {
        return !parts.isEmpty() || ended || failure != null;
    }

    private static <T> Either<Failure, T> interrupted() {
        Thread.currentThread().interrupt();
        return Either.left(Failure.of(ErrorKind.INTERNAL, "The thread was interrupted."));
    }
}
