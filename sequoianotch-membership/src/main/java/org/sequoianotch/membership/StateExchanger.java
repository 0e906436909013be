package org.sequoianotch.membership;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.time.Clock;

/**
 * Exchanges member states with other nodes over links: joins through seeds, reconciles states by comparing digests
 * (anti-entropy), and forwards updates to other data centres.
 *
 * <p>{@link #tick} must be called with the table locked and returns tasks that block. The tasks and
 * {@link #handleRequest} lock the table themselves.
 */
final class StateExchanger {
    /** Members of each data centre that exchange with other data centres; tolerates the loss of two of the three. */
    static final int CONTACTS_PER_DATA_CENTRE = 3;

    private static final Logger LOG = LogManager.getLogger(StateExchanger.class);
    /**
     * Data centres with which a contact exchanges in each interval. With all of them, the exchanges would grow with the
     * square of the data centres; those of different contacts pass each state on.
     */
    private static final int EXCHANGES_PER_INTERVAL = 2;

    /** Exchange intervals between exchanges with a member of the same data centre, and with unreachable seeds. */
    private static final int LOCAL_EXCHANGE_INTERVALS = 5;

    private static final long JOIN_RETRY_INTERVAL_MS = 1_000;
    private static final long FORWARD_INTERVAL_MS = 100;
    /** Consecutive failed exchanges with a data centre after which any of its members is tried, not just contacts. */
    private static final int FAILURES_BEFORE_ANY_MEMBER = 2;

    /** Differences found in one exchange from which on the next local exchange is brought forward. */
    private static final int EARLY_EXCHANGE_DIFFERENCES = 10;

    private static final int MAX_UNKNOWN_SENDERS = 16;

    private final MemberTable table;
    private final MembershipOptions options;
    private final Clock clock;
    private final RandomGenerator random;
    private final PeerRequester requester;
    private final MembershipCounters counters;
    private final Runnable afterMerge;
    /** Addresses through which this node joins; of the options, and those that were added later. */
    private final Set<String> seeds = new LinkedHashSet<>();

    private final Set<String> inFlight = new HashSet<>();
    private final Set<String> unknownSenders = new LinkedHashSet<>();
    private final Map<DataCentre, Integer> consecutiveFailures = new HashMap<>();
    private boolean joined;
    private double nextExchangeAtMs;
    private double nextLocalExchangeAtMs;
    private double nextSeedExchangeAtMs;
    private double nextForwardAtMs;

    StateExchanger(
            MemberTable table,
            MembershipOptions options,
            Clock clock,
            RandomGenerator random,
            PeerRequester requester,
            MembershipCounters counters,
            Runnable afterMerge) {
        this.table = table;
        this.options = options;
        this.clock = clock;
        this.random = random;
        this.requester = requester;
        this.counters = counters;
        this.afterMerge = afterMerge;
        seeds.addAll(options.seeds());
        double nowMs = clock.monotonicMs();
        nextSeedExchangeAtMs = nowMs;
        nextExchangeAtMs = nowMs + random.nextDouble() * options.exchangeIntervalMs();
        nextLocalExchangeAtMs = nowMs + random.nextDouble() * options.exchangeIntervalMs() * LOCAL_EXCHANGE_INTERVALS;
    }

