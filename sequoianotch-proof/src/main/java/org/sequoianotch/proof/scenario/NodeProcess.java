package org.sequoianotch.proof.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A node in its own process, started and stopped by a scenario.
 *
 * <p>One thread uses this class.
 */
public final class NodeProcess {
    private static final long EXIT_TIMEOUT_MS = 40_000;
    private static final List<String> JAVA_OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-Xms16m",
            "-Xmx64m",
            "-Xss256k",
            "-XX:TieredStopAtLevel=1",
            "-XX:MaxDirectMemorySize=24m",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.numHeapArenas=1",
            "--enable-native-access=ALL-UNNAMED",
            "--sun-misc-unsafe-memory-access=allow");

    private final String host;
    private final Path settingsFile;
    private final Path logFile;
    private @Nullable Process process;

    /**
     * Creates a node without starting its process.
     *
     * @param host name of the host; not null
     * @param settingsFile settings file of the node; not null
     * @param logFile file that its output is appended to; not null
     */
    public NodeProcess(String host, Path settingsFile, Path logFile) {
        this.host = host;
        this.settingsFile = settingsFile;
        this.logFile = logFile;
    }

    /**
     * Starts the process, also after an earlier one has ended.
     *
     * @throws IOException if the process cannot be started
     */
    public void start() throws IOException {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(JAVA_OPTIONS);
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add("org.sequoianotch.daemon.Main");
        command.add("run");
        command.add("--settings");
        command.add(settingsFile.toString());
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                .start();
    }

    /** Kills the process without a graceful shutdown, as in a crash, and waits until it has ended. */
    public void kill() {
        startedProcess().destroyForcibly();
        awaitExit();
    }

    /** Requests a graceful shutdown without waiting for the process to end. */
    public void terminate() {
        startedProcess().destroy();
    }

    /**
     * Waits until the process has ended.
     *
     * @return the exit code of the process
     * @throws IllegalStateException if the process does not end within 40 s or the thread is interrupted
     */
    public int awaitExit() {
        try {
            if (!startedProcess().waitFor(EXIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(
                        "the node of host " + host + " did not end within " + EXIT_TIMEOUT_MS + " ms");
            }
            return startedProcess().exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the exit of the node of host " + host, e);
        }
    }

    /**
     * Sends a signal to the process.
     *
     * @param signal name of a signal that the Java API does not offer, such as STOP or CONT; not null
     * @throws IOException if the signal cannot be sent
     */
    public void sendSignal(String signal) throws IOException {
        Process kill = new ProcessBuilder(
                        "kill", "-" + signal, Long.toString(startedProcess().pid()))
                .start();
        try {
            kill.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Tells whether the process is running.
     *
     * @return true if the process was started and has not ended
     */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /**
     * Returns the process id.
     *
     * @return the id of the process that was started last
     */
    public long pid() {
        return startedProcess().pid();
    }

    /**
     * Returns the end of the log for a failure message.
     *
     * @return the last 8 lines of the log, or the reason why it cannot be read; never null
     */
    public String logTail() {
        try {
            List<String> lines = Files.readAllLines(logFile);
            return host + ":\n  " + String.join("\n  ", lines.subList(Math.max(0, lines.size() - 8), lines.size()));
        } catch (IOException e) {
            return host + ": no log (" + e.getMessage() + ")";
        }
    }

    /** Tells whether the log contains a text; false if the log cannot be read. */
    boolean logContains(String text) {
        try {
            return Files.readString(logFile).contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    private Process startedProcess() {
        if (process == null) {
            throw new IllegalStateException("the node of host " + host + " was not started");
        }
        return process;
    }
}
