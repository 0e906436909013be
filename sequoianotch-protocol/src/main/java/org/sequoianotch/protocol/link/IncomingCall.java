package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.Optional;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.AnswerHeader;
import org.sequoianotch.protocol.AnswerTrailer;
import org.sequoianotch.protocol.CallHeader;

/**
 * A call that another node opened on this node.
 *
 * <p>One thread serves a call. Reads and writes block for data or for the send window. After the call was cancelled or
 * its link was lost, they return a failure at once.
 */
public interface IncomingCall {
    /**
     * Returns the head of the call.
     *
     * @return the head, never null
     */
    CallHeader header();

    /**
     * Returns the calling host, as authenticated by the handshake.
     *
     * @return the host, never null
     */
    HostId from();

    /**
     * Reads the next part of the body.
     *
     * @return the part, empty at the proper end of the body, or the failure that cut it
     */
    Either<Failure, Optional<byte[]>> readBody();

    /**
     * Sends the head of the answer.
     *
     * @param header the head; not null
     * @return nothing, or the failure that kept it from being sent
     */
    Either<Failure, Void> answer(AnswerHeader header);

    /**
     * Sends a part of the answer's body, in chunks within the send window. The array is not copied and must not be
     * changed afterwards.
     *
     * @param bytes the part; not null
     * @return nothing, or the failure that kept it from being sent
     */
    Either<Failure, Void> writeBody(byte[] bytes);

    /**
     * Ends the answer.
     *
     * @param trailer unused retries and load; not null
     * @return nothing, or the failure that kept it from being sent
     */
    Either<Failure, Void> end(AnswerTrailer trailer);

    /**
     * Refuses or breaks off the call with an error kind. After the head of the answer was sent, the caller sees the
     * answer as cut.
     *
     * @param failure the failure to report; its kind says whether the call ran; not null
     * @param trailer unused retries and load; not null
     */
    void refuse(Failure failure, AnswerTrailer trailer);

    /**
     * Registers an action that runs once when the caller cancels the call or the link is lost; at once if that happened
     * already. The action must not block.
     *
     * @param action the action; not null
     */
    void onCancel(Runnable action);
}
