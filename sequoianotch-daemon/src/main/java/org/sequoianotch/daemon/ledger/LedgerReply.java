package org.sequoianotch.daemon.ledger;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Reply of a ledger host. */
sealed interface LedgerReply {
    /** The claim id holds the key at this host. Carries the incarnations of this host and of the others it knows. */
    record Granted(Incarnation incarnation, Map<String, Incarnation> memberIncarnations) implements LedgerReply {
        public Granted {
            memberIncarnations = Map.copyOf(memberIncarnations);
        }
    }

    /** The claims on the key; empty if there are none. */
    record Held(List<Holder> holders) implements LedgerReply {
        public Held {
            holders = List.copyOf(holders);
        }
    }

    /** One claim on a key. {@code running} is set until it completes or its deadline passes. */
    record Holder(ClaimId claimId, Fingerprint fingerprint, boolean running, @Nullable StoredResponse response) {}

    /** The host refused the request. */
    record Refused(Reason reason) implements LedgerReply {}

    /** The host carried out the request. */
    record Done() implements LedgerReply {}

    /**
     * State of the host. {@code formation} is null while it recovers; {@code knownIncarnation} is the latest
     * incarnation of the requesting host that it knows.
     */
    record Status(long epoch, long bootId, @Nullable Formation formation, Incarnation knownIncarnation)
            implements LedgerReply {}

    /** A page of claims. Unless {@code last} is set, the next page starts after the last key of this one. */
    record Page(Formation formation, Map<String, Incarnation> memberIncarnations, List<Entry> entries, boolean last)
            implements LedgerReply {
        public Page {
            memberIncarnations = Map.copyOf(memberIncarnations);
            entries = List.copyOf(entries);
        }
    }

    /** The claims of one key. */
    record Entry(String key, List<StoredClaim> claims) {
        public Entry {
            claims = List.copyOf(claims);
        }
    }

    /** Why a host refused a request. The ordinal is sent, so new constants are added at the end only. */
    enum Reason {
        /** The claim id was released before. */
        RELEASED("the claim was released", false),
        /** The host has not yet recovered its claims. */
        RECOVERING("it has not yet recovered its claims", false),
        /** The host holds its maximum number of claims. */
        FULL("it holds its maximum number of claims", false),
        /** The key is from an earlier epoch. */
        OLD_EPOCH("the key is from an earlier epoch of the ledger", true),
        /** The key is from a later epoch. */
        LATER_EPOCH("the key is from a later epoch of the ledger", false),
        /** The key may have been claimed before the group was formed. */
        BEFORE_LOSS("the key may have been used before the ledger was started", true),
        /** The key is older than the retention time. */
        EXPIRED("the key is older than the retention time of the ledger", true),
        /** The host knows a later incarnation of the host that copies its claims. */
        STALE_INCARNATION("it knows a later incarnation of the requesting host", false),
        /** The host does not hold the claim of the request. */
        OTHER_CLAIM("it holds another claim", false);

        private final String phrase;
        private final boolean inDoubt;

        Reason(String phrase, boolean inDoubt) {
            this.phrase = phrase;
            this.inDoubt = inDoubt;
        }

        String phrase() {
            return phrase;
        }

        /** Returns whether a request with the key may have run although no claim is left. */
        boolean inDoubt() {
            return inDoubt;
        }
    }
}
