package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;

/** One direction of a call between two threads of this node, bounded like the window of a link. */
final class BodyPipe {
    private static final int CAPACITY_BYTES = 65_536;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final ArrayDeque<byte[]> parts = new ArrayDeque<>();
    private int waitingBytes;
    private boolean ended;
    private @Nullable Failure failure;

    Either<Failure, Void> write(byte[] bytes) {
        lock.lock();
        try {
            while (waitingBytes >= CAPACITY_BYTES && failure == null) {
                changed.await();
            }
            if (failure != null) {
                return Either.left(failure);
            }
            parts.add(bytes);
            waitingBytes += bytes.length;
            changed.signalAll();
            return Either.right(null);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.CALLER_GONE, "The thread was interrupted."));
        } finally {
            lock.unlock();
        }
    }

    Either<Failure, Void> end() {
        lock.lock();
        try {
            if (failure != null) {
                return Either.left(failure);
            }
            ended = true;
            changed.signalAll();
            return Either.right(null);
        } finally {
            lock.unlock();
        }
    }

    void fail(Failure cause) {
        lock.lock();
        try {
            if (failure == null) {
                failure = cause;
            }
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    Either<Failure, Optional<byte[]>> read(long timeoutMs) {
        lock.lock();
        try {
            long leftNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
            while (parts.isEmpty() && !ended && failure == null) {
                if (leftNs <= 0) {
                    return Either.left(Failure.of(ErrorKind.DEADLINE_IN_DOUBT, "Nothing came within the time left."));
                }
                leftNs = changed.awaitNanos(leftNs);
            }
            if (failure != null) {
                return Either.left(failure);
            }
            if (parts.isEmpty()) {
                return Either.right(Optional.empty());
            }
            byte[] part = parts.remove();
            waitingBytes -= part.length;
            changed.signalAll();
            return Either.right(Optional.of(part));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.CALLER_GONE, "The thread was interrupted."));
        } finally {
            lock.unlock();
        }
    }
}
