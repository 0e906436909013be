package org.sequoianotch.protocol.link;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameCodec;
import org.sequoianotch.protocol.FrameFormatException;

/** Connection to a peer after the handshake. The thread of the link runs {@link #run} until the link ends. */
abstract class Link {
    private static final Logger LOG = LogManager.getLogger(Link.class);

    /** Maximum length of a detail or reason in a frame, so that the frame never exceeds the maximum size. */
    private static final int MAX_TEXT_LENGTH = 4_096;

    private final FrameChannel channel;
    private final HostId peer;
    private final LinkContext context;
    private volatile boolean closed;
    private volatile boolean closedLocally;

    Link(FrameChannel channel, HostId peer, LinkContext context) {
        this.channel = channel;
        this.peer = peer;
        this.context = context;
    }

    /** Handles one frame without blocking. */
    abstract void dispatch(Frame frame) throws ProtocolViolationException;

    /** Ends all open calls and requests with a failure. */
    abstract void endAll(Failure failure);

    final HostId peer() {
        return peer;
    }

    final LinkContext context() {
        return context;
    }

    /** Dispatches frames on the event loop, and waits until the connection ends. */
    final void run(boolean sendsPings) {
        context.counters().countOpened();
        channel.establish(context.options(), sendsPings);
        try {
            channel.deliverTo(this::receive);
            channel.awaitEnd();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            channel.close("the thread of the link was interrupted");
        } catch (RuntimeException e) {
            LOG.error("[peer] Link with {} failed with an internal error", peer, e);
            channel.close("internal error: " + e);
        } finally {
            finish();
        }
    }

    private void receive(Frame frame) {
        try {
            if (frame instanceof Frame.Ping ping) {
                // The channel replies to later heartbeats; this one arrived before the handshake was complete here.
                sendSmall(new Frame.Pong(ping.number()));
            } else {
                dispatch(frame);
            }
        } catch (ProtocolViolationException e) {
            context.counters().countMalformedFrame();
            channel.close("protocol violation: " + e.getMessage());
        } catch (RuntimeException e) {
            LOG.error("[peer] Link with {} failed with an internal error", peer, e);
            channel.close("internal error: " + e);
        }
    }

    private void finish() {
        channel.close("the link ended");
        closed = true;
        if (closedLocally) {
            LOG.info("[peer] Link with {} at {} is closed: {}", peer, channel.remoteAddress(), channel.closeReason());
        } else {
            context.counters().countLost();
            LOG.warn("[peer] Link with {} at {} is lost: {}", peer, channel.remoteAddress(), channel.closeReason());
        }
        endAll(lostFailure());
    }

    final Failure lostFailure() {
        return Failure.of(
                ErrorKind.CONNECTION_LOST, "The link with host " + peer + " was lost: " + channel.closeReason() + ".");
    }

    /** Returns whether the link has ended or its connection is closed. */
    final boolean isClosed() {
        return closed || !channel.isOpen();
    }

    /**
     * Returns whether the link has ended. Calls and requests registered while this is false are ended by {@link
     * #endAll}.
     */
    final boolean hasEnded() {
        return closed;
    }

    final void close(String reason) {
        closedLocally = true;
        channel.close(reason);
    }

    final void closeAfterFlush(String reason) {
        closedLocally = true;
        channel.closeAfterFlush(reason);
    }

    final void awaitClose() {
        channel.awaitClose();
    }

    final void goAway(String reason) {
        sendSmall(new Frame.GoAway(shorten(reason)));
    }

    final void send(Frame frame) throws FrameFormatException {
        channel.send(frame);
    }

    final void sendEncoded(ByteBuf frame) {
        channel.sendEncoded(frame);
    }

    /** Sends a frame of a type that never exceeds the maximum size. */
    final void sendSmall(Frame frame) {
        try {
            channel.send(frame);
        } catch (FrameFormatException e) {
            throw new IllegalStateException("A frame of a small type exceeds the maximum frame size", e);
        }
    }

    /** Sends a body in chunks, and waits for the send window before each chunk. */
    final Either<Failure, Void> sendBody(long callId, boolean ofResponse, byte[] bytes, SendWindow window) {
        int offset = 0;
        while (offset < bytes.length) {
            var taken = window.acquire(Math.min(Frame.MAX_CHUNK_BYTES, bytes.length - offset));
            if (taken.isLeft()) {
                return Either.left(taken.getLeft());
            }
            channel.sendEncoded(FrameCodec.encodeBody(callId, ofResponse, bytes, offset, taken.get()));
            offset += taken.get();
        }
        return Either.right(null);
    }

    static String shorten(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }

    static Failure shorten(Failure failure) {
        return new Failure(failure.kind(), shorten(failure.detail()), failure.retryAfterMs());
    }
}
