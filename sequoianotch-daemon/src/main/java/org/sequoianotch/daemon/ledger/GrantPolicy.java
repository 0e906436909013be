package org.sequoianotch.daemon.ledger;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether a ledger host may grant a key that it holds no claim on.
 *
 * <p>It may, if the group would know of any earlier grant of the key. That is so in three cases:
 *
 * <ul>
 *   <li>The key was minted after the time from which the claims of the group are complete.
 *   <li>The retention time has passed since that time.
 *   <li>The group was formed before the opening time, and the opening time has passed. By setting it, the operator
 *       states that no key without a mint time was served before.
 * </ul>
 *
 * <p>This class is immutable.
 */
final class GrantPolicy {
    private final LedgerSettings settings;

    GrantPolicy(LedgerSettings settings) {
        this.settings = settings;
    }

    /** Returns the reason why the key must not be granted, or null if it may be. */
    LedgerReply.@Nullable Reason refusalReason(String key, long completeFromMs, long nowMs) {
        IdempotencyKey.MintedFields minted = IdempotencyKey.MintedFields.parse(key);
        long skewMs = settings.clockSkewMs();
        if (minted != null) {
            if (minted.epoch() != settings.epoch()) {
                return minted.epoch() < settings.epoch()
                        ? LedgerReply.Reason.OLD_EPOCH
                        : LedgerReply.Reason.LATER_EPOCH;
            }
            if (nowMs - minted.mintedAtMs() > settings.retentionMs()) {
                return LedgerReply.Reason.EXPIRED;
            }
            // A mint time in the future proves nothing, so such a key is treated like one without a mint time.
            boolean plausible = minted.mintedAtMs() <= nowMs + skewMs;
            if (plausible && minted.mintedAtMs() >= completeFromMs + skewMs) {
                return null;
            }
        }
        boolean retentionPassed = nowMs >= completeFromMs + settings.retentionMs() + skewMs;
        boolean opened = completeFromMs + skewMs <= settings.openedAtMs() && nowMs >= settings.openedAtMs();
        return retentionPassed || opened ? null : LedgerReply.Reason.BEFORE_LOSS;
    }

    /**
     * Returns the time from which a claim made now may be dropped. By then, a key that any host mints now has expired
     * on all hosts, although their clocks differ.
     */
    long retainUntilMs(long nowMs) {
        return nowMs + settings.retentionMs() + 2 * settings.clockSkewMs();
    }
}
