package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.Optional;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.AnswerHeader;
import org.sequoianotch.protocol.AnswerTrailer;

/**
 * A call that this node opened on another node.
 *
 * <p>One thread writes the body and one reads the answer; they may be the same. {@link #cancel} may be called from any
 * thread.
 */
public interface PeerCall {
    /**
     * Sends a part of the body, in chunks within the send window. The array is not copied and must not be changed
     * afterwards. After the peer answered in full, the rest of the body is not sent, and the failure is
     * {@code body_incomplete}. The wait for the send window has no limit of its own: it ends when the peer reads on,
     * ends the call or is lost, or when another thread calls {@link #cancel}.
     *
     * @param bytes the part; not null
     * @return nothing, or the failure that kept it from being sent
     */
    Either<Failure, Void> writeBody(byte[] bytes);

    /**
     * Sends the proper end of the body. A body without it is never taken as whole.
     *
     * @return nothing, or the failure that kept it from being sent
     */
    Either<Failure, Void> endBody();

    /**
     * Waits for the head of the answer.
     *
     * @param timeoutMs longest wait, in milliseconds; positive
     * @return the head; or the failure: the peer's refusal with its own kind, a lost link as {@code connection_lost}, a
     *     passed timeout as {@code deadline_in_doubt}
     */
    Either<Failure, AnswerHeader> awaitAnswer(long timeoutMs);

    /**
     * Reads the next part of the answer's body.
     *
     * @param timeoutMs longest wait, in milliseconds; positive
     * @return the part, empty at the proper end of the answer, or the failure that cut it
     */
    Either<Failure, Optional<byte[]>> readAnswerBody(long timeoutMs);

    /**
     * Returns what came back at the end of the call.
     *
     * @return the trailer after a proper end or a refusal; empty before, and after a lost link
     */
    Optional<AnswerTrailer> trailer();

    /**
     * Cancels the call at the peer and ends it here. Does nothing if the call has ended.
     *
     * @param reason why, in a few words; not null
     */
    void cancel(String reason);
}
