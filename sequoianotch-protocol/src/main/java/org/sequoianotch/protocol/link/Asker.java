package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Topic;

/** Sends one question to a node and waits for its answer. Implementations are thread-safe. */
public interface Asker {
    /**
     * Sends a question and waits for the answer.
     *
     * @param peerAddress IP number and port of the node's peer listener; not null
     * @param topic the subject; not null
     * @param payload the question in the encoding of the topic's module; not null
     * @param timeoutMs longest wait, in milliseconds; positive
     * @return the answer, or the failure; the kind proves not-run only if no byte of the question was sent or the peer
     *     refused it
     */
    Either<Failure, byte[]> ask(String peerAddress, Topic topic, byte[] payload, long timeoutMs);
}
