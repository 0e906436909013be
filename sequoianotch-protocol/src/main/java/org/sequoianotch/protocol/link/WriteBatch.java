package org.sequoianotch.protocol.link;

import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects messages for a channel until the next iteration of the event loop and writes them with one flush.
 *
 * <p>Without it, each message costs an event loop task and a system call. Messages keep their order. A close or
 * shutdown of the channel that is requested after a message was added takes effect after the message is written.
 *
 * <p>This class is thread-safe.
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
     * Adds a message. The message is released if the channel is closed before it is written.
     *
     * @param message the message, of a type that the pipeline of the channel accepts; not null
     * @param bytes size of the message in bytes
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
     * Returns the total size of the messages that are not yet written to the channel.
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
