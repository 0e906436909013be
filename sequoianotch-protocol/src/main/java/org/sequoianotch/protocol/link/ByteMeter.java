package org.sequoianotch.protocol.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import org.sequoianotch.time.Clock;

/** Counts the bytes of a connection and records when bytes were last received and sent. */
final class ByteMeter extends ChannelDuplexHandler {
    private final Clock clock;
    private final LinkCounters counters;
    private volatile double lastReceivedMs;
    private double lastSentMs = Double.NEGATIVE_INFINITY;

    ByteMeter(Clock clock, LinkCounters counters) {
        this.clock = clock;
        this.counters = counters;
        lastReceivedMs = clock.monotonicMs();
    }

    /** Returns whether bytes were both sent and received within the given time. */
    boolean hasTrafficBothWays(long withinMs) {
        double sinceMs = clock.monotonicMs() - withinMs;
        return lastReceivedMs > sinceMs && lastSentMs > sinceMs;
    }

    double lastReceivedMs() {
        return lastReceivedMs;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        lastReceivedMs = clock.monotonicMs();
        if (message instanceof ByteBuf buffer) {
            counters.countReceived(buffer.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf buffer) {
            lastSentMs = clock.monotonicMs();
            counters.countSent(buffer.readableBytes());
        }
        context.write(message, promise);
    }
}