    List<Runnable> tick(double nowMs) {
        List<Runnable> work = new ArrayList<>();
        if (nowMs >= nextSeedExchangeAtMs) {
            nextSeedExchangeAtMs =
                    nowMs + (joined ? options.exchangeIntervalMs() * LOCAL_EXCHANGE_INTERVALS : JOIN_RETRY_INTERVAL_MS);
            missingSeeds().forEach(address -> addExchange(work, address, null));
        }
        unknownSenders.forEach(address -> addExchange(work, address, null));
        unknownSenders.clear();
        if (nowMs >= nextLocalExchangeAtMs) {
            nextLocalExchangeAtMs = nowMs + (double) options.exchangeIntervalMs() * LOCAL_EXCHANGE_INTERVALS;
            table.sample(table.localPeers(), 1).forEach(member -> addExchange(work, member.peerAddress(), null));
        }
        if (nowMs >= nextExchangeAtMs) {
            nextExchangeAtMs = nowMs + options.exchangeIntervalMs();
            if (table.isAmongLowestHostIds(CONTACTS_PER_DATA_CENTRE)) {
                for (DataCentre dataCentre : table.sample(List.copyOf(otherDataCentres()), EXCHANGES_PER_INTERVAL)) {
                    chooseContacts(dataCentre, 1)
                            .forEach(member -> addExchange(work, member.peerAddress(), dataCentre));
                }
            }
        }
        if (table.hasPendingForwards() && nowMs >= nextForwardAtMs) {
            nextForwardAtMs = nowMs + FORWARD_INTERVAL_MS;
            addForwards(work);
        }
        return work;
    }

    /** Returns the latest time of the next {@link #tick} on the monotonic clock, in milliseconds. */
    double nextTickAtMs() {
        if (!unknownSenders.isEmpty()) {
            return Double.NEGATIVE_INFINITY;
        }
        double dueMs = Math.min(Math.min(nextSeedExchangeAtMs, nextLocalExchangeAtMs), nextExchangeAtMs);
        return table.hasPendingForwards() ? Math.min(dueMs, nextForwardAtMs) : dueMs;
    }

    /** Adds addresses to join through, and tries those that are not reachable members in the next tick. */
    void addSeeds(Collection<String> addresses) {
        seeds.addAll(addresses);
        nextSeedExchangeAtMs = clock.monotonicMs();
    }

    /** Queues the address of a sender that is not in the member table for an exchange in the next tick. */
    void onUnknownSender(String address) {
        if (unknownSenders.size() < MAX_UNKNOWN_SENDERS) {
            unknownSenders.add(address);
        }
    }

