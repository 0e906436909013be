package org.sequoianotch.daemon.http;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Options of an HTTP listener.
 *
 * <p>This type is immutable.
 *
 * @param name name of the listener in logs and metrics; not null
 * @param address address to listen on; not null
 * @param maxHeaderBytes largest size of the headers of a request, in bytes; positive
 * @param maxConnections largest number of open connections; further ones are closed when they are accepted; positive
 * @param idleTimeoutMs time without received data after which a connection is closed, in milliseconds; positive
 */
public record ListenerOptions(
        String name, InetSocketAddress address, int maxHeaderBytes, int maxConnections, long idleTimeoutMs) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public ListenerOptions {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(address, "address");
        if (maxHeaderBytes < 1 || maxConnections < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException(
                    "The limits of listener " + name + " must be positive, but are maxHeaderBytes " + maxHeaderBytes
                            + ", maxConnections " + maxConnections + " and idleTimeoutMs " + idleTimeoutMs);
        }
    }
}
