package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.task.Signal;

/**
 * Flow control window of a call: the body bytes that this side may still send.
 *
 * <p>This class is thread-safe, but only one thread may call {@link #acquire} at a time.
 */
final class SendWindow {
    private final Signal changed = new Signal();
    private int availableBytes = Frame.WINDOW_BYTES;
    private @Nullable Failure failure;

    /** Waits until the window is not empty, and takes up to the wanted number of bytes from it. */
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
                throw new ProtocolViolationException("a window update grants more bytes than were sent");
            }
            availableBytes += bytes;
        }
        changed.raise();
    }

    /** Fails current and later writers. If called more than once, the first failure is kept. */
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
