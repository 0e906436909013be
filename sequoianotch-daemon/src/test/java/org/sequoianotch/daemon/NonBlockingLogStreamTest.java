package org.sequoianotch.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Guards against a thread that blocks on a log line while no process reads the output, and against lines that are split
 * or merged because they arrive in several writes.
 */
final class NonBlockingLogStreamTest {
    @Test
    void eachLineBeginsWithItsTimestamp() throws InterruptedException {
        ByteArrayOutputStream target = new ByteArrayOutputStream();
        NonBlockingLogStream stream = NonBlockingLogStream.writingTo(target);

        stream.write("INFO one\nINFO t".getBytes(StandardCharsets.UTF_8), 0, 15);
        stream.write("wo\n".getBytes(StandardCharsets.UTF_8), 0, 3);
        stream.awaitWritten();

        String[] written = target.toString(StandardCharsets.UTF_8).split("\n");
        assertThat(written).hasLength(2);
        assertThat(written[0]).matches("\\d{4}-\\d\\d-\\d\\dT[0-9:.]+Z INFO one");
        assertThat(written[1]).endsWith("Z INFO two");
    }

    /**
     * Guards against a thread that waits for a lock while it logs. A task did so while it held a lock of the event loop
     * that carried it, and the process hung for good.
     */
    @Test
    void threadsThatLogAtTheSameTimeNeverWait() throws InterruptedException {
        PrintStream log =
                NonBlockingLogStream.writingTo(OutputStream.nullOutputStream()).toPrintStream();
        Map<String, Long> waits = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            threads.add(Thread.ofPlatform().name("logger-" + i).unstarted(() -> {
                long before = waitsOfCurrentThread();
                printLines(log, 50_000);
                waits.put(Thread.currentThread().getName(), waitsOfCurrentThread() - before);
            }));
        }
        // Loads the classes, for which threads wait once.
        printLines(log, 1_000);
        waitsOfCurrentThread();
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }

        assertThat(waits).containsExactly("logger-0", 0L, "logger-1", 0L, "logger-2", 0L, "logger-3", 0L);
    }

    private static void printLines(PrintStream log, int count) {
        for (int line = 0; line < count; line++) {
            log.println("INFO line " + line);
        }
    }

    private static long waitsOfCurrentThread() {
        ThreadInfo info = ManagementFactory.getThreadMXBean()
                .getThreadInfo(Thread.currentThread().threadId());
        return info.getBlockedCount() + info.getWaitedCount();
    }

    @Test
    void blockedTargetDropsAndCountsLines() throws InterruptedException {
        CountDownLatch release = new CountDownLatch(1);
        ByteArrayOutputStream target = new ByteArrayOutputStream();
        NonBlockingLogStream stream = NonBlockingLogStream.writingTo(new OutputStream() {
            @Override
            public void write(int oneByte) {
                throw new UnsupportedOperationException("expected whole lines, got a single byte");
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                try {
                    release.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                target.write(bytes, offset, length);
            }
        });

        byte[] line = "INFO line\n".getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < 5_000; i++) {
            stream.write(line, 0, line.length);
        }
        release.countDown();
        stream.awaitWritten();

        assertThat(target.toString(StandardCharsets.UTF_8)).contains("lines were dropped");
    }
}
