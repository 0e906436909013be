package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Frame;

/** Body bytes that one side of a call may still send. Writers wait here. This class is thread-safe. */
final class SendWindow {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private int availableBytes = Frame.WINDOW_BYTES;
    private @Nullable Failure failure;

    /** Waits until something may be sent, and takes up to the wanted number of bytes. */
    Either<Failure, Integer> acquire(int wantedBytes) {
        lock.lock();
        try {
            while (failure == null && availableBytes == 0) {
                changed.await();
            }
            if (failure != null) {
                return Either.left(failure);
            }
            int taken = Math.min(wantedBytes, availableBytes);
            availableBytes -= taken;
            return Either.right(taken);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.INTERNAL, "Interrupted while waiting for the send window."));
        } finally {
            lock.unlock();
        }
    }

    void grant(int bytes) throws ProtocolViolationException {
        lock.lock();
        try {
            if (bytes > Frame.WINDOW_BYTES - availableBytes) {
                throw new ProtocolViolationException("the peer grants more than it received");
            }
            availableBytes += bytes;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Makes all writers fail; the first failure counts. */
    void close(Failure newFailure) {
        lock.lock();
        try {
            if (failure == null) {
                failure = newFailure;
                changed.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    @Nullable
    Failure failure() {
        lock.lock();
        try {
            return failure;
        } finally {
            lock.unlock();
        }
    }
}
