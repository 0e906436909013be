package org.sequoianotch.daemon.ledger;

/** Result of claiming an idempotency key. The request may be sent only if it is {@link Granted}. */
public sealed interface ClaimResult {
    /**
     * The request owns the key and may be sent.
     *
     * @param claim the claim, which the owner must end; not null
     */
    record Granted(Claim claim) implements ClaimResult {}

    /**
     * An earlier request with the key completed.
     *
     * @param response the response of the backend server; not null
     */
    record Completed(StoredResponse response) implements ClaimResult {}

    /**
     * Another attempt is running or competes for the key, so the caller can repeat the request later.
     *
     * @param detail the reason, as a sentence; not null
     */
    record InProgress(String detail) implements ClaimResult {}

    /**
     * An earlier attempt with the key may have run, and its response is not known.
     *
     * @param detail the reason, as a sentence; not null
     */
    record InDoubt(String detail) implements ClaimResult {}

    /**
     * The key belongs to a different request.
     *
     * @param detail the reason, as a sentence; not null
     */
    record Reused(String detail) implements ClaimResult {}

    /**
     * Too few ledger hosts replied to decide.
     *
     * @param detail the reply or failure of each host, as sentences; not null
     */
    record Unreachable(String detail) implements ClaimResult {}
}
