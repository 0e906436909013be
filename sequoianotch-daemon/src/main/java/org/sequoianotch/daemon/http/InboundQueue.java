package org.sequoianotch.daemon.http;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.sequoianotch.task.Signal;

/**
 * Queue of message parts between an event loop and the task that serves the connection.
 *
 * <p>When more than {@link #HIGH_WATER_BYTES} are queued, reading from the socket is paused until the task has caught
 * up, so that TCP flow control slows a fast sender down before it exhausts the memory. The part that ends the
 * connection is always accepted.
 *
 * <p>This class is thread-safe, but only one task may take parts.
 */
final class InboundQueue {
    static final int HIGH_WATER_BYTES = 65_536;
    private static final int LOW_WATER_BYTES = 16_384;

    private final Channel channel;
    private final Signal arrived = new Signal();
    private final BooleanSupplier hasPart = this::hasPart;
    private final ArrayDeque<HttpPart> parts = new ArrayDeque<>();
    private int queuedBytes;
    private boolean readingPaused;
    /** Whether bytes of a message have arrived whose end has not. */
    private volatile boolean partialMessage;

    InboundQueue(Channel channel) {
        this.channel = channel;
    }

    void put(HttpPart part) {
        synchronized (this) {
            parts.add(part);
            queuedBytes += part.sizeBytes();
            if (queuedBytes > HIGH_WATER_BYTES && !readingPaused) {
                readingPaused = true;
                channel.config().setAutoRead(false);
            }
        }
        arrived.raise();
    }

    /** Waits for the next part. Returns empty after the timeout. A part that ends the connection is never removed. */
    Optional<HttpPart> take(long timeoutMs) throws InterruptedException {
        arrived.await(hasPart, timeoutMs);
        return poll();
    }

    /** Waits like {@link #take}, but also returns empty if there is no part and a condition holds. */
    Optional<HttpPart> takeUnless(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
        arrived.await(() -> hasPart() || condition.getAsBoolean(), timeoutMs);
        return poll();
    }

    private synchronized Optional<HttpPart> poll() {
        HttpPart part = parts.peek();
        if (part == null) {
            return Optional.empty();
        }
        if (!(part instanceof HttpPart.Closed) && !(part instanceof HttpPart.Malformed)) {
            remove(part);
        }
        return Optional.of(part);
    }

    /** Makes a waiting task check its condition again. */
    void wake() {
        arrived.raise();
    }

    void setPartialMessage(boolean newPartialMessage) {
        partialMessage = newPartialMessage;
    }

    boolean hasPartialMessage() {
        return partialMessage;
    }

    private void remove(HttpPart part) {
        parts.remove();
        queuedBytes -= part.sizeBytes();
        if (readingPaused && queuedBytes < LOW_WATER_BYTES) {
            readingPaused = false;
            channel.config().setAutoRead(true);
        }
    }

    private synchronized boolean hasPart() {
        return !parts.isEmpty();
    }

    boolean isEmpty() {
        return !hasPart();
    }
}
