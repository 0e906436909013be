package org.sequoianotch.membership;

import io.vavr.control.Either;
import java.util.ArrayList;
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
import org.sequoianotch.protocol.link.Asker;
import org.sequoianotch.time.Clock;

/**
 * Exchanges of member states over links: joining, comparison by digests, and forwarding to other data centres.
 *
 * <p>{@link #tick} is called with the table locked and returns work that blocks; the work and {@link #answer} lock the
 * table themselves.
 */
final class Exchanger {
    /** Members of each data centre that exchange with others; three, so that the loss of two stops nothing. */
    static final int CONTACTS = 3;

    private static final Logger LOG = LogManager.getLogger(Exchanger.class);
    /** Exchange intervals between comparisons with a member of the same data centre, and with missing seeds. */
    private static final int LOCAL_INTERVALS = 5;

    private static final long JOIN_RETRY_MS = 1_000;
    private static final long FORWARD_GAP_MS = 100;
    /** Failed exchanges after which any member of the data centre is tried, not only its contacts. */
    private static final int FAILURES_BEFORE_ANY = 2;

    /** Differences found in one exchange after which the next local one comes sooner. */
    private static final int MANY_DIFFERENCES = 10;

    private static final int MAX_UNKNOWN_SENDERS = 16;

    private final MemberTable table;
    private final MembershipOptions options;
    private final Clock clock;
    private final RandomGenerator random;
    private final Asker asker;
    private final MembershipCounters counters;
    private final Runnable afterMerge;
    private final Set<String> inFlight = new HashSet<>();
    private final Set<String> unknownSenders = new LinkedHashSet<>();
    private final Map<DataCentre, Integer> failures = new HashMap<>();
    private boolean joined;
    private double nextExchangeAtMs;
    private double nextLocalAtMs;
    private double nextSeedsAtMs;
    private double nextForwardAtMs;

    Exchanger(
            MemberTable table,
            MembershipOptions options,
            Clock clock,
            RandomGenerator random,
            Asker asker,
            MembershipCounters counters,
            Runnable afterMerge) {
        this.table = table;
        this.options = options;
        this.clock = clock;
        this.random = random;
        this.asker = asker;
        this.counters = counters;
        this.afterMerge = afterMerge;
        double nowMs = clock.monotonicMs();
        nextSeedsAtMs = nowMs;
        nextExchangeAtMs = nowMs + random.nextDouble() * options.exchangeIntervalMs();
        nextLocalAtMs = nowMs + random.nextDouble() * options.exchangeIntervalMs() * LOCAL_INTERVALS;
    }

    List<Runnable> tick(double nowMs) {
        List<Runnable> work = new ArrayList<>();
        if (nowMs >= nextSeedsAtMs) {
            nextSeedsAtMs = nowMs + (joined ? options.exchangeIntervalMs() * LOCAL_INTERVALS : JOIN_RETRY_MS);
            missingSeeds().forEach(address -> addExchange(work, address, null));
        }
        unknownSenders.forEach(address -> addExchange(work, address, null));
        unknownSenders.clear();
        if (nowMs >= nextLocalAtMs) {
            nextLocalAtMs = nowMs + (double) options.exchangeIntervalMs() * LOCAL_INTERVALS;
            table.sample(table.localPeers(), 1).forEach(member -> addExchange(work, member.peerAddress(), null));
        }
        if (nowMs >= nextExchangeAtMs) {
            nextExchangeAtMs = nowMs + options.exchangeIntervalMs();
            if (table.isAmongLowest(CONTACTS)) {
                for (DataCentre dataCentre : otherDataCentres()) {
                    contacts(dataCentre, 1).forEach(member -> addExchange(work, member.peerAddress(), dataCentre));
                }
            }
        }
        if (table.hasForwards() && nowMs >= nextForwardAtMs) {
            nextForwardAtMs = nowMs + FORWARD_GAP_MS;
            addForwards(work);
        }
        return work;
    }

    /** Remembers a sender that is not a member here, so that the next tick compares states with it. */
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
        return options.seeds().stream()
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

