package org.sequoianotch.protocol.link;

/** Thrown for a well-formed frame that violates the protocol. The link is closed. */
final class ProtocolViolationException extends Exception {
    ProtocolViolationException(String message) {
        super(message);
    }
}
