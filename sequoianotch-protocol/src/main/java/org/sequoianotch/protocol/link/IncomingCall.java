package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.ResponseTrailer;

/**
 * Call that another node opened on this node.
 *
 * <p>Reads block until data arrives, and writes until the send window has space. After the call is cancelled or its
 * link is lost, they return a failure at once.
 *
 * <p>A call is served by one thread.
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
     * @return the part, empty at the complete end of the body, or the failure that cut the body
     */
    Either<Failure, Optional<byte[]>> readBody();

    /**
     * Sends the head of the response.
     *
     * @param header the head; not null
     * @return nothing, or the failure because of which it was not sent
     */
    Either<Failure, Void> startResponse(ResponseHeader header);

    /**
     * Sends a part of the response body, in chunks within the send window. The array is not copied and must not be
     * changed afterwards.
     *
     * @param bytes the part; not null
     * @return nothing, or the failure because of which it was not sent
     */
    Either<Failure, Void> writeBody(byte[] bytes);

    /**
     * Completes the response.
     *
     * @param trailer unused retries and the load of the instance; not null
     * @return nothing, or the failure because of which it was not sent
     */
    Either<Failure, Void> endResponse(ResponseTrailer trailer);

    /**
     * Ends the call with a failure. If the response has started, the caller sees it as cut.
     *
     * @param failure the failure to report; its kind says whether the call ran; not null
     * @param trailer unused retries and the load of the instance; not null
     */
    void refuse(Failure failure, ResponseTrailer trailer);

    /**
     * Registers an action that runs once when the caller cancels the call or the link is lost; it runs at once if that
     * has already happened.
     *
     * @param action receives the reason, and must not block; not null
     */
    void onCancel(Consumer<Failure> action);
}
