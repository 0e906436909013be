package org.sequoianotch.protocol.link;

/** Reports a valid frame that breaks the rules of the protocol. The link is closed. */
final class ProtocolViolationException extends Exception {
    ProtocolViolationException(String message) {
        super(message);
    }
}
