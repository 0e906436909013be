package org.sequoianotch.daemon.ledger;

import org.jspecify.annotations.Nullable;

/**
 * A claim as a ledger host stores it.
 *
 * <p>Times are wall-clock times of that host, in milliseconds since the Unix epoch. This type is immutable.
 *
 * @param claimId identifier of the attempt that holds the key
 * @param fingerprint the fingerprint of its request
 * @param deadlineMs latest time at which the attempt ends
 * @param retainUntilMs time at which the claim expires
 * @param response the stored response, or null if the attempt has not completed
 */
record StoredClaim(
        ClaimId claimId,
        Fingerprint fingerprint,
        long deadlineMs,
        long retainUntilMs,
        @Nullable StoredResponse response) {
    /** Upper bound for the encoded size without key and response, in bytes. */
    static final int OVERHEAD_BYTES = 64;

    StoredClaim withResponse(StoredResponse newResponse) {
        return new StoredClaim(claimId, fingerprint, deadlineMs, retainUntilMs, newResponse);
    }

    StoredClaim withDeadlineMs(long newDeadlineMs) {
        return new StoredClaim(claimId, fingerprint, newDeadlineMs, retainUntilMs, response);
    }

    boolean completed() {
        return response != null;
    }
}
