package org.sequoianotch.daemon.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * In-memory state of a ledger host.
 *
 * <p>It changes only by applying records, apart from the removal of expired state. This class is not thread-safe.
 */
final class ClaimTable {
    private final TreeMap<String, List<StoredClaim>> claims = new TreeMap<>();
    private final Map<ClaimId, Long> tombstones = new HashMap<>();
    private final Map<String, Incarnation> memberIncarnations = new HashMap<>();
    private Incarnation incarnation = Incarnation.NONE;
    private @Nullable Formation formation;
    private long responseBytes;

    void apply(LedgerRecord change) {
        switch (change) {
            case LedgerRecord.Entry entry -> {
                List<StoredClaim> before =
                        entry.claims().isEmpty() ? claims.remove(entry.key()) : claims.put(entry.key(), entry.claims());
                responseBytes += responseBytes(entry.claims()) - (before == null ? 0 : responseBytes(before));
            }
            case LedgerRecord.Tombstone tombstone -> tombstones.put(tombstone.claimId(), tombstone.untilMs());
            case LedgerRecord.MemberIncarnation member -> memberIncarnations.put(
                    member.address(), member.incarnation());
            case LedgerRecord.Serving serving -> {
                incarnation = serving.incarnation();
                formation = serving.formation();
                memberIncarnations.clear();
            }
        }
    }

    List<StoredClaim> claims(String key, long nowMs) {
        List<StoredClaim> found = claims.getOrDefault(key, List.of());
        for (StoredClaim claim : found) {
            if (claim.retainUntilMs() <= nowMs) {
                return found.stream()
                        .filter(other -> other.retainUntilMs() > nowMs)
                        .toList();
            }
        }
        return found;
    }

    boolean released(ClaimId claimId) {
        return tombstones.containsKey(claimId);
    }

    /** Returns the next claims with keys above the given one, up to about the given size. */
    List<LedgerReply.Entry> page(String afterKey, long nowMs, int maxBytes) {
        List<LedgerReply.Entry> page = new ArrayList<>();
        int bytes = 0;
        for (String key : claims.tailMap(afterKey, false).keySet()) {
            List<StoredClaim> live = claims(key, nowMs);
            if (!live.isEmpty()) {
                page.add(new LedgerReply.Entry(key, live));
                bytes += key.length() + live.size() * StoredClaim.OVERHEAD_BYTES + (int) responseBytes(live);
            }
            if (bytes >= maxBytes) {
                break;
            }
        }
        return page;
    }

    boolean hasKeysAfter(String key) {
        return claims.higherKey(key) != null;
    }

    /** Removes expired claims and tombstones. */
    void sweep(long nowMs) {
        claims.entrySet().removeIf(entry -> {
            boolean expired = claims(entry.getKey(), nowMs).isEmpty();
            responseBytes -= expired ? responseBytes(entry.getValue()) : 0;
            return expired;
        });
        tombstones.values().removeIf(untilMs -> untilMs <= nowMs);
    }

    /**
     * Returns the records that restore this state. The claims precede the serving record, so that a host which reads
     * only the beginning of the sequence recovers instead of serving without some of its claims. The incarnations of
     * members follow the serving record, because it clears them.
     */
    List<LedgerRecord> records() {
        List<LedgerRecord> records = new ArrayList<>();
        claims.forEach((key, held) -> records.add(new LedgerRecord.Entry(key, held)));
        tombstones.forEach((id, untilMs) -> records.add(new LedgerRecord.Tombstone(id, untilMs)));
        if (formation != null) {
            records.add(new LedgerRecord.Serving(incarnation, formation));
        }
        memberIncarnations.forEach((address, known) -> records.add(new LedgerRecord.MemberIncarnation(address, known)));
        return records;
    }

    int size() {
        return claims.size();
    }

    int tombstoneCount() {
        return tombstones.size();
    }

    long responseBytes() {
        return responseBytes;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    Incarnation incarnationOf(String address) {
        return memberIncarnations.getOrDefault(address, Incarnation.NONE);
    }

    Map<String, Incarnation> memberIncarnations() {
        return memberIncarnations;
    }

    @Nullable
    Formation formation() {
        return formation;
    }

    private static long responseBytes(List<StoredClaim> claims) {
        long bytes = 0;
        for (StoredClaim claim : claims) {
            StoredResponse response = claim.response();
            bytes += response == null ? 0 : response.sizeBytes();
        }
        return bytes;
    }
}
