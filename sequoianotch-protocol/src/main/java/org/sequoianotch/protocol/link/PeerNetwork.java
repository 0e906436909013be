package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.CallHeader;

/** The links of this node to all other nodes; links are opened when first used. Implementations are thread-safe. */
public interface PeerNetwork extends Asker {
    /**
     * Opens a call.
     *
     * @param peerAddress IP number and port of the node's peer listener; not null
     * @param header the head of the call; not null
     * @return the call, or the failure; a failure here proves that no byte of the call was sent
     */
    Either<Failure, PeerCall> open(String peerAddress, CallHeader header);

    /**
     * Tells every peer that this node is leaving: no new calls come in, open ones finish.
     *
     * @param reason why, in a few words; not null
     */
    void goAway(String reason);

    /** Closes all links. Open calls end with {@code connection_lost}. */
    void close();
}
