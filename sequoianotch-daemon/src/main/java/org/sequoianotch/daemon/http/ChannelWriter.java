package org.sequoianotch.daemon.http;

import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import org.sequoianotch.protocol.link.WriteBatch;
import org.sequoianotch.task.Promise;
import org.sequoianotch.task.Signal;

/** Writes to a channel from the task that serves the connection. The task waits while the channel's buffer is full. */
final class ChannelWriter {
    private final Channel channel;
    private final Signal writable = new Signal();
    private final WriteBatch batch;
    private final BooleanSupplier isWritableOrClosed = this::isWritableOrClosed;

    ChannelWriter(Channel channel) {
        this.channel = channel;
        this.batch = new WriteBatch(channel, writable::raise);
    }

    /** Wakes a waiting writer. The event loop calls this when the channel becomes writable or is closed. */
    void onWritabilityChanged() {
        writable.raise();
    }

    /** Writes and flushes a message. Returns false if the channel is closed or stays full for the whole timeout. */
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
        // Does not check hasCapacity() again, because the capacity shrinks while the event loop moves a batch to the
        // channel's buffer.
        return writable.await(isWritableOrClosed, timeoutMs) && channel.isActive();
    }

    /** Waits until everything written so far was passed to the socket. Returns false if it was not, in time. */
    boolean awaitFlush(long timeoutMs) throws InterruptedException {
        Promise<Boolean> flushed = new Promise<>();
        // Runs after the batch has passed its messages to the channel.
        channel.eventLoop().execute(() -> channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(future -> flushed.set(future.isSuccess())));
        return flushed.await(timeoutMs).orElse(false);
    }

    private boolean isWritableOrClosed() {
        return hasCapacity() || !channel.isActive();
    }

    private boolean hasCapacity() {
        return channel.isWritable() && batch.pendingBytes() < InboundQueue.HIGH_WATER_BYTES;
    }
}
