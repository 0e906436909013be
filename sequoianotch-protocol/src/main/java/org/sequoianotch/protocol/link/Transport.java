package org.sequoianotch.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollMode;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.sequoianotch.task.DeadlineWheel;

/**
 * Netty event loops and buffer allocator, shared by all connections of the process.
 *
 * <p>On Linux, channels use epoll in level-triggered mode, because edge-triggered mode costs another system call for
 * each message to learn that nothing is left to read. The creator of a transport closes it after all of its users.
 *
 * <p>This class is thread-safe.
 */
public final class Transport implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    /** Gives chunks of 512 KiB (page size shifted by 6) instead of 4 MiB, which hold any frame and use less memory. */
    private static final int MAX_ORDER = 6;

    private static final int PAGE_BYTES = 8_192;

    private final EventLoopGroup eventLoops;
    private final ByteBufAllocator allocator;
    private final DeadlineWheel deadlines;
    private final LongAdder turns;

    /**
     * Creates a transport from existing event loops and an existing allocator.
     *
     * @param eventLoops NIO event loops, which {@link #close} shuts down; not null
     * @param allocator allocator of network buffers; not null
     */
    public Transport(EventLoopGroup eventLoops, ByteBufAllocator allocator) {
        this(eventLoops, allocator, new LongAdder());
    }

    private Transport(EventLoopGroup eventLoops, ByteBufAllocator allocator, LongAdder turns) {
        this.turns = turns;
        this.eventLoops = Objects.requireNonNull(eventLoops, "eventLoops");
        this.allocator = Objects.requireNonNull(allocator, "allocator");
        this.deadlines = new DeadlineWheel(eventLoops.next());
    }

    /**
     * Creates a transport with its own event loops and a pooled allocator with small arenas.
     *
     * @param threads number of event loop threads; positive
     * @return the transport, never null
     */
    public static Transport create(int threads) {
        LongAdder turns = new LongAdder();
        return new Transport(
                newEventLoops(threads, turns),
                new PooledByteBufAllocator(
                        true,
                        0,
                        threads,
                        PAGE_BYTES,
                        MAX_ORDER,
                        PooledByteBufAllocator.defaultSmallCacheSize(),
                        PooledByteBufAllocator.defaultNormalCacheSize(),
                        false),
                turns);
    }

    private static EventLoopGroup newEventLoops(int threads, LongAdder turns) {
        DefaultThreadFactory threadFactory = new DefaultThreadFactory("event-loop", true);
        return Epoll.isAvailable()
                ? new EpollEventLoopGroup(threads, threadFactory, () -> countTurns(turns))
                : new NioEventLoopGroup(threads, threadFactory);
    }

    /** The event loop calls its select strategy once in each iteration. */
    private static SelectStrategy countTurns(LongAdder turns) {
        SelectStrategy standard = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (selectNow, hasTasks) -> {
            turns.increment();
            return standard.calculateStrategy(selectNow, hasTasks);
        };
    }

    /**
     * Creates the bootstrap of a server socket on event loops.
     *
     * @param eventLoops the event loops; not null
     * @return a bootstrap with the event loops and the channel type set, never null
     */
    public static ServerBootstrap serverBootstrap(EventLoopGroup eventLoops) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(eventLoops);
        if (!(eventLoops instanceof EpollEventLoopGroup)) {
            return bootstrap.channel(NioServerSocketChannel.class);
        }
        return bootstrap
                .channel(EpollServerSocketChannel.class)
                .option(EpollChannelOption.EPOLL_MODE, EpollMode.LEVEL_TRIGGERED)
                .childOption(EpollChannelOption.EPOLL_MODE, EpollMode.LEVEL_TRIGGERED);
    }

    /**
     * Creates the bootstrap of client connections on event loops.
     *
     * @param eventLoops the event loops; not null
     * @return a bootstrap with the event loops and the channel type set, never null
     */
    public static Bootstrap clientBootstrap(EventLoopGroup eventLoops) {
        Bootstrap bootstrap = new Bootstrap().group(eventLoops);
        if (!(eventLoops instanceof EpollEventLoopGroup)) {
            return bootstrap.channel(NioSocketChannel.class);
        }
        return bootstrap
                .channel(EpollSocketChannel.class)
                .option(EpollChannelOption.EPOLL_MODE, EpollMode.LEVEL_TRIGGERED);
    }

    /**
     * Returns the type of datagram channel that matches event loops.
     *
     * @param eventLoops the event loops; not null
     * @return the channel type, never null
     */
    public static Class<? extends DatagramChannel> datagramChannelType(EventLoopGroup eventLoops) {
        return eventLoops instanceof EpollEventLoopGroup ? EpollDatagramChannel.class : NioDatagramChannel.class;
    }

    /**
     * Returns the event loops.
     *
     * @return the event loops, never null
     */
    public EventLoopGroup eventLoops() {
        return eventLoops;
    }

    /**
     * Returns the number of event loop iterations; each waits for events and handles those that are ready.
     *
     * @return the count; zero for event loops that do not use epoll or that were passed to the constructor
     */
    public long turns() {
        return turns.sum();
    }

    /**
     * Returns the wheel that schedules actions on one of the event loops.
     *
     * @return the wheel, never null
     */
    public DeadlineWheel deadlines() {
        return deadlines;
    }

    /**
     * Returns the allocator of network buffers.
     *
     * @return the allocator, never null
     */
    public ByteBufAllocator allocator() {
        return allocator;
    }

    /** Shuts down the event loops and waits at most 2 s until they have ended. */
    @Override
    public void close() {
        eventLoops
                .shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
