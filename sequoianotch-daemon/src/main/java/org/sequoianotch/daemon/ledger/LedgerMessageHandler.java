package org.sequoianotch.daemon.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.time.Clock;

/**
 * Handles messages on the claims of a ledger host.
 *
 * <p>This class is not thread-safe; the ledger host guards it by its lock.
 */
final class LedgerMessageHandler {
    // A claim message that arrives later than this after its release blocks the key, but no request is sent for it.
    private static final long TOMBSTONE_MS = 600_000;
    // A page exceeds this by up to one stored response of 64 KiB and must fit into a frame of 256 KiB.
    private static final int PAGE_BYTES = 128 * 1024;
    private static final int MAX_KEY_LENGTH = 128;

    private final ClaimTable table;
    private final LedgerSettings settings;
    private final Clock clock;
    private final LedgerCounters counters;
    private final Consumer<LedgerRecord> recordSink;
    private final long bootId;
    private final GrantPolicy grantPolicy;

    LedgerMessageHandler(
            ClaimTable table,
            LedgerSettings settings,
            Clock clock,
            LedgerCounters counters,
            Consumer<LedgerRecord> recordSink,
            long bootId) {
        this.table = table;
        this.settings = settings;
        this.clock = clock;
        this.counters = counters;
        this.recordSink = recordSink;
        this.bootId = bootId;
        this.grantPolicy = new GrantPolicy(settings);
    }

    /** Handles a message, passes the resulting state changes to the record sink and returns the reply. */
    LedgerReply handle(LedgerMessage message) {
        return switch (message) {
            case LedgerMessage.Claim claim -> claim(claim);
            case LedgerMessage.Release release -> release(release);
            case LedgerMessage.MarkInDoubt markInDoubt -> markInDoubt(markInDoubt);
            case LedgerMessage.Complete complete -> complete(complete);
            case LedgerMessage.Lookup lookup -> heldReply(table.claims(lookup.key(), clock.nowMs()));
            case LedgerMessage.Probe probe -> probe(probe);
            case LedgerMessage.Status status -> new LedgerReply.Status(
                    settings.epoch(), bootId, formation(), table.incarnationOf(status.fromAddress()));
            case LedgerMessage.Copy copy -> copy(copy);
        };
    }

    private LedgerReply probe(LedgerMessage.Probe probe) {
        LedgerReply.Reason reason = refusalReason(probe.key(), clock.nowMs());
        return reason == null ? new LedgerReply.Done() : new LedgerReply.Refused(reason);
    }

    private LedgerReply.@Nullable Reason refusalReason(String key, long nowMs) {
        Formation formation = formation();
        if (formation == null || key.length() > MAX_KEY_LENGTH) {
            return LedgerReply.Reason.RECOVERING;
        }
        LedgerReply.Reason reason = grantPolicy.refusalReason(key, formation.completeFromMs(), nowMs);
        return reason == null && !hasCapacity() ? LedgerReply.Reason.FULL : reason;
    }

    private LedgerReply claim(LedgerMessage.Claim claim) {
        long nowMs = clock.nowMs();
        List<StoredClaim> held = table.claims(claim.key(), nowMs);
        if (!held.isEmpty()) {
            StoredClaim only = held.getFirst();
            boolean own = held.size() == 1 && only.claimId().equals(claim.claimId()) && !only.completed();
            return own ? grantedReply() : heldReply(held);
        }
        if (table.released(claim.claimId())) {
            return new LedgerReply.Refused(LedgerReply.Reason.RELEASED);
        }
        LedgerReply.Reason reason = refusalReason(claim.key(), nowMs);
        if (reason != null) {
            return new LedgerReply.Refused(reason);
        }
        long runMs = Math.clamp(claim.runMs(), 0, settings.retentionMs());
        recordSink.accept(new LedgerRecord.Entry(
                claim.key(),
                List.of(new StoredClaim(
                        claim.claimId(), claim.fingerprint(), nowMs + runMs, grantPolicy.retainUntilMs(nowMs), null))));
        counters.claimsHeld().set(table.size());
        return grantedReply();
    }

