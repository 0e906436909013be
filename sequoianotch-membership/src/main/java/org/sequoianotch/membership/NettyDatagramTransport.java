package org.sequoianotch.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.NetUtil;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.link.Transport;

/**
 * Sends and receives datagrams over UDP with Netty.
 *
 * <p>This class is thread-safe.
 */
public final class NettyDatagramTransport implements DatagramTransport {
    private static final Logger LOG = LogManager.getLogger(NettyDatagramTransport.class);
    private static final int MAX_RECEIVED_BYTES = 2_048;
    /** Holds bursts from a group of 90 members; the kernel's default can be smaller. */
    private static final int SOCKET_BUFFER_BYTES = 262_144;

    private static final int MAX_CACHED_ADDRESSES = 2_000;

    private final String listenAddress;
    private final EventLoopGroup group;
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private volatile @Nullable Channel channel;

    /**
     * Creates a transport that is not started.
     *
     * @param listenAddress IP address and port to bind; not null
     * @param group event loop group that runs the channel; not null, not shut down by {@link #close}
     */
    public NettyDatagramTransport(String listenAddress, EventLoopGroup group) {
        this.listenAddress = listenAddress;
        this.group = group;
    }

    @Override
    public Either<Failure, String> start(Consumer<byte[]> receiver) {
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(Transport.datagramChannelType(group))
                .option(ChannelOption.SO_RCVBUF, SOCKET_BUFFER_BYTES)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_RECEIVED_BYTES))
                .handler(new Receiver(receiver));
        ChannelFuture bound;
        try {
            bound = bootstrap.bind(parseAddress(listenAddress)).awaitUninterruptibly();
        } catch (IllegalArgumentException e) {
            return Either.left(Failure.of(ErrorKind.INTERNAL, e.getMessage()));
        }
        if (!bound.isSuccess()) {
            return Either.left(Failure.of(
                    ErrorKind.INTERNAL,
                    "UDP address " + listenAddress + " cannot be bound: "
                            + bound.cause().getMessage()));
        }
        channel = bound.channel();
        InetSocketAddress local = (InetSocketAddress) bound.channel().localAddress();
        return Either.right(NetUtil.toSocketAddressString(local));
    }

    @Override
    public void send(String address, byte[] payload) {
        Channel open = channel;
        if (open == null) {
            return;
        }
        try {
            InetSocketAddress to = resolved(address);
            open.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(payload), to), open.voidPromise());
        } catch (IllegalArgumentException e) {
            LOG.debug("[member] Failed to send a datagram to {}: {}", address, e.getMessage());
        }
    }

    @Override
    public void close() {
        Channel open = channel;
        channel = null;
        if (open != null) {
            open.close().awaitUninterruptibly();
        }
    }

    private InetSocketAddress resolved(String address) {
        if (addresses.size() > MAX_CACHED_ADDRESSES) {
            addresses.clear();
        }
        return addresses.computeIfAbsent(address, NettyDatagramTransport::parseAddress);
    }

    private static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        byte[] ipAddress = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
        if (ipAddress == null) {
            throw new IllegalArgumentException("expected an IP address with a port, got \"" + address + "\"");
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(ipAddress), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("expected an IP address with a port, got \"" + address + "\"", e);
        }
    }

    /** Passes payloads to the receiver. A failed send to a host that is down must not close the channel. */
    private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Consumer<byte[]> receiver;

        Receiver(Consumer<byte[]> receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            receiver.accept(ByteBufUtil.getBytes(packet.content()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("[member] Exception on the UDP channel: {}", cause.toString());
        }
    }
}
