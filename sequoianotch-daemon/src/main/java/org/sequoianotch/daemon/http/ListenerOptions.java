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
 * @param maxHeaderBytes largest head of a request; positive
 * @param maxConnections open connections; more are closed at once; positive
 * @param idleTimeoutMs a connection on which nothing arrives for this long is closed, in milliseconds; positive
 */
public record ListenerOptions(
        String name, InetSocketAddress address, int maxHeaderBytes, int maxConnections, long idleTimeoutMs) {
    /** Checks the components. */
    public ListenerOptions {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(address, "address");
        if (maxHeaderBytes < 1 || maxConnections < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException("A limit of listener " + name + " is not positive");
        }
    }
}
