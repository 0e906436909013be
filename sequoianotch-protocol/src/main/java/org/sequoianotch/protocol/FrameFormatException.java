package org.sequoianotch.protocol;

/** Reports bytes that are not a valid frame, or a frame that is too large. The message says what is wrong. */
public final class FrameFormatException extends Exception {
    /**
     * Creates an exception.
     *
     * @param message what is wrong; not null
     */
    public FrameFormatException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what is wrong; not null
     * @param cause the underlying failure; not null
     */
    public FrameFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
