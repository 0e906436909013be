package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;

/** Answers the questions of one topic. It is called on a virtual thread for each question and may block. */
@FunctionalInterface
public interface AskHandler {
    /**
     * Answers a question.
     *
     * @param from the host that asks, as authenticated by the handshake; not null
     * @param payload the question; not null
     * @return the answer, or the failure to report to the asking node
     */
    Either<Failure, byte[]> handle(HostId from, byte[] payload);
}