    private LedgerReply release(LedgerMessage.Release release) {
        long nowMs = clock.nowMs();
        List<StoredClaim> held = table.claims(release.key(), nowMs);
        List<StoredClaim> kept = held.stream()
                .filter(claim -> claim.completed() || !claim.claimId().equals(release.claimId()))
                .toList();
        if (kept.size() < held.size()) {
            recordSink.accept(new LedgerRecord.Entry(release.key(), kept));
            counters.claimsHeld().set(table.size());
        }
        if (table.tombstoneCount() < settings.maxClaims()) {
            recordSink.accept(new LedgerRecord.Tombstone(release.claimId(), nowMs + TOMBSTONE_MS));
        }
        return new LedgerReply.Done();
    }

    private LedgerReply markInDoubt(LedgerMessage.MarkInDoubt message) {
        long nowMs = clock.nowMs();
        List<StoredClaim> held = table.claims(message.key(), nowMs);
        boolean known = held.stream().anyMatch(claim -> claim.claimId().equals(message.claimId()));
        if (!known) {
            return new LedgerReply.Refused(LedgerReply.Reason.OTHER_CLAIM);
        }
        recordSink.accept(new LedgerRecord.Entry(
                message.key(),
                held.stream()
                        .map(claim -> claim.claimId().equals(message.claimId()) ? claim.withDeadlineMs(nowMs) : claim)
                        .toList()));
        return new LedgerReply.Done();
    }

    /** Stores a response. Only the owner completes a key, so any other incomplete claim on it never owned it. */
    private LedgerReply complete(LedgerMessage.Complete complete) {
        long nowMs = clock.nowMs();
        List<StoredClaim> held = table.claims(complete.key(), nowMs);
        for (StoredClaim claim : held) {
            if (claim.completed()) {
                boolean own = claim.claimId().equals(complete.claimId());
                return own ? new LedgerReply.Done() : new LedgerReply.Refused(LedgerReply.Reason.OTHER_CLAIM);
            }
        }
        if (table.released(complete.claimId())) {
            return new LedgerReply.Refused(LedgerReply.Reason.RELEASED);
        }
        if (held.isEmpty() && !hasCapacity()) {
            return new LedgerReply.Refused(LedgerReply.Reason.FULL);
        }
        StoredResponse response = complete.response();
        if (table.responseBytes() + response.sizeBytes() > settings.maxResponseBytes()) {
            response = StoredResponse.tooLarge(response.status());
        }
        recordSink.accept(new LedgerRecord.Entry(
                complete.key(),
                List.of(new StoredClaim(
                        complete.claimId(),
                        complete.fingerprint(),
                        nowMs,
                        grantPolicy.retainUntilMs(nowMs),
                        response))));
        counters.claimsHeld().set(table.size());
        return new LedgerReply.Done();
    }

    private LedgerReply copy(LedgerMessage.Copy copy) {
        Formation formation = formation();
        if (formation == null || copy.epoch() != settings.epoch()) {
            return new LedgerReply.Refused(LedgerReply.Reason.RECOVERING);
        }
        Incarnation known = table.incarnationOf(copy.fromAddress());
        if (!copy.incarnation().mayFollow(known)) {
            return new LedgerReply.Refused(LedgerReply.Reason.STALE_INCARNATION);
        }
        if (!copy.incarnation().equals(known)) {
            recordSink.accept(new LedgerRecord.MemberIncarnation(copy.fromAddress(), copy.incarnation()));
        }
        List<LedgerReply.Entry> page = table.page(copy.afterKey(), clock.nowMs(), PAGE_BYTES);
        boolean last = page.isEmpty() || !table.hasKeysAfter(page.getLast().key());
        return new LedgerReply.Page(formation, table.memberIncarnations(), page, last);
    }

    private LedgerReply grantedReply() {
        return new LedgerReply.Granted(table.incarnation(), table.memberIncarnations());
    }

    private LedgerReply heldReply(List<StoredClaim> claims) {
        long nowMs = clock.nowMs();
        List<LedgerReply.Holder> holders = new ArrayList<>();
        for (StoredClaim claim : claims) {
            boolean running = !claim.completed() && nowMs < claim.deadlineMs();
            holders.add(new LedgerReply.Holder(claim.claimId(), claim.fingerprint(), running, claim.response()));
        }
        return new LedgerReply.Held(holders);
    }

    /** Returns the formation in which the host serves, or null while it recovers. */
    @Nullable
    Formation formation() {
        Formation formation = table.formation();
        return formation != null && formation.epoch() == settings.epoch() ? formation : null;
    }

    private boolean hasCapacity() {
        if (table.size() >= settings.maxClaims()) {
            counters.refusedFull().increment();
            return false;
        }
        return true;
    }
}
