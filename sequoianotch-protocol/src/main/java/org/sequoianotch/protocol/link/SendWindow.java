package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.task.Signal;

/** Body bytes that one side of a call may still send. The call's task waits here. This class is thread-safe. */
final class SendWindow {
    private final Signal changed = new Signal();
    private int availableBytes = Frame.WINDOW_BYTES;
    private @Nullable Failure failure;

    /** Waits until something may be sent, and takes up to the wanted number of bytes. */
    Either<Failure, Integer> acquire(int wantedBytes) {
        try {
            changed.await(this::isOpenOrFailed);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.INTERNAL, "Interrupted while waiting for the send window."));
        }
        synchronized (this) {
            if (failure != null) {
                return Either.left(failure);
            }
            int taken = Math.min(wantedBytes, availableBytes);
            availableBytes -= taken;
            return Either.right(taken);
        }
    }

    private synchronized boolean isOpenOrFailed() {
        return availableBytes > 0 || failure != null;
    }

    void grant(int bytes) throws ProtocolViolationException {
        synchronized (this) {
            if (bytes > Frame.WINDOW_BYTES - availableBytes) {
                throw new ProtocolViolationException("the peer grants more than it received");
            }
            availableBytes += bytes;
        }
        changed.raise();
    }

    /** Makes all writers fail; the first failure counts. */
    void close(Failure newFailure) {
        synchronized (this) {
            if (failure == null) {
                failure = newFailure;
            }
        }
        changed.raise();
    }

    synchronized @Nullable Failure failure() {
        return failure;
    }
}
