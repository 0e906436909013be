package org.sequoianotch.protocol.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameCodec;
import org.sequoianotch.protocol.FrameFormatException;
import org.sequoianotch.task.DeadlineWheel;
import org.sequoianotch.task.Promise;
import org.sequoianotch.task.Signal;
import org.sequoianotch.time.Clock;

/**
 * Sends and receives frames on one connection.
 *
 * <p>The event loop decodes frames. During the handshake, frames go into a bounded queue that the thread of the link
 * reads; reading from the connection pauses while the queue is full. After the handshake, the event loop passes each
 * frame directly to the link, which avoids a thread switch for each frame. Heartbeats are sent, returned and monitored
 * on the event loop, so that a busy thread does not make a link look dead.
 *
 * <p>Sending never blocks and is thread-safe.
 */
final class FrameChannel extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger(FrameChannel.class);

    /** Reading pauses at this number of queued bytes, which admits one frame of maximum size. */
    private static final int HIGH_WATER_BYTES = FrameCodec.MAX_FRAME_BYTES;

    private static final int LOW_WATER_BYTES = HIGH_WATER_BYTES / 2;

    /** Added to the size of each queued frame, so that the limit also bounds the memory of many small frames. */
    private static final int FRAME_OVERHEAD_BYTES = 128;

    /** A link is idle after this many silence timeouts without frames other than heartbeats. */
    private static final int IDLE_AFTER_SILENCE_TIMEOUTS = 2;

    /**
     * Heartbeat interval and silence timeout of an idle link are longer by this factor, which saves two thirds of its
     * heartbeats. The first frame sent on an idle link triggers a check at once.
     */
    private static final int IDLE_FACTOR = 3;

    /** Wake-ups are late by different times, so that two of them are less than an interval apart. */
    private static final double MIN_HEARTBEAT_FRACTION = 0.75;

    /** Time for the peer to read the last frames before a closing connection is cut. */
    private static final long LINGER_MS = 1_000;

    private record QueuedFrame(@Nullable Frame frame, int costBytes) {}

    private static final QueuedFrame END_OF_CONNECTION = new QueuedFrame(null, 0);

    private final Channel channel;
    private final WriteBatch writes;
    private final ByteMeter meter;
    private final Clock clock;
    private final LinkCounters counters;
    private final DeadlineWheel deadlines;
    private final ConcurrentLinkedQueue<QueuedFrame> queue = new ConcurrentLinkedQueue<>();
    private final Signal frameQueued = new Signal();
    private final BooleanSupplier hasQueuedFrame = this::hasQueuedFrame;
    private final Promise<Boolean> ended = new Promise<>();
    /** Receives the frames after the handshake. Accessed only on the event loop. */
    private @Nullable Consumer<Frame> receiver;

    private final AtomicInteger queuedBytes = new AtomicInteger();
    private final AtomicReference<@Nullable String> closeReason = new AtomicReference<>();
    private volatile boolean paused;
    private volatile boolean established;
    /** Time of the last frame sent or received, other than heartbeats. */
    private volatile double lastTrafficMs;

    private volatile @Nullable LinkOptions livenessOptions;
    private volatile boolean sendsPings;
    private volatile boolean idle;
    private double idleEndedMs;
    /** The next liveness check. */
    private volatile DeadlineWheel.@Nullable Entry nextCheck;

    private double lastPingMs;
    private boolean silenceSuspected;
    private long lastPingNumber;

    private FrameChannel(Channel channel, ByteMeter meter, LinkContext context) {
        this.channel = channel;
        this.writes = new WriteBatch(channel, context.counters()::countFlush);
        this.meter = meter;
        this.clock = context.clock();
        this.counters = context.counters();
        this.deadlines = context.transport().deadlines();
    }

    /** Creates the frame channel of a new connection and adds its handlers to the pipeline. */
    static FrameChannel install(Channel channel, @Nullable SslContext tls, int timeoutMs, LinkContext context) {
        Clock clock = context.clock();
        LinkCounters counters = context.counters();
        ByteMeter meter = new ByteMeter(clock, counters);
        FrameChannel frames = new FrameChannel(channel, meter, context);
        channel.pipeline().addLast(meter);
        if (tls != null) {
            SslHandler handler = tls.newHandler(channel.alloc());
            handler.setHandshakeTimeoutMillis(timeoutMs);
            channel.pipeline().addLast(handler);
        }
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(
                        FrameCodec.MAX_FRAME_BYTES + FrameCodec.PREFIX_BYTES,
                        0,
                        FrameCodec.PREFIX_BYTES,
                        0,
                        FrameCodec.PREFIX_BYTES))
                .addLast(frames);
        return frames;
    }

    /** Waits for the next frame of the handshake; returns null at the end of the connection or after the timeout. */
    @Nullable
    Frame take(long timeoutMs) throws InterruptedException {
        return frameQueued.await(hasQueuedFrame, timeoutMs) ? dequeued(queue.remove()) : null;
    }

    private boolean hasQueuedFrame() {
        return !queue.isEmpty();
    }

    /**
     * Passes queued and all later frames to a receiver, on the event loop, until the connection ends. The receiver must
     * not block. After this, {@link #take} must not be called.
     */
    void deliverTo(Consumer<Frame> newReceiver) {
        channel.eventLoop().execute(() -> {
            receiver = newReceiver;
            for (QueuedFrame queued = queue.poll(); queued != null; queued = queue.poll()) {
                Frame frame = dequeued(queued);
                if (frame == null) {
                    ended.set(true);
                } else {
                    newReceiver.accept(frame);
                }
            }
        });
    }

    /** Waits until the last frame of the connection has been delivered. */
    void awaitEnd() throws InterruptedException {
        ended.await(Long.MAX_VALUE);
    }

    private void enqueue(QueuedFrame queued) {
        queue.add(queued);
        frameQueued.raise();
    }

    private @Nullable Frame dequeued(QueuedFrame queued) {
        if (queuedBytes.addAndGet(-queued.costBytes()) <= LOW_WATER_BYTES && paused) {
            channel.eventLoop().execute(this::resumeIfDrained);
        }
        return queued.frame();
    }

    void send(Frame frame) throws FrameFormatException {
        sendEncoded(FrameCodec.encodeWithPrefix(frame));
    }

    void sendEncoded(ByteBuf frame) {
        lastTrafficMs = clock.monotonicMs();
        write(frame);
        LinkOptions options = livenessOptions;
        if (idle && options != null) {
            channel.eventLoop().execute(() -> endIdle(options));
        }
    }

    /** Restores the shorter timeouts and sends a ping at once, as the peer of an idle link may be lost unnoticed. */
    private void endIdle(LinkOptions options) {
        if (idle && channel.isActive()) {
            checkLiveness(options);
        }
    }

    private void write(ByteBuf frame) {
        counters.countFrameSent();
        writes.add(frame, frame.readableBytes());
    }

    boolean isOpen() {
        return closeReason.get() == null && channel.isActive();
    }

    /** Starts heartbeats after the handshake. The connecting side sends pings, and the accepting side replies. */
    void establish(LinkOptions options, boolean sendsPings) {
        established = true;
        lastTrafficMs = clock.monotonicMs();
        this.sendsPings = sendsPings;
        livenessOptions = options;
        checkLiveness(options);
    }

    /** Sends due heartbeats and checks the silence timeout, repeatedly until the connection ends. */
    private void checkLiveness(LinkOptions options) {
        if (!channel.isActive()) {
            return;
        }
        updateIdle(options);
        if (sendsPings) {
            pingIfDue(options);
        }
        long nextMs = checkSilence(options);
        DeadlineWheel.Entry previousCheck = nextCheck;
        if (previousCheck != null) {
            previousCheck.cancel();
        }
        nextCheck = deadlines.add(TimeUnit.MILLISECONDS.toNanos(nextMs), () -> checkLiveness(options));
    }

    /** Updates whether the link is idle: heartbeat interval and silence timeout then grow by {@link #IDLE_FACTOR}. */
    private void updateIdle(LinkOptions options) {
        double nowMs = clock.monotonicMs();
        boolean wasIdle = idle;
        idle = nowMs - lastTrafficMs > IDLE_AFTER_SILENCE_TIMEOUTS * options.silenceTimeoutMs();
        if (wasIdle && !idle) {
            idleEndedMs = nowMs;
        }
    }

    void close(String reason) {
        closeReason.compareAndSet(null, reason);
        channel.close();
    }

    /** Closes the connection after the frames sent so far are flushed, at the latest after {@link #LINGER_MS}. */
    void closeAfterFlush(String reason) {
        closeReason.compareAndSet(null, reason);
        channel.eventLoop()
                .execute(() -> channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> {
                    if (channel instanceof SocketChannel socket && channel.isActive()) {
                        socket.shutdownOutput();
                    }
                }));
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    void awaitClose() {
        channel.closeFuture().awaitUninterruptibly(2 * LINGER_MS);
    }

    /** Returns the reason for the end of the connection. */
    String closeReason() {
        String reason = closeReason.get();
        return reason == null ? "it is still open" : reason;
    }

    String remoteAddress() {
        return String.valueOf(channel.remoteAddress());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf buffer = (ByteBuf) message;
        try {
            if (closeReason.get() == null) {
                receive(FrameCodec.decode(buffer), buffer.readableBytes());
            }
        } catch (FrameFormatException e) {
            closeMalformed(e.getMessage());
        } finally {
            buffer.release();
        }
    }

    private void receive(Frame frame, int sizeBytes) throws FrameFormatException {
        counters.countFrameReceived();
        if (established && frame instanceof Frame.Ping ping) {
            counters.countHeartbeat(sizeBytes + FrameCodec.PREFIX_BYTES);
            sendHeartbeat(new Frame.Pong(ping.number()));
        } else if (established && frame instanceof Frame.Pong) {
            counters.countHeartbeat(sizeBytes + FrameCodec.PREFIX_BYTES);
        } else {
            lastTrafficMs = clock.monotonicMs();
            Consumer<Frame> current = receiver;
            if (current != null) {
                current.accept(frame);
                return;
            }
            int costBytes = sizeBytes + FRAME_OVERHEAD_BYTES;
            int queued = queuedBytes.addAndGet(costBytes);
            enqueue(new QueuedFrame(frame, costBytes));
            if (queued >= HIGH_WATER_BYTES && !paused) {
                paused = true;
                channel.config().setAutoRead(false);
                resumeIfDrained();
            }
        }
    }

    /** Runs on the event loop. Called again after a pause in case the queue was drained in between. */
    private void resumeIfDrained() {
        if (paused && queuedBytes.get() <= LOW_WATER_BYTES) {
            paused = false;
            channel.config().setAutoRead(true);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closeReason.compareAndSet(null, "the peer closed the connection");
        if (receiver == null) {
            enqueue(END_OF_CONNECTION);
        } else {
            ended.set(true);
        }
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException || cause instanceof CorruptedFrameException) {
            closeMalformed(cause.getMessage());
        } else {
            close("the connection failed: " + cause.getMessage());
        }
    }

    private void closeMalformed(String detail) {
        if (closeReason.get() != null) {
            return;
        }
        counters.countMalformedFrame();
        LOG.warn("[peer] Closing the connection with {} after a malformed frame: {}", remoteAddress(), detail);
        close("malformed frame: " + detail);
    }

    private void pingIfDue(LinkOptions options) {
        double nowMs = clock.monotonicMs();
        double intervalMs = MIN_HEARTBEAT_FRACTION * heartbeatIntervalMs(options);
        // Recent traffic in both directions proves to both sides that the peer is alive. A connection whose send buffer
        // is full is left to the silence timeout.
        if (nowMs - lastPingMs >= intervalMs
                && channel.isWritable()
                && !meter.hasTrafficBothWays(options.heartbeatMs())) {
            lastPingMs = nowMs;
            sendHeartbeat(new Frame.Ping(++lastPingNumber));
        }
    }

    /**
     * Returns the time until the next heartbeat. Heartbeats are due at multiples of their interval, so that the links
     * of a process share a wake-up.
     */
    private double untilHeartbeatMs(LinkOptions options) {
        long intervalMs = heartbeatIntervalMs(options);
        return intervalMs - clock.monotonicMs() % intervalMs;
    }

    private long heartbeatIntervalMs(LinkOptions options) {
        return idle ? IDLE_FACTOR * options.heartbeatMs() : options.heartbeatMs();
    }

    private void sendHeartbeat(Frame frame) {
        try {
            ByteBuf buffer = FrameCodec.encodeWithPrefix(frame);
            counters.countHeartbeat(buffer.readableBytes());
            write(buffer);
        } catch (FrameFormatException e) {
            throw new IllegalStateException("A heartbeat frame exceeds the maximum frame size", e);
        }
    }

    /** Closes a connection that exceeds its silence timeout; returns the time until the next check in milliseconds. */
    private long checkSilence(LinkOptions options) {
        long allowedMs = idle ? IDLE_FACTOR * options.silenceTimeoutMs() : options.silenceTimeoutMs();
        double lastActiveMs = Math.max(meter.lastReceivedMs(), idleEndedMs);
        double leftMs = allowedMs - (clock.monotonicMs() - lastActiveMs);
        if (leftMs > 0) {
            silenceSuspected = false;
            return (long) Math.ceil(Math.min(leftMs, untilHeartbeatMs(options)));
        }
        if (silenceSuspected) {
            counters.countSilent();
            close("nothing arrived for " + allowedMs + " ms");
        }
        // The connection is closed only on a second check, so that bytes that arrived during a pause of this process
        // are read first.
        silenceSuspected = true;
        return 1;
    }
}
