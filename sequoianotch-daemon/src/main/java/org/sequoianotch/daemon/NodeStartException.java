package org.sequoianotch.daemon;

/** Thrown within this package if a component of the node cannot be created or started. */
final class NodeStartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    NodeStartException(String message) {
        super(message);
    }
}
