package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;

/** Handles the peer requests of one topic. It is called on a virtual thread for each request and may block. */
@FunctionalInterface
public interface PeerRequestHandler {
    /**
     * Handles a request.
     *
     * @param from the requesting host, as authenticated by the handshake; not null
     * @param payload the request, in the encoding of the topic; not null
     * @return the response, or the failure to report to the requesting node
     */
    Either<Failure, byte[]> handle(HostId from, byte[] payload);
}
