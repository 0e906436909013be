package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.CallHeader;

/** Opens calls on other nodes and sends requests to them, over shared links. Implementations are thread-safe. */
public interface PeerNetwork extends PeerRequester {
    /**
     * Opens a call.
     *
     * @param peerAddress IP address and port of the peer listener of the node; not null
     * @param header the head of the call; not null
     * @return the call, or the failure, in which case no byte of the call was sent
     */
    Either<Failure, PeerCall> open(String peerAddress, CallHeader header);

    /**
     * Notifies all connected peers that this node accepts no new calls; open calls finish.
     *
     * @param reason the reason, for logs and errors; not null
     */
    void goAway(String reason);

    /** Closes all links. Open calls end with {@code connection_lost}. */
    void close();
}
