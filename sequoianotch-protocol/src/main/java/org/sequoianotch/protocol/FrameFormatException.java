package org.sequoianotch.protocol;

/** Reports bytes that are not a valid frame, or a frame that is too large. The message says what is wrong. */
public final class FrameFormatException extends Exception {
    private static final int MAX_LENGTH = 300;

    /**
     * Creates an exception.
     *
     * @param message what is wrong; not null; control characters are replaced, and a long text is cut
     */
    public FrameFormatException(String message) {
        super(printable(message));
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what is wrong; not null; control characters are replaced, and a long text is cut
     * @param cause the underlying failure; not null
     */
    public FrameFormatException(String message, Throwable cause) {
        super(printable(message), cause);
    }

    /** The message may quote an unauthenticated peer, so it must not forge or flood log lines. */
    private static String printable(String message) {
        String shortened = message.length() <= MAX_LENGTH ? message : message.substring(0, MAX_LENGTH) + "...";
        return shortened.replaceAll("\\p{Cntrl}", "?");
    }
}
