package org.sequoianotch.daemon.ledger;

/**
 * Ledger of a node that forwards requests without idempotency keys. It grants nothing.
 *
 * <p>This class is stateless and thread-safe.
 */
public final class NoLedger implements Ledger {
    /** Creates the ledger. */
    public NoLedger() {}

    @Override
    public ClaimResult claim(IdempotencyKey key, Fingerprint fingerprint, long timeoutMs) {
        return new ClaimResult.Unreachable("This node has no ledger.");
    }

    @Override
    public boolean wouldGrant(IdempotencyKey key) {
        return false;
    }
}
