package org.sequoianotch.daemon.http;

import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Writes to a channel from a thread that may block, waiting while the channel's buffer is full. This class is
 * thread-safe.
 */
final class ChannelWriter {
    private final Channel channel;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition writable = lock.newCondition();

    ChannelWriter(Channel channel) {
        this.channel = channel;
    }

    /** Called by the event loop when the channel became writable or was closed. */
    void signal() {
        lock.lock();
        try {
            writable.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Writes and flushes a message; false if the channel is closed or stayed full for the whole timeout. */
    boolean write(Object message, long timeoutMs) throws InterruptedException {
        if (!awaitWritable(timeoutMs)) {
            ReferenceCountUtil.release(message);
            return false;
        }
        channel.writeAndFlush(message);
        return true;
    }

    boolean awaitWritable(long timeoutMs) throws InterruptedException {
        if (channel.isWritable()) {
            return true;
        }
        long leftNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        lock.lock();
        try {
            while (!channel.isWritable()) {
                if (!channel.isActive() || leftNs <= 0) {
                    return false;
                }
                leftNs = writable.awaitNanos(leftNs);
            }
            return true;
        } finally {
            lock.unlock();
        }
    }
}
