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

/** Recovery of a ledger host that has no claims; see {@link LedgerHost} for the rule. */
final class HostRecovery {
    private static final Logger LOG = LogManager.getLogger(HostRecovery.class);

    private final LedgerHost host;
    private final LedgerPeers peers;
    private final Clock clock;
    // Attempts follow each other quickly, so that only a change of the situation is logged.
    private String lastProblem = "";

    HostRecovery(LedgerHost host, LedgerPeers peers, Clock clock) {
        this.host = host;
        this.peers = peers;
        this.clock = clock;
    }

    /** Claims copied from other members. */
    private static final class Copied {
        private final Map<String, List<StoredClaim>> claims = new TreeMap<>();
        private final Map<String, Life> lives = new HashMap<>();
        private @Nullable Formation formation;
        private int members;
    }

    /** Tries to recover once, and returns whether the host serves now. */
    boolean attempt(long timeoutMs) {
        List<String> others = host.otherMembers();
        Map<String, LedgerReply.Status> statuses = new HashMap<>();
        peers.askAll(others, new LedgerMessage.Status(host.address()), timeoutMs, 1, answer -> {
            if (answer.reply().getOrNull() instanceof LedgerReply.Status status && status.epoch() == host.epoch()) {
                statuses.put(answer.address(), status);
            }
            return false;
        });
        List<String> serving = new ArrayList<>();
        long knownLife = 0;
        for (Map.Entry<String, LedgerReply.Status> entry : statuses.entrySet()) {
            Formation formation = entry.getValue().formation();
            knownLife = Math.max(knownLife, entry.getValue().knownLife().number());
            if (formation != null) {
                serving.add(entry.getKey());
                Long boot = formation.boots().get(host.address());
                if (boot != null && boot == host.boot()) {
                    return host.serve(new Life(0, host.boot()), formation, List.of(), List.of());
                }
            }
        }
        if (serving.isEmpty() && statuses.size() == others.size()) {
            return form(statuses);
        }
        int needed = host.otherMembers().size() + 2 - host.majority();
        if (serving.size() < needed) {
            report(serving.size() + " of " + needed + " needed members serve");
            return false;
        }
        return copy(serving, needed, new Life(knownLife + 1, host.boot()), timeoutMs);
    }

    /** Unites the claims that several members hold on one key. A completed claim is the only owner. */
    static List<StoredClaim> merge(List<StoredClaim> some, List<StoredClaim> others) {
        Map<ClaimId, StoredClaim> merged = new LinkedHashMap<>();
        for (List<StoredClaim> claims : List.of(some, others)) {
            for (StoredClaim claim : claims) {
                if (claim.completed()) {
                    return List.of(claim);
                }
                merged.putIfAbsent(claim.claimId(), claim);
            }
        }
        return List.copyOf(merged.values());
    }

    /** Forms a new group. The time is read after all members answered, so that their former lives had ended by then. */
    private boolean form(Map<String, LedgerReply.Status> statuses) {
        Map<String, Long> boots = new HashMap<>();
        statuses.forEach((address, status) -> boots.put(address, status.boot()));
        boots.put(host.address(), host.boot());
        Formation formation = new Formation(host.epoch(), clock.nowMs(), boots);
        return host.serve(new Life(0, host.boot()), formation, List.of(), List.of());
    }

    private boolean copy(List<String> serving, int needed, Life life, long timeoutMs) {
        Copied copied = new Copied();
        for (String address : serving) {
            if (copied.members < needed) {
                copyFrom(address, life, timeoutMs, copied);
            }
        }
        Formation formation = copied.formation;
        if (copied.members < needed || formation == null) {
            report(copied.members + " of " + needed + " needed members could be copied");
            return false;
        }
        List<LedgerRecord.Entry> entries = new ArrayList<>();
        copied.claims.forEach((key, claims) -> entries.add(new LedgerRecord.Entry(key, claims)));
        List<LedgerRecord> lives = new ArrayList<>();
        copied.lives.remove(host.address());
        copied.lives.forEach((member, known) -> lives.add(new LedgerRecord.MemberLife(member, known)));
        return host.serve(life, formation, entries, lives);
    }

    private void report(String problem) {
        if (!problem.equals(lastProblem)) {
            lastProblem = problem;
            LOG.warn("[ledger] {} answers nothing yet: {}", host.address(), problem);
        }
    }

    private void copyFrom(String address, Life life, long timeoutMs, Copied copied) {
        String afterKey = "";
        while (true) {
            LedgerMessage question = new LedgerMessage.Copy(host.address(), host.epoch(), life, afterKey);
            if (!(peers.ask(address, question, timeoutMs).getOrNull() instanceof LedgerReply.Page page)) {
                return;
            }
            take(page, copied);
            if (page.last()) {
                copied.members++;
                return;
            }
            afterKey = page.entries().getLast().key();
        }
    }

    private static void take(LedgerReply.Page page, Copied copied) {
        for (LedgerReply.Entry entry : page.entries()) {
            copied.claims.merge(entry.key(), entry.claims(), HostRecovery::merge);
        }
        page.lives()
                .forEach((member, known) -> copied.lives.merge(
                        member, known, (one, other) -> one.number() >= other.number() ? one : other));
        Formation formation = copied.formation;
        if (formation == null) {
            copied.formation = page.formation();
        } else if (page.formation().completeFromMs() > formation.completeFromMs()) {
            copied.formation = formation.withCompleteFromMs(page.formation().completeFromMs());
        }
    }
}
