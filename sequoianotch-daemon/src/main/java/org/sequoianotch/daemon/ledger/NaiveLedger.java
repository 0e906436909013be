package org.sequoianotch.daemon.ledger;

/**
 * Naive ledger for comparison. It grants every claim and stores nothing, so that every repeat runs.
 *
 * <p>This class is stateless and thread-safe.
 */
public final class NaiveLedger implements Ledger {
    /** Creates the ledger. */
    public NaiveLedger() {}

    @Override
    public ClaimResult claim(IdempotencyKey key, Fingerprint fingerprint, long timeoutMs) {
        return new ClaimResult.Granted(NaiveClaim.INSTANCE);
    }

    @Override
    public boolean wouldGrant(IdempotencyKey key) {
        return true;
    }

    /** Claim without any effect. */
    private enum NaiveClaim implements Claim {
        INSTANCE;

        @Override
        public boolean release() {
            return true;
        }

        @Override
        public boolean complete(StoredResponse response, long timeoutMs) {
            return true;
        }

        @Override
        public void markInDoubt() {
            // Nothing is stored, so there is nothing to record.
        }
    }
}
