package org.sequoianotch.daemon.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import org.jspecify.annotations.Nullable;

/**
 * Replies of the ledger hosts to one claim, and the decision that follows from them.
 *
 * <p>A grant counts only if no other grant reports a later incarnation of its host: such a host lost its claims after
 * the grant, and may have granted the key to another claim since then. This class is not thread-safe.
 */
final class ClaimRound {
    private final List<String> members;
    private final Fingerprint fingerprint;
    private final Map<String, LedgerReply> replies = new LinkedHashMap<>();
    private final Map<String, String> failures = new LinkedHashMap<>();

    ClaimRound(Collection<String> members, Fingerprint fingerprint) {
        this.members = List.copyOf(members);
        this.fingerprint = fingerprint;
    }

    /** Adds a reply and returns whether the round is decided. */
    boolean accept(LedgerPeers.HostReply hostReply) {
        hostReply
                .reply()
                .peek(reply -> replies.put(hostReply.address(), reply))
                .peekLeft(failure -> failures.put(hostReply.address(), failure.detail()));
        return owned() || completedHolder() != null || majorityHolder() != null;
    }

    /** Returns whether a majority granted the key to this claim and no host knows of a completed one. */
    boolean owned() {
        long grants = replies.entrySet().stream()
                .filter(entry -> entry.getValue() instanceof LedgerReply.Granted granted
                        && !superseded(entry.getKey(), granted.incarnation()))
                .count();
        return grants >= majority() && completedHolder() == null;
    }

    /** Returns the hosts that may hold this claim. */
    List<String> possibleHolders() {
        return members.stream()
                .filter(member -> !replies.containsKey(member) || replies.get(member) instanceof LedgerReply.Granted)
                .toList();
    }

    /** Returns the result for the caller if this claim does not own the key. */
    ClaimResult refusal() {
        LedgerReply.Holder decisive = completedHolder();
        if (decisive == null) {
            decisive = majorityHolder();
        }
        if (decisive != null) {
            return refusal(decisive);
        }
        for (LedgerReply.Holder holder : holders()) {
            boolean mayOwn = holderCount(holder.claimId()) + unknownHostCount() >= majority();
            if (!holder.running() && mayOwn) {
                return new ClaimResult.InDoubt(
                        "An earlier attempt holds the key at some of the ledger hosts, and its deadline"
                                + " has passed.");
            }
        }
        if (!holders().isEmpty()) {
            return new ClaimResult.InProgress("Another attempt competes for the key.");
        }
        for (LedgerReply reply : replies.values()) {
            if (reply instanceof LedgerReply.Refused refused && refused.reason().inDoubt()) {
                return new ClaimResult.InDoubt("The ledger cannot rule out that the request has run: "
                        + refused.reason().phrase() + ".");
            }
        }
        return new ClaimResult.Unreachable(describeReplies());
    }

    private ClaimResult refusal(LedgerReply.Holder holder) {
        StoredResponse response = holder.response();
        if (!holder.fingerprint().equals(fingerprint)) {
            return new ClaimResult.Reused("The key was used for another method, path or body length.");
        }
        if (response != null) {
            return new ClaimResult.Completed(response);
        }
        if (holder.running()) {
            return new ClaimResult.InProgress("Another attempt owns the key, and its deadline has not passed.");
        }
        return new ClaimResult.InDoubt("An earlier attempt owned the key and ended without a known response.");
    }

    private boolean superseded(String address, Incarnation incarnation) {
        return replies.values().stream()
                .anyMatch(reply -> reply instanceof LedgerReply.Granted granted
                        && granted.memberIncarnations()
                                        .getOrDefault(address, Incarnation.NONE)
                                        .number()
                                > incarnation.number());
    }

    private LedgerReply.@Nullable Holder completedHolder() {
        for (LedgerReply.Holder holder : holders()) {
            if (holder.response() != null) {
                return holder;
            }
        }
        return null;
    }

    /** Returns the claim that a majority holds, or null. It counts as ended as soon as one host reports that. */
    private LedgerReply.@Nullable Holder majorityHolder() {
        Map<ClaimId, LedgerReply.Holder> byClaimId = new HashMap<>();
        for (LedgerReply.Holder holder : holders()) {
            byClaimId.merge(holder.claimId(), holder, (one, other) -> one.running() ? other : one);
        }
        for (LedgerReply.Holder holder : byClaimId.values()) {
            if (holderCount(holder.claimId()) >= majority()) {
                return holder;
            }
        }
        return null;
    }

    private List<LedgerReply.Holder> holders() {
        List<LedgerReply.Holder> holders = new ArrayList<>();
        for (LedgerReply reply : replies.values()) {
            if (reply instanceof LedgerReply.Held held) {
                holders.addAll(held.holders());
            }
        }
        return holders;
    }

    private long holderCount(ClaimId claimId) {
        return holders().stream()
                .filter(holder -> holder.claimId().equals(claimId))
                .count();
    }

    /** Returns the number of hosts of which it is unknown what claims they hold. */
    private long unknownHostCount() {
        return members.stream()
                .filter(member -> !replies.containsKey(member) || replies.get(member) instanceof LedgerReply.Refused)
                .count();
    }

    private int majority() {
        return members.size() / 2 + 1;
    }

    private String describeReplies() {
        StringJoiner sentences = new StringJoiner(" ");
        for (String member : members) {
            LedgerReply reply = replies.get(member);
            if (reply instanceof LedgerReply.Refused refused) {
                sentences.add("Ledger host " + member + " refused: "
                        + refused.reason().phrase() + ".");
            } else if (reply instanceof LedgerReply.Granted) {
                sentences.add("Ledger host " + member + " granted the claim.");
            } else {
                sentences.add("Ledger host " + member + " did not reply: "
                        + failures.getOrDefault(member, "the time limit passed."));
            }
        }
        return sentences.toString();
    }
}
