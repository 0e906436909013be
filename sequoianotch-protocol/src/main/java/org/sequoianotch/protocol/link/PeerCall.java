package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.Optional;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.ResponseTrailer;

/**
 * Call that this node opened on another node.
 *
 * <p>One thread writes the body and one reads the response; they may be the same. {@link #cancel} may be called from
 * any thread.
 */
public interface PeerCall {
    /**
     * Sends a part of the body, in chunks within the send window. The array is not copied and must not be changed
     * afterwards. After the response has started, the rest of the body is not sent, and the failure is
     * {@code body_incomplete}. The wait for the send window has no timeout: it ends when the peer continues to read,
     * when it responds, when the call ends or the link is lost, or when another thread calls {@link #cancel}.
     *
     * @param bytes the part; not null
     * @return nothing, or the failure because of which it was not sent
     */
    Either<Failure, Void> writeBody(byte[] bytes);

    /**
     * Marks the body as complete. The peer treats a body without this mark as incomplete.
     *
     * @return nothing, or the failure because of which it was not sent
     */
    Either<Failure, Void> endBody();

    /**
     * Waits for the head of the response.
     *
     * @param timeoutMs timeout in milliseconds; positive
     * @return the head, or the failure: a refusal of the peer with its kind, a lost link as {@code connection_lost}, an
     *     expired timeout as {@code deadline_in_doubt}
     */
    Either<Failure, ResponseHeader> awaitResponse(long timeoutMs);

    /**
     * Reads the next part of the response body.
     *
     * @param timeoutMs timeout in milliseconds; positive
     * @return the part, empty at the complete end of the response, or the failure that cut the response
     */
    Either<Failure, Optional<byte[]>> readResponseBody(long timeoutMs);

    /**
     * Returns the trailer of the call.
     *
     * @return the trailer after a complete response or a refusal; empty before that and after a lost link
     */
    Optional<ResponseTrailer> trailer();

    /**
     * Cancels the call at the peer and ends it on this node. Has no effect if the call has ended.
     *
     * @param reason the reason, for logs and errors; not null
     */
    void cancel(String reason);
}
