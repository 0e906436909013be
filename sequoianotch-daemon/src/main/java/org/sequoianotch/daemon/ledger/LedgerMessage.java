package org.sequoianotch.daemon.ledger;

/** Request message to a ledger host. */
sealed interface LedgerMessage {
    /** Claims a key. {@code runMs} is the remaining time of the request, in milliseconds. */
    record Claim(String key, ClaimId claimId, Fingerprint fingerprint, long runMs) implements LedgerMessage {}

    /** Releases a key. The claim id is not granted again, even if its claim message arrives later. */
    record Release(String key, ClaimId claimId) implements LedgerMessage {}

    /** Ends an attempt whose outcome is not known. */
    record MarkInDoubt(String key, ClaimId claimId) implements LedgerMessage {}

    /** Ends an attempt with its response. Only the owner of the key sends it. */
    record Complete(String key, ClaimId claimId, Fingerprint fingerprint, StoredResponse response)
            implements LedgerMessage {}

    /** Requests the claims on a key. */
    record Lookup(String key) implements LedgerMessage {}

    /** Queries whether a claim on the key would be granted if the key has no claims. It claims nothing. */
    record Probe(String key) implements LedgerMessage {}

    /** Requests the state of the host, on behalf of the member with the given address. */
    record Status(String fromAddress) implements LedgerMessage {}

    /** Requests a page of claims with keys above {@code afterKey}, for a host that lost its claims. */
    record Copy(String fromAddress, long epoch, Incarnation incarnation, String afterKey) implements LedgerMessage {}
}
