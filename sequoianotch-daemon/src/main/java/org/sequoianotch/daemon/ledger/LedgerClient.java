package org.sequoianotch.daemon.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.time.Clock;

/**
 * Ledger client of a node. It sends each claim to all ledger hosts of the key's home in parallel; the claim owns the
 * key only after a majority granted it.
 *
 * <p>This class is thread-safe.
 */
public final class LedgerClient implements Ledger {
    // Two round trips between regions and a slow sync take about 100 ms; an unresponsive host must not delay a request
    // for longer than this.
    private static final long CLAIM_TIMEOUT_MS = 1_000;
    private static final long RELEASE_TIMEOUT_MS = 500;
    // Within a data centre a reply takes a few ms; a caller that is refused a key retries after one second.
    private static final long PROBE_TIMEOUT_MS = 500;
    // A message is sent again if it or its reply was lost. Messages are idempotent.
    private static final int MAX_ATTEMPTS = 3;

    private final Map<DataCentre, List<String>> hosts;
    private final LedgerPeers peers;
    private final RandomGenerator random;
    private final LedgerCounters counters;
    /** Homes whose ledger has confirmed that it grants new keys, which ends only if all its hosts lose their claims. */
    private final Set<DataCentre> readyHomes = ConcurrentHashMap.newKeySet();

    private LedgerClient(
            Map<DataCentre, List<String>> hosts, LedgerPeers peers, RandomGenerator random, LedgerCounters counters) {
        Map<DataCentre, List<String>> copy = new HashMap<>();
        hosts.forEach((dataCentre, addresses) -> copy.put(dataCentre, List.copyOf(addresses)));
        this.hosts = Map.copyOf(copy);
        this.peers = peers;
        this.random = random;
        this.counters = counters;
    }

    /**
     * Creates a client.
     *
     * @param hosts the peer addresses of the ledger hosts of each data centre; not null
     * @param requester sends messages to other nodes; not null
     * @param clock the clock; not null
     * @param random source of randomness that does not repeat after a restart, such as {@code SecureRandom}; not null
     * @param counters the counters of the node; not null
     * @param localHost the ledger host on this node, which is called without the network, or null if there is none
     * @return the client, never null
     */
    public static LedgerClient of(
            Map<DataCentre, List<String>> hosts,
            PeerRequester requester,
            Clock clock,
            RandomGenerator random,
            LedgerCounters counters,
            @Nullable LedgerHost localHost) {
        Executor executor = Executors.newThreadPerTaskExecutor(
                Thread.ofVirtual().name("ledger-claim-", 0).factory());
        return of(hosts, requester, clock, random, counters, localHost, executor);
    }

    static LedgerClient of(
            Map<DataCentre, List<String>> hosts,
            PeerRequester requester,
            Clock clock,
            RandomGenerator random,
            LedgerCounters counters,
            @Nullable LedgerHost localHost,
            Executor executor) {
        return new LedgerClient(hosts, new LedgerPeers(requester, clock, executor, localHost), random, counters);
    }

    @Override
    public ClaimResult claim(IdempotencyKey key, Fingerprint fingerprint, long timeoutMs) {
        ClaimResult result = requestClaim(key, fingerprint, timeoutMs);
        counters.count(result);
        return result;
    }

    @Override
    public boolean wouldGrant(IdempotencyKey key) {
        if (readyHomes.contains(key.home())) {
            return true;
        }
        List<String> members = hosts.getOrDefault(key.home(), List.of());
        LedgerMessage message = new LedgerMessage.Probe(key.text());
        boolean granted = majorityConfirms(members, message, PROBE_TIMEOUT_MS, 1);
        if (granted) {
            readyHomes.add(key.home());
        }
        return granted;
    }

    private boolean majorityConfirms(List<String> members, LedgerMessage message, long timeoutMs, int maxAttempts) {
        AtomicInteger confirmed = new AtomicInteger();
        int majority = members.size() / 2 + 1;
        return peers.sendToAll(
                members,
                message,
                timeoutMs,
                maxAttempts,
                hostReply -> hostReply.reply().getOrNull() instanceof LedgerReply.Done
                        && confirmed.incrementAndGet() >= majority);
    }

    private ClaimResult requestClaim(IdempotencyKey key, Fingerprint fingerprint, long timeoutMs) {
        List<String> members = hosts.getOrDefault(key.home(), List.of());
        if (members.isEmpty()) {
            return new ClaimResult.Unreachable("Data centre " + key.home() + " has no ledger hosts.");
        }
        ClaimId claimId = ClaimId.random(random);
        ClaimRound round = new ClaimRound(members, fingerprint);
        LedgerMessage message = new LedgerMessage.Claim(key.text(), claimId, fingerprint, timeoutMs);
        peers.sendToAll(members, message, Math.min(timeoutMs, CLAIM_TIMEOUT_MS), 1, round::accept);
        if (round.owned()) {
            return new ClaimResult.Granted(new OwnedClaim(members, key.text(), claimId, fingerprint));
        }
        List<String> holders = round.possibleHolders();
        LedgerMessage release = new LedgerMessage.Release(key.text(), claimId);
        peers.runInBackground(
                () -> peers.sendToAll(holders, release, RELEASE_TIMEOUT_MS, MAX_ATTEMPTS, hostReply -> false));
        return round.refusal();
    }

    /** Claim that a majority granted. */
    private final class OwnedClaim implements Claim {
        private final List<String> members;
        private final String key;
        private final ClaimId claimId;
        private final Fingerprint fingerprint;
        private final AtomicBoolean ended = new AtomicBoolean();

        OwnedClaim(List<String> members, String key, ClaimId claimId, Fingerprint fingerprint) {
            this.members = members;
            this.key = key;
            this.claimId = claimId;
            this.fingerprint = fingerprint;
        }

        @Override
        public boolean release() {
            end();
            return sendToMajority(new LedgerMessage.Release(key, claimId), RELEASE_TIMEOUT_MS);
        }

        @Override
        public boolean complete(StoredResponse response, long timeoutMs) {
            end();
            return sendToMajority(new LedgerMessage.Complete(key, claimId, fingerprint, response), timeoutMs);
        }

        @Override
        public void markInDoubt() {
            end();
            LedgerMessage message = new LedgerMessage.MarkInDoubt(key, claimId);
            peers.runInBackground(() -> sendToMajority(message, RELEASE_TIMEOUT_MS));
        }

        private boolean sendToMajority(LedgerMessage message, long timeoutMs) {
            return majorityConfirms(members, message, timeoutMs, MAX_ATTEMPTS);
        }

        private void end() {
            if (!ended.compareAndSet(false, true)) {
                throw new IllegalStateException("The claim on key " + key + " has already ended");
            }
        }
    }
}
