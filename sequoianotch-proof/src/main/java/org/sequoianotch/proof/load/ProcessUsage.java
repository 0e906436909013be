package org.sequoianotch.proof.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Processor time and resident memory of a process, as reported by Linux in /proc.
 *
 * <p>This type is immutable.
 *
 * @param cpuMs processor time used so far, in milliseconds
 * @param residentBytes resident memory, in bytes
 */
public record ProcessUsage(double cpuMs, long residentBytes) {
    /** Linux reports processor times in units of 1/100 s. */
    private static final double MS_PER_TICK = 10.0;

    private static final int BYTES_PER_KIB = 1_024;
    /** Indexes of the user and system times among the fields that follow the command name in /proc/PID/stat. */
    private static final int UTIME_FIELD = 11;

    private static final int STIME_FIELD = 12;

    /**
     * Reads the current usage of a process.
     *
     * @param pid the process id
     * @return the usage, never null
     * @throws IOException if the usage cannot be read, for example because there is no such process
     */
    public static ProcessUsage of(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double ticks = Long.parseLong(fields[UTIME_FIELD]) + Long.parseLong(fields[STIME_FIELD]);
        long residentKib = 0;
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
            if (line.startsWith("VmRSS:")) {
                residentKib = Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return new ProcessUsage(ticks * MS_PER_TICK, residentKib * BYTES_PER_KIB);
    }
}
