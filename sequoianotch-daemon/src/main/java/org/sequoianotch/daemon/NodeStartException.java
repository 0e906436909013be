package org.sequoianotch.daemon;

/** Signals within this package that a part of the node cannot be created. */
final class NodeStartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    NodeStartException(String message) {
        super(message);
    }
}
