package org.sequoianotch.daemon.http;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Queue of message parts between an event loop and the thread that serves the connection.
 *
 * <p>When more than {@link #HIGH_WATER_BYTES} wait, reading from the socket is turned off until the thread has caught
 * up, so that a fast sender is slowed by TCP instead of filling the memory. The end of the connection is always
 * accepted. This class is thread-safe.
 */
final class InboundQueue {
    static final int HIGH_WATER_BYTES = 65_536;
    private static final int LOW_WATER_BYTES = 16_384;

    private final Channel channel;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final ArrayDeque<HttpPart> parts = new ArrayDeque<>();
    private int waitingBytes;
    private boolean readingPaused;

    InboundQueue(Channel channel) {
        this.channel = channel;
    }

    void put(HttpPart part) {
        lock.lock();
        try {
            parts.add(part);
            waitingBytes += part.sizeBytes();
            if (waitingBytes > HIGH_WATER_BYTES && !readingPaused) {
                readingPaused = true;
                channel.config().setAutoRead(false);
            }
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Waits for the next part; empty after the timeout. A part that ends the connection is never removed. */
    Optional<HttpPart> take(long timeoutMs) throws InterruptedException {
        lock.lock();
        try {
            long leftNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
            while (parts.isEmpty()) {
                if (leftNs <= 0) {
                    return Optional.empty();
                }
                leftNs = changed.awaitNanos(leftNs);
            }
            HttpPart part = parts.peek();
            if (!(part instanceof HttpPart.Closed) && !(part instanceof HttpPart.Malformed)) {
                remove(part);
            }
            return Optional.of(part);
        } finally {
            lock.unlock();
        }
    }

    private void remove(HttpPart part) {
        parts.remove();
        waitingBytes -= part.sizeBytes();
        if (readingPaused && waitingBytes < LOW_WATER_BYTES) {
            readingPaused = false;
            channel.config().setAutoRead(true);
        }
    }

    /** Tells whether nothing waits to be taken. */
    boolean isEmpty() {
        lock.lock();
        try {
            return parts.isEmpty();
        } finally {
            lock.unlock();
        }
    }
}