    private List<Member> contacts(DataCentre dataCentre, int count) {
        List<Member> peers = table.peersIn(dataCentre);
        boolean any = failures.getOrDefault(dataCentre, 0) >= FAILURES_BEFORE_ANY && random.nextBoolean();
        List<Member> pool = any ? peers : peers.subList(0, Math.min(CONTACTS, peers.size()));
        return table.sample(pool, count);
    }

    private void addExchange(List<Runnable> work, String address, @Nullable DataCentre dataCentre) {
        if (inFlight.add(address)) {
            work.add(() -> exchange(address, dataCentre));
        }
    }

    private void addForwards(List<Runnable> work) {
        List<byte[]> news = table.takeForwards();
        if (!table.isAmongLowest(CONTACTS)) {
            return;
        }
        for (DataCentre dataCentre : otherDataCentres()) {
            List<String> addresses =
                    contacts(dataCentre, 2).stream().map(Member::peerAddress).toList();
            work.add(() -> forward(addresses, news));
        }
    }

    /** Sends news to the first of the addresses that takes it. The next exchange covers what none took. */
    private void forward(List<String> addresses, List<byte[]> news) {
        for (int start = 0; start < news.size(); start += ExchangeCodec.MAX_MEMBERS) {
            List<byte[]> part = news.subList(start, Math.min(news.size(), start + ExchangeCodec.MAX_MEMBERS));
            for (String address : addresses) {
                if (ask(address, part, List.of()).isRight()) {
                    break;
                }
            }
        }
    }

    private void exchange(String address, @Nullable DataCentre dataCentre) {
        counters.exchanges.increment();
        Either<Failure, Integer> result = compare(address);
        synchronized (table) {
            inFlight.remove(address);
            joined |= result.isRight();
            if (result.getOrElse(0) >= MANY_DIFFERENCES) {
                hurryNextLocal();
            }
            if (dataCentre != null) {
                failures.compute(dataCentre, (key, count) -> result.isRight() ? 0 : (count == null ? 1 : count + 1));
            }
        }
        result.peekLeft(failure -> {
            counters.exchangesFailed.increment();
            LOG.debug("[member] Exchange with {} failed: {}", address, failure.detail());
        });
    }

    /** After a large change, gossip alone would take long within its allowance. */
    private void hurryNextLocal() {
        nextLocalAtMs = Math.min(nextLocalAtMs, clock.monotonicMs() + options.exchangeIntervalMs());
    }

    private Either<Failure, Integer> compare(String address) {
        ExchangeCodec.Question question;
        synchronized (table) {
            question = new ExchangeCodec.Question(table.highestRevision(), true, table.digests(), List.of(), List.of());
        }
        return ask(address, question).flatMap(answer -> settle(address, answer.head()));
    }

    private Either<Failure, Integer> settle(String address, ExchangeCodec.Answer answer) {
        List<byte[]> news = new ArrayList<>();
        List<HostId> wanted = new ArrayList<>();
        synchronized (table) {
            answer.versions().forEach((dataCentre, versions) -> collect(dataCentre, versions, news, wanted));
        }
        int size = Math.max(news.size(), wanted.size());
        for (int start = 0; start < size; start += ExchangeCodec.MAX_MEMBERS) {
            Either<Failure, ExchangeCodec.ReceivedAnswer> part = ask(address, part(news, start), part(wanted, start));
            if (part.isLeft()) {
                return Either.left(part.getLeft());
            }
        }
        return Either.right(size);
    }

    private static <T> List<T> part(List<T> all, int start) {
        if (start >= all.size()) {
            return List.of();
        }
        return all.subList(start, Math.min(all.size(), start + ExchangeCodec.MAX_MEMBERS));
    }

