package org.sequoianotch.daemon;

import org.jspecify.annotations.Nullable;

/**
 * Configures text output to standard output that never blocks the thread that logs.
 *
 * <p>Uses the simple logger of the Log4j API, because initialising Log4j Core takes a third of the start time of a
 * process. It is a class of its own, so that a program without {@link Logging} does not have to contain Log4j Core.
 *
 * <p>This class is thread-safe.
 */
public final class NonBlockingLogging {
    private static volatile @Nullable NonBlockingLogStream nonBlockingStream;

    private NonBlockingLogging() {}

    /**
     * Configures the output. Must be called before any logger is created.
     *
     * @param levelName lowest level that is logged, such as {@code info}; not null
     */
    public static void configure(String levelName) {
        nonBlockingStream = NonBlockingLogStream.replaceStandardOutput();
        System.setProperty("log4j.provider", "org.apache.logging.log4j.simple.internal.SimpleProvider");
        System.setProperty("org.apache.logging.log4j.simplelog.level", levelName);
        System.setProperty("org.apache.logging.log4j.simplelog.logFile", "system.out");
        System.setProperty("org.apache.logging.log4j.simplelog.showlogname", "false");
        System.setProperty("org.apache.logging.log4j.simplelog.showShortLogname", "false");
    }

    /** Waits for a bounded time until the queued lines of the non-blocking output are written. */
    public static void awaitWritten() {
        NonBlockingLogStream stream = nonBlockingStream;
        if (stream == null) {
            return;
        }
        try {
            stream.awaitWritten();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
