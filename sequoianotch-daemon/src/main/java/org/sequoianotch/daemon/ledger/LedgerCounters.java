package org.sequoianotch.daemon.ledger;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of the ledger on one node, shared by the ledger client and the ledger host.
 *
 * <p>This type is thread-safe.
 *
 * @param claimsGranted claims that this node was granted; not null
 * @param repeatsAnswered repeats that got a stored response; not null
 * @param inProgress requests refused because another attempt is in progress; not null
 * @param inDoubt requests refused because an earlier attempt may have run; not null
 * @param reused requests refused because the key belongs to another request; not null
 * @param unreachable requests refused because too few ledger hosts replied; not null
 * @param refusedFull claims that the local ledger host refused because it is full; not null
 * @param badMessages messages that the local ledger host could not decode; not null
 * @param syncs synced writes of the claim file; not null
 * @param bytesOnDisk size of the claim file, in bytes; not null
 * @param claimsHeld number of keys with claims at the local ledger host; not null
 */
public record LedgerCounters(
        LongAdder claimsGranted,
        LongAdder repeatsAnswered,
        LongAdder inProgress,
        LongAdder inDoubt,
        LongAdder reused,
        LongAdder unreachable,
        LongAdder refusedFull,
        LongAdder badMessages,
        LongAdder syncs,
        AtomicLong bytesOnDisk,
        AtomicLong claimsHeld) {
    /**
     * Creates counters with the value zero.
     *
     * @return the counters, never null
     */
    public static LedgerCounters create() {
        return new LedgerCounters(
                new LongAdder(),
                new LongAdder(),
                new LongAdder(),
                new LongAdder(),
                new LongAdder(),
                new LongAdder(),
                new LongAdder(),
                new LongAdder(),
                new LongAdder(),
                new AtomicLong(),
                new AtomicLong());
    }

    void count(ClaimResult result) {
        LongAdder counter =
                switch (result) {
                    case ClaimResult.Granted ignored -> claimsGranted;
                    case ClaimResult.Completed ignored -> repeatsAnswered;
                    case ClaimResult.InProgress ignored -> inProgress;
                    case ClaimResult.InDoubt ignored -> inDoubt;
                    case ClaimResult.Reused ignored -> reused;
                    case ClaimResult.Unreachable ignored -> unreachable;
                };
        counter.increment();
    }
}
