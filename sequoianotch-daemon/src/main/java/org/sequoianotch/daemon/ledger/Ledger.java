package org.sequoianotch.daemon.ledger;

/**
 * Decides whether a request with an idempotency key may be sent to a backend server.
 *
 * <p>Implementations are thread-safe.
 */
public interface Ledger {
    /**
     * Claims a key for one request. This method blocks.
     *
     * @param key the key; not null
     * @param fingerprint the fingerprint of the request; not null
     * @param timeoutMs the remaining time of the request, in milliseconds; positive. Until it has passed, a
     *     repeat gets {@link ClaimResult.InProgress} unless the claim has ended. Claiming the key takes at most one
     *     second of it
     * @return the result, never null
     */
    ClaimResult claim(IdempotencyKey key, Fingerprint fingerprint, long timeoutMs);

    /**
     * Returns whether the ledger would grant a claim on a newly minted key. Until the ledger hosts have formed their
     * group, they refuse a new key, because it may have been used before. This method claims nothing and blocks for at
     * most half a second.
     *
     * @param key a key that was just minted and has not been given to a caller; not null
     * @return true if a majority of the ledger hosts of the key's home would grant it
     */
    boolean wouldGrant(IdempotencyKey key);
}
