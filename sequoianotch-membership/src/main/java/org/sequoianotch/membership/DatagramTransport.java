package org.sequoianotch.membership;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.sequoianotch.error.Failure;

/** Sends and receives datagrams. Implementations are thread-safe. */
public interface DatagramTransport extends AutoCloseable {
    /**
     * Starts to receive.
     *
     * @param receiver gets the payload of each datagram, never on the thread that is inside {@link #send}; not null
     * @return the local address, or the failure that prevented the start
     */
    Either<Failure, String> start(Consumer<byte[]> receiver);

    /**
     * Sends a datagram without waiting; it may be lost.
     *
     * @param address IP number and port; not null
     * @param payload the payload; not null
     */
    void send(String address, byte[] payload);

    /** Stops receiving and frees the port. */
    @Override
    void close();
}
