package org.sequoianotch.membership;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.sequoianotch.error.Failure;

/**
 * Sends and receives datagrams.
 *
 * <p>Implementations are thread-safe.
 */
public interface DatagramTransport extends AutoCloseable {
    /**
     * Starts to receive datagrams.
     *
     * @param receiver receives the payload of each datagram, never on a thread that is inside {@link #send}; not null
     * @return the local address, or the failure that prevented the start
     */
    Either<Failure, String> start(Consumer<byte[]> receiver);

    /**
     * Sends a datagram without blocking; the datagram may be lost.
     *
     * @param address IP address and port; not null
     * @param payload the payload; not null
     */
    void send(String address, byte[] payload);

    /** Stops receiving and releases the port. */
    @Override
    void close();
}