    /** Finds which members of a data centre are newer here, and which are newer there. */
    private void collect(
            DataCentre dataCentre, List<ExchangeCodec.Version> versions, List<byte[]> news, List<HostId> wanted) {
        Set<HostId> theirs = new HashSet<>();
        for (ExchangeCodec.Version version : versions) {
            theirs.add(version.host());
            MemberTable.Entry entry = table.entry(version.host());
            if (entry == null || version.isNewsFor(entry.member)) {
                wanted.add(version.host());
            }
            if (entry != null && entry.member.isNewsFor(version.incarnation(), version.change(), version.state())) {
                news.add(entry.encoded);
            }
        }
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.member.dataCentre().equals(dataCentre) && !theirs.contains(entry.member.host())) {
                news.add(entry.encoded);
            }
        }
    }

    private Either<Failure, ExchangeCodec.ReceivedAnswer> ask(String address, List<byte[]> news, List<HostId> wanted) {
        long revision;
        synchronized (table) {
            revision = table.highestRevision();
        }
        return ask(address, new ExchangeCodec.Question(revision, false, Collections.emptySortedMap(), news, wanted));
    }

    private Either<Failure, ExchangeCodec.ReceivedAnswer> ask(String address, ExchangeCodec.Question question) {
        byte[] payload = ExchangeCodec.encode(question);
        counters.exchangeBytesSent.add(payload.length);
        return asker.ask(address, Topic.MEMBERSHIP, payload, options.exchangeIntervalMs())
                .flatMap(this::received);
    }

    private Either<Failure, ExchangeCodec.ReceivedAnswer> received(byte[] payload) {
        counters.exchangeBytesReceived.add(payload.length);
        try {
            ExchangeCodec.ReceivedAnswer answer = ExchangeCodec.decodeAnswer(payload);
            synchronized (table) {
                table.noteRevision(answer.head().highestRevision());
                table.mergeAll(answer.members());
            }
            afterMerge.run();
            return Either.right(answer);
        } catch (IllegalArgumentException e) {
            return Either.left(Failure.of(ErrorKind.INTERNAL, "The peer's answer is malformed: " + e.getMessage()));
        }
    }

    /** Answers the question of another node. */
    Either<Failure, byte[]> answer(byte[] payload) {
        counters.exchangeBytesReceived.add(payload.length);
        ExchangeCodec.ReceivedQuestion question;
        try {
            question = ExchangeCodec.decodeQuestion(payload);
        } catch (IllegalArgumentException e) {
            return Either.left(Failure.of(ErrorKind.BAD_REQUEST, "The question is malformed: " + e.getMessage()));
        }
        byte[] answer;
        synchronized (table) {
            ExchangeCodec.Question head = question.head();
            table.noteRevision(head.highestRevision());
            table.mergeAll(question.news());
            List<byte[]> members = new ArrayList<>();
            for (HostId host : head.wanted()) {
                MemberTable.Entry entry = table.entry(host);
                if (entry != null) {
                    members.add(entry.encoded);
                }
            }
            SortedMap<DataCentre, List<ExchangeCodec.Version>> versions =
                    head.compares() ? differing(head.digests()) : Collections.emptySortedMap();
            answer = ExchangeCodec.encode(new ExchangeCodec.Answer(table.highestRevision(), versions, members));
        }
        counters.exchangeBytesSent.add(answer.length);
        afterMerge.run();
        return Either.right(answer);
    }

    private SortedMap<DataCentre, List<ExchangeCodec.Version>> differing(SortedMap<DataCentre, Long> theirs) {
        SortedMap<DataCentre, Long> ours = table.digests();
        SortedSet<DataCentre> all = new TreeSet<>(ours.keySet());
        all.addAll(theirs.keySet());
        all.removeIf(
                dataCentre -> ours.getOrDefault(dataCentre, 0L).longValue() == theirs.getOrDefault(dataCentre, 0L));
        SortedMap<DataCentre, List<ExchangeCodec.Version>> versions = new TreeMap<>();
        int room = ExchangeCodec.MAX_VERSIONS;
        for (DataCentre dataCentre : all) {
            List<ExchangeCodec.Version> known = table.versionsIn(dataCentre);
            room -= known.size();
            if (room < 0) {
                // The rest follows in the next exchange, when these data centres no longer differ.
                break;
            }
            versions.put(dataCentre, known);
        }
        return versions;
    }
}
