package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Topic;

/** Sends requests to other nodes. Implementations are thread-safe. */
public interface PeerRequester {
    /**
     * Sends a request and waits for the response.
     *
     * @param peerAddress IP address and port of the peer listener of the node; not null
     * @param topic the topic, which selects the handler; not null
     * @param payload the request, in the encoding of the topic; not null
     * @param timeoutMs timeout in milliseconds; positive
     * @return the response, or the failure; its kind proves that the request did not run only if no byte of it was sent
     *     or the peer refused it
     */
    Either<Failure, byte[]> request(String peerAddress, Topic topic, byte[] payload, long timeoutMs);
}
