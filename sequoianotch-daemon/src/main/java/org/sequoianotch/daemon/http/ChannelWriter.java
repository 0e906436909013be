package org.sequoianotch.daemon.http;

import io.netty.buffer.ByteBufHolder;
import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import org.sequoianotch.protocol.link.WriteBatch;
import org.sequoianotch.task.Signal;

/** Writes to a channel from the connection's task, which waits while the channel's buffer is full. */
final class ChannelWriter {
    private final Channel channel;
    private final Signal writable = new Signal();
    private final WriteBatch batch;
    private final BooleanSupplier canGoOn = this::canGoOn;

    ChannelWriter(Channel channel) {
        this.channel = channel;
        this.batch = new WriteBatch(channel, writable::raise);
    }

    /** Called by the event loop when the channel became writable or was closed. */
    void signal() {
        writable.raise();
    }

    /** Writes and flushes a message; false if the channel is closed or stayed full for the whole timeout. */
    boolean write(Object message, long timeoutMs) throws InterruptedException {
        if (!awaitWritable(timeoutMs)) {
            ReferenceCountUtil.release(message);
            return false;
        }
        batch.add(
                message,
                message instanceof ByteBufHolder holder ? holder.content().readableBytes() : 0);
        return true;
    }

    boolean awaitWritable(long timeoutMs) throws InterruptedException {
        // The room is not looked at again: it shrinks while the event loop moves a batch into the channel's buffer.
        return writable.await(canGoOn, timeoutMs) && channel.isActive();
    }

    private boolean canGoOn() {
        return hasRoom() || !channel.isActive();
    }

    private boolean hasRoom() {
        return channel.isWritable() && batch.pendingBytes() < InboundQueue.HIGH_WATER_BYTES;
    }
}
