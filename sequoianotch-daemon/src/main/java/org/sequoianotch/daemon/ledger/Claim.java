package org.sequoianotch.daemon.ledger;

/**
 * Permission to send a keyed request to a backend server once.
 *
 * <p>The owner ends the claim by calling exactly one of its three methods. Implementations are thread-safe.
 */
public interface Claim {
    /**
     * Releases the key, so that a repeat may run. Call this only if no byte of the request was sent.
     *
     * @return true if a majority of the ledger hosts confirmed; if false, repeats may get {@code key_in_doubt}
     * @throws IllegalStateException if the claim has ended
     */
    boolean release();

    /**
     * Stores the response of the backend server for repeats.
     *
     * @param response the response; not null
     * @param timeoutMs longest time to wait for a majority of the ledger hosts, in milliseconds; positive
     * @return true if a majority stored the response; if false, repeats may get {@code key_in_doubt}
     * @throws IllegalStateException if the claim has ended
     */
    boolean complete(StoredResponse response, long timeoutMs);

    /**
     * Records that it is unknown whether the request ran, so that repeats get {@code key_in_doubt} at once. The ledger
     * hosts are notified in the background; if that fails, repeats get it after the deadline of the request.
     *
     * @throws IllegalStateException if the claim has ended
     */
    void markInDoubt();
}
