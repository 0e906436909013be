package org.sequoianotch.daemon.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.time.Clock;

/** Recovery of a ledger host that has no claims; {@link LedgerHost} describes the rules. Not thread-safe. */
final class HostRecovery {
    private static final Logger LOG = LogManager.getLogger(HostRecovery.class);

    private final LedgerHost host;
    private final LedgerPeers peers;
    private final Clock clock;
    // Attempts are frequent, so a problem is logged only when it changes.
    private String lastProblem = "";

    HostRecovery(LedgerHost host, LedgerPeers peers, Clock clock) {
        this.host = host;
        this.peers = peers;
        this.clock = clock;
    }

    /** State copied from other members. */
    private static final class CopiedState {
        private final Map<String, List<StoredClaim>> claims = new TreeMap<>();
        private final Map<String, Incarnation> memberIncarnations = new HashMap<>();
        private @Nullable Formation formation;
        private int memberCount;
    }

    /** Makes one recovery attempt and returns whether the host is now serving. */
    boolean attempt(long timeoutMs) {
        List<String> others = host.otherMembers();
        Map<String, LedgerReply.Status> statuses = new HashMap<>();
        peers.sendToAll(others, new LedgerMessage.Status(host.address()), timeoutMs, 1, hostReply -> {
            if (hostReply.reply().getOrNull() instanceof LedgerReply.Status status && status.epoch() == host.epoch()) {
                statuses.put(hostReply.address(), status);
            }
            return false;
        });
        List<String> serving = new ArrayList<>();
        long knownIncarnation = 0;
        for (Map.Entry<String, LedgerReply.Status> entry : statuses.entrySet()) {
            Formation formation = entry.getValue().formation();
            knownIncarnation = Math.max(
                    knownIncarnation, entry.getValue().knownIncarnation().number());
            if (formation != null) {
                serving.add(entry.getKey());
                Long bootId = formation.bootIds().get(host.address());
                if (bootId != null && bootId == host.bootId()) {
                    return host.serve(new Incarnation(0, host.bootId()), formation, List.of(), List.of());
                }
            }
        }
        if (serving.isEmpty() && statuses.size() == others.size()) {
            return formGroup(statuses);
        }
        int needed = host.otherMembers().size() + 2 - host.majority();
        if (serving.size() < needed) {
            logProblem(serving.size() + " of the " + needed + " members needed for recovery are serving");
            return false;
        }
        return copyClaims(serving, needed, new Incarnation(knownIncarnation + 1, host.bootId()), timeoutMs);
    }

    /** Merges the claims that members hold on one key. A completed claim replaces all others, as it owned the key. */
    static List<StoredClaim> merge(List<StoredClaim> first, List<StoredClaim> second) {
        Map<ClaimId, StoredClaim> merged = new LinkedHashMap<>();
        for (List<StoredClaim> claims : List.of(first, second)) {
            for (StoredClaim claim : claims) {
                if (claim.completed()) {
                    return List.of(claim);
                }
                merged.putIfAbsent(claim.claimId(), claim);
            }
        }
        return List.copyOf(merged.values());
    }

    /**
     * Forms a new group. The time is read after all members have replied, because their earlier incarnations have ended
     * by then.
     */
    private boolean formGroup(Map<String, LedgerReply.Status> statuses) {
        Map<String, Long> bootIds = new HashMap<>();
        statuses.forEach((address, status) -> bootIds.put(address, status.bootId()));
        bootIds.put(host.address(), host.bootId());
        Formation formation = new Formation(host.epoch(), clock.nowMs(), bootIds);
        return host.serve(new Incarnation(0, host.bootId()), formation, List.of(), List.of());
    }

    private boolean copyClaims(List<String> serving, int needed, Incarnation incarnation, long timeoutMs) {
        CopiedState copied = new CopiedState();
        for (String address : serving) {
            if (copied.memberCount < needed) {
                copyFrom(address, incarnation, timeoutMs, copied);
            }
        }
        Formation formation = copied.formation;
        if (copied.memberCount < needed || formation == null) {
            logProblem("the claims of only " + copied.memberCount + " of the " + needed
                    + " members needed for recovery could be copied");
            return false;
        }
        List<LedgerRecord.Entry> entries = new ArrayList<>();
        copied.claims.forEach((key, claims) -> entries.add(new LedgerRecord.Entry(key, claims)));
        List<LedgerRecord> memberIncarnations = new ArrayList<>();
        copied.memberIncarnations.remove(host.address());
        copied.memberIncarnations.forEach(
                (member, known) -> memberIncarnations.add(new LedgerRecord.MemberIncarnation(member, known)));
        return host.serve(incarnation, formation, entries, memberIncarnations);
    }

    private void logProblem(String problem) {
        if (!problem.equals(lastProblem)) {
            lastProblem = problem;
            LOG.warn("[ledger] {} is not serving yet: {}", host.address(), problem);
        }
    }

    private void copyFrom(String address, Incarnation incarnation, long timeoutMs, CopiedState copied) {
        String afterKey = "";
        while (true) {
            LedgerMessage message = new LedgerMessage.Copy(host.address(), host.epoch(), incarnation, afterKey);
            if (!(peers.send(address, message, timeoutMs).getOrNull() instanceof LedgerReply.Page page)) {
                return;
            }
            addPage(page, copied);
            if (page.last()) {
                copied.memberCount++;
                return;
            }
            afterKey = page.entries().getLast().key();
        }
    }

    private static void addPage(LedgerReply.Page page, CopiedState copied) {
        for (LedgerReply.Entry entry : page.entries()) {
            copied.claims.merge(entry.key(), entry.claims(), HostRecovery::merge);
        }
        page.memberIncarnations()
                .forEach((member, known) -> copied.memberIncarnations.merge(
                        member, known, (one, other) -> one.number() >= other.number() ? one : other));
        Formation formation = copied.formation;
        if (formation == null) {
            copied.formation = page.formation();
        } else if (page.formation().completeFromMs() > formation.completeFromMs()) {
            copied.formation = formation.withCompleteFromMs(page.formation().completeFromMs());
        }
    }
}