    private List<String> missingSeeds() {
        Set<String> reachable = new HashSet<>();
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.member.state().isReachable()) {
                reachable.add(entry.member.peerAddress());
            }
        }
        return seeds.stream()
                .filter(address -> !address.equals(options.peerAddress()))
                .filter(address -> !joined || !reachable.contains(address))
                .toList();
    }

    private SortedSet<DataCentre> otherDataCentres() {
        SortedSet<DataCentre> others = new TreeSet<>();
        table.entries().forEach(entry -> others.add(entry.member.dataCentre()));
        others.remove(options.dataCentre());
        return others;
    }

    /**
     * Chooses contacts of a data centre, each node always the same ones while its exchanges succeed, so that it keeps
     * few links open.
     */
    private List<Member> chooseContacts(DataCentre dataCentre, int count) {
        List<Member> peers = table.peersIn(dataCentre);
        int failures = consecutiveFailures.getOrDefault(dataCentre, 0);
        boolean anyMember = failures >= FAILURES_BEFORE_ANY_MEMBER && random.nextBoolean();
        List<Member> pool = anyMember ? peers : peers.subList(0, Math.min(CONTACTS_PER_DATA_CENTRE, peers.size()));
        if (failures > 0 || pool.isEmpty()) {
            return table.sample(pool, count);
        }
        List<Member> ordered = new ArrayList<>(pool);
        Collections.rotate(ordered, Math.floorMod(options.host().hashCode(), pool.size()));
        return ordered.subList(0, Math.min(count, ordered.size()));
    }

    private void addExchange(List<Runnable> work, String address, @Nullable DataCentre dataCentre) {
        if (inFlight.add(address)) {
            work.add(() -> exchange(address, dataCentre));
        }
    }

    private void addForwards(List<Runnable> work) {
        List<byte[]> updates = table.takePendingForwards();
        if (!table.isAmongLowestHostIds(CONTACTS_PER_DATA_CENTRE)) {
            return;
        }
        for (DataCentre dataCentre : otherDataCentres()) {
            List<String> addresses = chooseContacts(dataCentre, 2).stream()
                    .map(Member::peerAddress)
                    .toList();
            work.add(() -> forward(addresses, updates));
        }
    }

    /**
     * Sends each batch of updates to the first of the addresses that accepts it. Updates that no address accepts are
     * transferred by the next exchange.
     */
    private void forward(List<String> addresses, List<byte[]> updates) {
        for (int start = 0; start < updates.size(); start += ExchangeCodec.MAX_MEMBERS) {
            List<byte[]> batch = updates.subList(start, Math.min(updates.size(), start + ExchangeCodec.MAX_MEMBERS));
            for (String address : addresses) {
                if (sendRequest(address, batch, List.of()).isRight()) {
                    break;
                }
            }
        }
    }

    private void exchange(String address, @Nullable DataCentre dataCentre) {
        counters.exchanges.increment();
        Either<Failure, Integer> result = compareWith(address);
        synchronized (table) {
            inFlight.remove(address);
            joined |= result.isRight();
            if (result.getOrElse(0) >= EARLY_EXCHANGE_DIFFERENCES) {
                scheduleEarlyLocalExchange();
            }
            if (dataCentre != null) {
                consecutiveFailures.compute(
                        dataCentre, (key, count) -> result.isRight() ? 0 : (count == null ? 1 : count + 1));
            }
        }
        result.peekLeft(failure -> {
            counters.exchangesFailed.increment();
            LOG.debug("[member] Exchange with {} failed: {}", address, failure.detail());
        });
    }

    /** Used after a large change, which gossip alone would spread slowly because of its rate limit. */
    private void scheduleEarlyLocalExchange() {
        nextLocalExchangeAtMs = Math.min(nextLocalExchangeAtMs, clock.monotonicMs() + options.exchangeIntervalMs());
    }

    private Either<Failure, Integer> compareWith(String address) {
        ExchangeCodec.Request request;
        synchronized (table) {
            request = new ExchangeCodec.Request(table.highestRevision(), true, table.digests(), List.of(), List.of());
        }
        return sendRequest(address, request).flatMap(response -> reconcile(address, response.header()));
    }

    private Either<Failure, Integer> reconcile(String address, ExchangeCodec.Response response) {
        List<byte[]> updates = new ArrayList<>();
        List<HostId> requestedHosts = new ArrayList<>();
        synchronized (table) {
            response.versions()
                    .forEach((dataCentre, versions) ->
                            collectDifferences(dataCentre, versions, updates, requestedHosts));
        }
        int size = Math.max(updates.size(), requestedHosts.size());
        for (int start = 0; start < size; start += ExchangeCodec.MAX_MEMBERS) {
            Either<Failure, ExchangeCodec.DecodedResponse> result =
                    sendRequest(address, batch(updates, start), batch(requestedHosts, start));
            if (result.isLeft()) {
                return Either.left(result.getLeft());
            }
        }
        return Either.right(size);
    }

    private static <T> List<T> batch(List<T> all, int start) {
        if (start >= all.size()) {
            return List.of();
        }
        return all.subList(start, Math.min(all.size(), start + ExchangeCodec.MAX_MEMBERS));
    }

    /** Collects the members of a data centre that are newer on this node, and the hosts that are newer on the peer. */
    private void collectDifferences(
            DataCentre dataCentre,
            List<ExchangeCodec.Version> versions,
            List<byte[]> updates,
            List<HostId> requestedHosts) {
        Set<HostId> peerHosts = new HashSet<>();
        for (ExchangeCodec.Version version : versions) {
            peerHosts.add(version.host());
            MemberTable.Entry entry = table.entry(version.host());
            if (entry == null || version.hasUpdateFor(entry.member)) {
                requestedHosts.add(version.host());
            }
            if (entry != null
                    && entry.member.hasUpdateFor(version.incarnation(), version.changeNumber(), version.state())) {
                updates.add(entry.encoded);
            }
        }
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.member.dataCentre().equals(dataCentre) && !peerHosts.contains(entry.member.host())) {
                updates.add(entry.encoded);
            }
        }
    }

    private Either<Failure, ExchangeCodec.DecodedResponse> sendRequest(
            String address, List<byte[]> updates, List<HostId> requestedHosts) {
        long revision;
        synchronized (table) {
            revision = table.highestRevision();
        }
        return sendRequest(
                address,
                new ExchangeCodec.Request(revision, false, Collections.emptySortedMap(), updates, requestedHosts));
    }

    private Either<Failure, ExchangeCodec.DecodedResponse> sendRequest(String address, ExchangeCodec.Request request) {
        byte[] payload = ExchangeCodec.encode(request);
        counters.exchangeBytesSent.add(payload.length);
        return requester
                .request(address, Topic.MEMBERSHIP, payload, options.exchangeIntervalMs())
                .flatMap(this::handleResponse);
    }

    private Either<Failure, ExchangeCodec.DecodedResponse> handleResponse(byte[] payload) {
        counters.exchangeBytesReceived.add(payload.length);
        try {
            ExchangeCodec.DecodedResponse response = ExchangeCodec.decodeResponse(payload);
            synchronized (table) {
                table.noteRevision(response.header().highestRevision());
                table.mergeAll(response.members());
            }
            afterMerge.run();
            return Either.right(response);
        } catch (IllegalArgumentException e) {
            return Either.left(
                    Failure.of(ErrorKind.INTERNAL, "The membership response is malformed: " + e.getMessage()));
        }
    }

    /** Handles an exchange request of another node and returns the encoded response. */
    Either<Failure, byte[]> handleRequest(byte[] payload) {
        counters.exchangeBytesReceived.add(payload.length);
        ExchangeCodec.DecodedRequest request;
        try {
            request = ExchangeCodec.decodeRequest(payload);
        } catch (IllegalArgumentException e) {
            return Either.left(
                    Failure.of(ErrorKind.BAD_REQUEST, "The membership request is malformed: " + e.getMessage()));
        }
        byte[] response;
        synchronized (table) {
            ExchangeCodec.Request header = request.header();
            table.noteRevision(header.highestRevision());
            table.mergeAll(request.updates());
            List<byte[]> members = new ArrayList<>();
            for (HostId host : header.requestedHosts()) {
                MemberTable.Entry entry = table.entry(host);
                if (entry != null) {
                    members.add(entry.encoded);
                }
            }
            SortedMap<DataCentre, List<ExchangeCodec.Version>> versions = header.comparesDigests()
                    ? versionsOfDifferingDataCentres(header.digests())
                    : Collections.emptySortedMap();
            response = ExchangeCodec.encode(new ExchangeCodec.Response(table.highestRevision(), versions, members));
        }
        counters.exchangeBytesSent.add(response.length);
        afterMerge.run();
        return Either.right(response);
    }

    private SortedMap<DataCentre, List<ExchangeCodec.Version>> versionsOfDifferingDataCentres(
            SortedMap<DataCentre, Long> peerDigests) {
        SortedMap<DataCentre, Long> localDigests = table.digests();
        SortedSet<DataCentre> differing = new TreeSet<>(localDigests.keySet());
        differing.addAll(peerDigests.keySet());
        differing.removeIf(dataCentre ->
                localDigests.getOrDefault(dataCentre, 0L).longValue() == peerDigests.getOrDefault(dataCentre, 0L));
        SortedMap<DataCentre, List<ExchangeCodec.Version>> versions = new TreeMap<>();
        int remainingVersions = ExchangeCodec.MAX_VERSIONS;
        for (DataCentre dataCentre : differing) {
            List<ExchangeCodec.Version> known = table.versionsIn(dataCentre);
            remainingVersions -= known.size();
            if (remainingVersions < 0) {
                // The next exchange covers the rest, once the data centres included here no longer differ.
                break;
            }
            versions.put(dataCentre, known);
        }
        return versions;
    }
}
