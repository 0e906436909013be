package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Instance;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.link.PeerCall;

/**
 * A response that has begun to arrive. Its first part is buffered before anything is sent to the caller, so that an
 * attempt whose response is interrupted early can still be retried.
 *
 * <p>This class is not thread-safe.
 */
final class IncomingResponse {
    static final int MAX_BUFFERED_BYTES = 65_536;

    private final Instance instance;
    private final PeerCall call;
    private final ResponseHeader head;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private boolean complete;

    IncomingResponse(Instance instance, PeerCall call, ResponseHeader head) {
        this.instance = instance;
        this.call = call;
        this.head = head;
    }

    /** Reads until the response is complete or the buffer is full; a failure means that it was interrupted. */
    Either<Failure, Void> fillBuffer(RemainingTime time) {
        while (!complete && buffered.size() < MAX_BUFFERED_BYTES) {
            Either<Failure, Optional<byte[]>> part = call.readResponseBody(time.remainingMs());
            if (part.isLeft()) {
                return Either.left(part.getLeft());
            }
            if (part.get().isEmpty()) {
                complete = true;
            } else {
                buffered.writeBytes(part.get().get());
            }
        }
        return Either.right(null);
    }

    Instance instance() {
        return instance;
    }

    PeerCall call() {
        return call;
    }

    ResponseHeader head() {
        return head;
    }

    byte[] bufferedBytes() {
        return buffered.toByteArray();
    }

    boolean isComplete() {
        return complete;
    }
}
