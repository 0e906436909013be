package org.sequoianotch.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Detects whether the peer ended the connection in an orderly way, which is the only proof that a body which ends with
 * its connection is complete. A connection that this process closes, or that is reset, ends without that.
 *
 * <p>To be placed before the codec of a channel with {@code ALLOW_HALF_CLOSURE}, where Netty reports the end of the
 * input as an event. The channel is closed after the other handlers have processed the event.
 */
final class PeerCloseDetector extends ChannelInboundHandlerAdapter {
    private boolean inputEnded;
    private boolean inactive;

    /** Returns whether the connection has ended, but not by an orderly close of the peer. */
    boolean isCut() {
        return inactive && !inputEnded;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        boolean ended = event instanceof ChannelInputShutdownEvent;
        inputEnded |= ended;
        context.fireUserEventTriggered(event);
        if (ended) {
            context.channel().close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        inactive = true;
        context.fireChannelInactive();
    }
}
