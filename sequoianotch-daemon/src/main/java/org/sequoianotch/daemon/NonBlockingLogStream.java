package org.sequoianotch.daemon;

import java.io.ByteArrayOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * Output stream for log lines that never blocks the thread that logs.
 *
 * <p>Lines get a timestamp and are queued; a thread of the stream writes them to the target. While the target blocks,
 * for example because no process reads standard output, lines that do not fit into the queue are dropped and counted.
 *
 * <p>A line of a logger takes no lock. Tasks log while they hold locks that the event loop takes; if one of them had to
 * wait for the writing thread and the event loop is its carrier, the event loop would wait for that task for ever.
 *
 * <p>This class is thread-safe.
 */
final class NonBlockingLogStream extends OutputStream {
    /** Limit of queued lines, which amount to a few hundred KB. */
    private static final int MAX_QUEUED_LINES = 2_048;

    /** Limit of the wait for the last lines when the process exits. */
    private static final long FLUSH_TIMEOUT_MS = 300;

    private static final long FLUSH_CHECK_MS = 5;

    private final OutputStream target;
    private final ConcurrentLinkedQueue<byte[]> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queuedLines = new AtomicInteger();
    private final AtomicLong dropped = new AtomicLong();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Thread writer = Thread.ofPlatform().name("log").daemon(true).unstarted(this::writeLines);
    private volatile boolean writerIdle;
    private volatile boolean closed;

    private NonBlockingLogStream(OutputStream target) {
        this.target = target;
    }

    /** Creates a stream that writes to standard output, and installs it as {@link System#out}. */
    static NonBlockingLogStream replaceStandardOutput() {
        NonBlockingLogStream stream = writingTo(new FileOutputStream(FileDescriptor.out));
        System.setOut(stream.toPrintStream());
        return stream;
    }

    static NonBlockingLogStream writingTo(OutputStream target) {
        NonBlockingLogStream stream = new NonBlockingLogStream(target);
        stream.writer.start();
        return stream;
    }

    /** Returns a print stream for a logger, which writes whole lines. */
    PrintStream toPrintStream() {
        return new LinePrintStream(this);
    }

    /** Passes lines on without the lock that a print stream takes for each of them. */
    private static final class LinePrintStream extends PrintStream {
        private final NonBlockingLogStream lines;

        LinePrintStream(NonBlockingLogStream lines) {
            super(lines, true, StandardCharsets.UTF_8);
            this.lines = lines;
        }

        @Override
        public void println(@Nullable String text) {
            lines.enqueue((timestampText() + text + '\n').getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void println(@Nullable Object object) {
            println(String.valueOf(object));
        }
    }

    @Override
    public void write(int oneByte) {
        write(new byte[] {(byte) oneByte}, 0, 1);
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
        int end = offset + length;
        int start = offset;
        for (int i = offset; i < end; i++) {
            if (bytes[i] == '\n') {
                appendToLine(bytes, start, i + 1);
                enqueueLine();
                start = i + 1;
            }
        }
        appendToLine(bytes, start, end);
    }

    private void appendToLine(byte[] bytes, int start, int end) {
        if (start < end) {
            if (line.size() == 0) {
                line.writeBytes(timestamp());
            }
            line.write(bytes, start, end - start);
        }
    }

    private static byte[] timestamp() {
        return timestampText().getBytes(StandardCharsets.US_ASCII);
    }

    private static String timestampText() {
        return Instant.now().truncatedTo(ChronoUnit.MILLIS) + " ";
    }

    private void enqueueLine() {
        enqueue(line.toByteArray());
        line.reset();
    }

    private void enqueue(byte[] wholeLine) {
        if (queuedLines.incrementAndGet() > MAX_QUEUED_LINES) {
            queuedLines.decrementAndGet();
            dropped.incrementAndGet();
            return;
        }
        queue.add(wholeLine);
        if (writerIdle) {
            LockSupport.unpark(writer);
        }
    }

    private void writeLines() {
        try {
            while (true) {
                byte[] next = queue.poll();
                if (next == null) {
                    awaitLine();
                } else {
                    writeLine(next);
                    queuedLines.decrementAndGet();
                }
            }
        } catch (IOException e) {
            // The log output is closed, so the failure cannot be logged, and later lines are dropped.
            queuedLines.set(MAX_QUEUED_LINES);
            closed = true;
        }
    }

    private void awaitLine() {
        writerIdle = true;
        // A line that was added before the flag was set has not woken this thread.
        if (queue.isEmpty()) {
            LockSupport.park();
        }
        writerIdle = false;
    }

    private void writeLine(byte[] next) throws IOException {
        target.write(next);
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            target.write(timestamp());
            target.write("WARN [log] %d lines were dropped because the output blocked%n"
                    .formatted(droppedLines)
                    .getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Waits until all queued lines are written, for at most {@link #FLUSH_TIMEOUT_MS}. */
    void awaitWritten() throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MS);
        while (!closed && queuedLines.get() > 0 && System.nanoTime() < endNs) {
            Thread.sleep(FLUSH_CHECK_MS);
        }
    }
}
