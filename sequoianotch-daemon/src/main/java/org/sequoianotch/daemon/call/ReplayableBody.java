package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.error.Failure;

/**
 * A request body that is streamed and whose first part is buffered, so that the call can be sent again as long as no
 * more than that part has been read from the caller.
 *
 * <p>The buffer is as large as the send window of a call: a call that is refused before the backend server read its
 * body has read no more than that from the caller.
 *
 * <p>This class is not thread-safe.
 */
final class ReplayableBody {
    static final int MAX_BUFFERED_BYTES = 131_072;

    private final HttpExchange exchange;
    private final List<byte[]> buffered = new ArrayList<>();
    private int bufferedBytes;
    private int position;
    private boolean ended;
    private boolean replayable = true;

    ReplayableBody(HttpExchange exchange) {
        this.exchange = exchange;
        this.ended = !exchange.hasBody();
    }

    /** Restarts at the first byte; returns false if the buffer does not hold all bytes read so far. */
    boolean rewind() {
        position = 0;
        return replayable;
    }

    Either<Failure, Optional<byte[]>> read() throws InterruptedException {
        if (position < buffered.size()) {
            return Either.right(Optional.of(buffered.get(position++)));
        }
        if (ended) {
            return Either.right(Optional.empty());
        }
        Either<Failure, Optional<byte[]>> part = exchange.readBody();
        if (part.isRight()) {
            part.get().ifPresentOrElse(this::buffer, () -> ended = true);
        }
        return part;
    }

    private void buffer(byte[] bytes) {
        bufferedBytes += bytes.length;
        if (bufferedBytes > MAX_BUFFERED_BYTES) {
            replayable = false;
            buffered.clear();
            position = 0;
            return;
        }
        buffered.add(bytes);
        position++;
    }
}
