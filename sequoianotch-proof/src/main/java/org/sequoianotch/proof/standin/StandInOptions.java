package org.sequoianotch.proof.standin;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import org.sequoianotch.model.ServiceName;

/**
 * Options of a stand-in backend server.
 *
 * <p>This type is immutable.
 *
 * @param service service that the stand-in provides; not null
 * @param listen address to listen on; not null
 * @param nodeAddress address of the backend listener of its host's node; not null
 * @param slots maximum number of requests that are processed concurrently; further requests wait; positive
 * @param workMs work time of each request, in milliseconds; not negative
 * @param downstreamCalls calls to other services that requests trigger; not null
 */
public record StandInOptions(
        ServiceName service,
        InetSocketAddress listen,
        InetSocketAddress nodeAddress,
        int slots,
        double workMs,
        List<DownstreamCall> downstreamCalls) {
    /** Checks that no component is null and the ranges of the numbers, and copies the list. */
    public StandInOptions {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(listen, "listen");
        Objects.requireNonNull(nodeAddress, "nodeAddress");
        downstreamCalls = List.copyOf(downstreamCalls);
        if (slots < 1 || workMs < 0) {
            throw new IllegalArgumentException(
                    "slots must be at least 1 and workMs at least 0, but got slots " + slots + " and workMs " + workMs);
        }
    }
}
