package org.sequoianotch.protocol.link;

import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;

/**
 * Gathers what tasks write to a channel until the event loop comes round, and writes it with one flush. Without it each
 * message costs a task of the event loop and a system call of its own.
 *
 * <p>Messages keep their order. A close or shutdown of the channel that is requested after a message was added takes
 * effect after it. This class is thread-safe.
 */
public final class WriteBatch {
    private final Channel channel;
    private final Runnable onFlushed;
    private final Runnable flush = this::flush;
    private List<Object> pending = new ArrayList<>();
    private int pendingBytes;
    private boolean scheduled;

    /**
     * Creates an empty batch.
     *
     * @param channel the channel; not null
     * @param onFlushed runs on the event loop after each flush; not null
     */
    public WriteBatch(Channel channel, Runnable onFlushed) {
        this.channel = channel;
        this.onFlushed = onFlushed;
    }

    /**
     * Adds a message, which is released if the channel is closed before it is written.
     *
     * @param message the message, as the channel's pipeline takes it; not null
     * @param bytes size of its content
     */
    public void add(Object message, int bytes) {
        synchronized (this) {
            pending.add(message);
            pendingBytes += bytes;
            if (scheduled) {
                return;
            }
            scheduled = true;
        }
        channel.eventLoop().execute(flush);
    }

    /**
     * Returns the size of the messages that were not handed to the channel yet.
     *
     * @return the size in bytes
     */
    public synchronized int pendingBytes() {
        return pendingBytes;
    }

    private void flush() {
        List<Object> messages;
        synchronized (this) {
            messages = pending;
            pending = new ArrayList<>(messages.size());
            pendingBytes = 0;
            scheduled = false;
        }
        if (channel.isActive()) {
            for (Object message : messages) {
                channel.write(message, channel.voidPromise());
            }
            channel.flush();
        } else {
            messages.forEach(ReferenceCountUtil::release);
        }
        onFlushed.run();
    }
}
