package org.sequoianotch.protocol;

/** Thrown for bytes that are not a valid frame and for a frame that exceeds the maximum size. */
public final class FrameFormatException extends Exception {
    private static final int MAX_MESSAGE_LENGTH = 300;

    /**
     * Creates an exception.
     *
     * @param message the reason; not null; control characters are replaced, and text after 300 characters is cut
     */
    public FrameFormatException(String message) {
        super(printable(message));
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message the reason; not null; control characters are replaced, and text after 300 characters is cut
     * @param cause the underlying exception; not null
     */
    public FrameFormatException(String message, Throwable cause) {
        super(printable(message), cause);
    }

    /** The message may quote input of an unauthenticated peer, which must not forge or flood log lines. */
    private static String printable(String message) {
        String shortened =
                message.length() <= MAX_MESSAGE_LENGTH ? message : message.substring(0, MAX_MESSAGE_LENGTH) + "...";
        return shortened.replaceAll("\\p{Cntrl}", "?");
    }
}
