package org.sequoianotch.daemon.ledger;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Settings of a ledger host.
 *
 * <p>This type is immutable.
 *
 * @param epoch the epoch of the ledger, raised by an operator after a majority of the hosts lost their claims; positive
 * @param retentionMs how long claims are kept, in milliseconds; positive
 * @param maxClaims maximum number of keys with claims, and of released claim ids; positive
 * @param maxResponseBytes maximum total size of stored responses, in bytes; not negative. Beyond it, only the status of
 *     new responses is stored
 * @param openedAtMs wall-clock time, in milliseconds since the Unix epoch, from which keys without a mint time are
 *     served if the ledger was formed before it; set once, shortly after the first start of a new deployment; zero if
 *     it is not known
 * @param clockSkewMs largest difference between the wall clocks of two hosts, in milliseconds; not negative
 * @param dataFolder folder of the claim file; empty to keep the claims in memory only
 */
public record LedgerSettings(
        long epoch,
        long retentionMs,
        int maxClaims,
        long maxResponseBytes,
        long openedAtMs,
        long clockSkewMs,
        Optional<Path> dataFolder) {
    private static final int DEFAULT_MAX_CLAIMS = 200_000;
    private static final long DEFAULT_MAX_RESPONSE_BYTES = 32L * 1024 * 1024;
    private static final long DEFAULT_CLOCK_SKEW_MS = 1_000;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a component is out of range
     */
    public LedgerSettings {
        if (epoch < 1 || retentionMs < 1 || maxClaims < 1 || maxResponseBytes < 0 || clockSkewMs < 0) {
            throw new IllegalArgumentException("A ledger setting is out of range: epoch " + epoch + ", retentionMs "
                    + retentionMs + ", maxClaims " + maxClaims + ", maxResponseBytes " + maxResponseBytes
                    + ", clockSkewMs " + clockSkewMs);
        }
    }

    /**
     * Creates settings with the default limits and no opening time.
     *
     * @param epoch the epoch of the ledger; positive
     * @param retentionMs how long claims are kept, in milliseconds; positive
     * @param dataFolder folder of the claim file, or empty; not null
     * @return the settings, never null
     */
    public static LedgerSettings of(long epoch, long retentionMs, Optional<Path> dataFolder) {
        return new LedgerSettings(
                epoch,
                retentionMs,
                DEFAULT_MAX_CLAIMS,
                DEFAULT_MAX_RESPONSE_BYTES,
                0,
                DEFAULT_CLOCK_SKEW_MS,
                dataFolder);
    }

    /**
     * Returns a copy with another opening time.
     *
     * @param newOpenedAtMs wall-clock time in milliseconds since the Unix epoch; zero if it is not known
     * @return the copy, never null
     */
    public LedgerSettings withOpenedAtMs(long newOpenedAtMs) {
        return new LedgerSettings(
                epoch, retentionMs, maxClaims, maxResponseBytes, newOpenedAtMs, clockSkewMs, dataFolder);
    }

    /**
     * Returns a copy with another limit for the number of claims.
     *
     * @param newMaxClaims maximum number of claims; positive
     * @return the copy, never null
     */
    public LedgerSettings withMaxClaims(int newMaxClaims) {
        return new LedgerSettings(
                epoch, retentionMs, newMaxClaims, maxResponseBytes, openedAtMs, clockSkewMs, dataFolder);
    }
}
