package org.sequoianotch.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.time.Clock;

/**
 * The members that a node knows, with the updates that it still has to gossip.
 *
 * <p>Not thread-safe: every caller must hold the lock of the table, which is the table object itself.
 */
final class MemberTable {
    private static final Logger LOG = LogManager.getLogger(MemberTable.class);
    /** Transmissions of one update for each power of ten of members; the factor usual in SWIM implementations. */
    private static final int RETRANSMIT_FACTOR = 4;

    private final MembershipOptions options;
    private final Clock clock;
    private final RandomGenerator random;
    private final MembershipCounters counters;
    private final SortedMap<HostId, Entry> entries = new TreeMap<>();
    private final UpdateQueue updates = new UpdateQueue();
    private @Nullable List<Member> localPeers;
    private @Nullable SortedMap<DataCentre, Long> digests;
    private boolean warnedOfDuplicateHost;
    private final Set<HostId> changedHosts = new LinkedHashSet<>();
    private final Set<HostId> pendingForwards = new LinkedHashSet<>();
    private final List<HostId> newlyReachable = new ArrayList<>();
    private Member self;
    private long highestRevision;
    private int selfSuspicions;

    MemberTable(MembershipOptions options, Clock clock, RandomGenerator random, MembershipCounters counters) {
        this.options = options;
        this.clock = clock;
        this.random = random;
        this.counters = counters;
        long nowMs = clock.nowMs();
        self = new Member(
                options.host(),
                options.dataCentre(),
                options.region(),
                options.peerAddress(),
                nowMs,
                0,
                MemberState.ALIVE,
                nowMs,
                List.of(),
                0);
        replaceSelf(self);
    }

    /** A member with its encoded form and digest. */
    static final class Entry {
        final Member member;
        final byte[] encoded;
        final long digest;
        final double suspectedAtMs;

        Entry(Member member, double suspectedAtMs) {
            this.member = member;
            this.encoded = MemberCodec.encode(member);
            this.digest = Digests.of(member);
            this.suspectedAtMs = suspectedAtMs;
        }
    }

    Member self() {
        return self;
    }

    long highestRevision() {
        return highestRevision;
    }

    void announce(List<Instance> instances) {
        if (!instances.equals(self.instances())) {
            replaceSelf(self.withInstances(instances));
        }
    }

    void leave() {
        replaceSelf(self.withState(MemberState.LEFT, clock.nowMs()));
    }

    void setRevision(long revision) {
        if (revision > self.configurationRevision()) {
            self = self.withConfigurationRevision(revision);
            store(new Entry(self, 0));
            changedHosts.add(self.host());
        }
        noteRevision(revision);
    }

    void noteRevision(long revision) {
        if (revision > highestRevision) {
            highestRevision = revision;
            // Triggers a new view, which contains the highest revision, although no member changed.
            changedHosts.add(self.host());
        }
    }

    void noteMemberRevision(HostId host, long revision) {
        Entry entry = entries.get(host);
        if (entry != null && !host.equals(self.host()) && entry.member.configurationRevision() < revision) {
            store(new Entry(entry.member.withConfigurationRevision(revision), entry.suspectedAtMs));
            changedHosts.add(host);
        }
    }

    void mergeAll(Collection<Member> members) {
        members.forEach(this::merge);
    }

    private void merge(Member incoming) {
        if (incoming.host().equals(self.host())) {
            mergeSelf(incoming);
            return;
        }
        Entry entry = entries.get(incoming.host());
        if (entry == null) {
            if (!isTombstoneExpired(incoming)) {
                storeAndPublish(incoming);
            }
            return;
        }
        Member known = entry.member;
        Member merged = known.merge(downgradedToSuspicion(known, incoming));
        if (merged.hasUpdateFor(known)) {
            storeAndPublish(merged);
        } else if (!merged.equals(known)) {
            store(new Entry(merged, entry.suspectedAtMs));
            changedHosts.add(known.host());
        }
    }

    /**
     * Turns a reported failure of a member that is alive in this table into a suspicion. After a partition, both sides
     * have declared each other failed; merging that as it is would evict healthy members until they refute it.
     */
    private Member downgradedToSuspicion(Member known, Member incoming) {
        boolean notYetSuspected = incoming.state() == MemberState.FAILED
                && known.state() == MemberState.ALIVE
                && incoming.incarnation() >= known.incarnation()
                && isLocal(incoming);
        return notYetSuspected ? incoming.withState(MemberState.SUSPECT, clock.nowMs()) : incoming;
    }

    private void mergeSelf(Member incoming) {
        boolean refutes = self.state() != MemberState.LEFT && incoming.hasUpdateFor(self);
        if (refutes) {
            if (incoming.state() != MemberState.ALIVE) {
                counters.suspicionsRefuted.increment();
                selfSuspicions++;
            } else if (!incoming.peerAddress().equals(self.peerAddress()) && !warnedOfDuplicateHost) {
                warnedOfDuplicateHost = true;
                LOG.warn(
                        "[member] Another process at {} uses this node's host id {}",
                        incoming.peerAddress(),
                        self.host());
            }
            replaceSelf(self.withIncarnation(incoming.incarnation() + 1, clock.nowMs()));
        }
    }

    void declareState(HostId host, MemberState state) {
        Entry entry = entries.get(host);
        if (entry != null && state.overrides(entry.member.state())) {
            storeAndPublish(entry.member.withState(state, clock.nowMs()));
        }
    }

    /** Returns the number of suspicions about this node since the last call. */
    int takeSelfSuspicions() {
        int taken = selfSuspicions;
        selfSuspicions = 0;
        return taken;
    }

    private void replaceSelf(Member member) {
        self = member;
        storeAndPublish(member);
    }

    private void storeAndPublish(Member member) {
        HostId host = member.host();
        Entry old = entries.get(host);
        boolean stillSuspect = old != null
                && old.member.state() == MemberState.SUSPECT
                && old.member.incarnation() == member.incarnation();
        store(new Entry(member, stillSuspect ? old.suspectedAtMs : clock.monotonicMs()));
        updates.add(host);
        changedHosts.add(host);
        noteStateChange(old == null ? null : old.member, member);
        if (isLocal(member) && member.state() != MemberState.SUSPECT) {
            pendingForwards.add(host);
        }
    }

    private void store(Entry entry) {
        Entry old = entries.put(entry.member.host(), entry);
        digests = null;
        if (isLocal(entry.member) || old != null && isLocal(old.member)) {
            localPeers = null;
        }
    }

    private void noteStateChange(@Nullable Member old, Member member) {
        if (old != null && old.state() == member.state() && old.incarnation() == member.incarnation()) {
            return;
        }
        LOG.info("[member] {} in {} is {}", member.host(), member.dataCentre(), member.state());
        boolean becameReachable =
                member.state().isReachable() && (old == null || !old.state().isReachable());
        if (becameReachable && isLocal(member) && !member.host().equals(options.host())) {
            newlyReachable.add(member.host());
        }
    }

    /** Returns the local members that became reachable since the last call. */
    List<HostId> takeNewlyReachable() {
        List<HostId> taken = List.copyOf(newlyReachable);
        newlyReachable.clear();
        return taken;
    }

    void removeExpiredTombstones() {
        entries.values().removeIf(entry -> isTombstoneExpired(entry.member));
        digests = null;
    }

    private boolean isTombstoneExpired(Member member) {
        return hasBeenDeadFor(member, options.deadRetentionMs() + options.tombstoneRetentionMs());
    }

    private boolean hasBeenDeadFor(Member member, long durationMs) {
        return !member.state().isReachable() && clock.nowMs() - member.stateSinceMs() > durationMs;
    }

    boolean isLocal(Member member) {
        return member.dataCentre().equals(options.dataCentre());
    }

    double suspectedAtMs(HostId host) {
        Entry entry = entries.get(host);
        return entry == null ? Double.POSITIVE_INFINITY : entry.suspectedAtMs;
    }

    @Nullable
    Entry entry(HostId host) {
        return entries.get(host);
    }

    @Nullable
    Member member(HostId host) {
        Entry entry = entries.get(host);
        return entry == null ? null : entry.member;
    }

    Collection<Entry> entries() {
        return entries.values();
    }

    /** Returns the reachable members of this data centre except this node, ordered by host id. */
    List<Member> localPeers() {
        List<Member> peers = localPeers;
        if (peers == null) {
            peers = List.copyOf(peersIn(options.dataCentre()));
            localPeers = peers;
        }
        return peers;
    }

    /** Returns the reachable members of a data centre except this node, ordered by host id. */
    List<Member> peersIn(DataCentre dataCentre) {
        List<Member> peers = new ArrayList<>();
        for (Entry entry : entries.values()) {
            Member member = entry.member;
            if (member.state().isReachable()
                    && member.dataCentre().equals(dataCentre)
                    && !member.host().equals(self.host())) {
                peers.add(member);
            }
        }
        return peers;
    }

    List<Member> failedLocalPeers() {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> member.state() == MemberState.FAILED && isLocal(member))
                .filter(member -> !hasBeenDeadFor(member, options.deadRetentionMs()))
                .toList();
    }

    /** Returns whether this node is one of the {@code count} reachable local members with the lowest host ids. */
    boolean isAmongLowestHostIds(int count) {
        List<Member> peers = localPeers();
        return peers.size() < count
                || self.host().compareTo(peers.get(count - 1).host()) < 0;
    }

    /** Returns for each data centre the sum of the digests of its members. */
    SortedMap<DataCentre, Long> digests() {
        SortedMap<DataCentre, Long> sums = digests;
        if (sums == null) {
            sums = new TreeMap<>();
            for (Entry entry : entries.values()) {
                sums.merge(entry.member.dataCentre(), entry.digest, Long::sum);
            }
            digests = sums;
        }
        return sums;
    }

    List<ExchangeCodec.Version> versionsIn(DataCentre dataCentre) {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> member.dataCentre().equals(dataCentre))
                .map(ExchangeCodec.Version::of)
                .toList();
    }

    int updateCount() {
        return updates.size();
    }

    boolean hasUpdates() {
        return !updates.isEmpty();
    }

    /**
     * Takes encoded updates for one datagram, those with the fewest transmissions first, and counts the transmission.
     *
     * @param maxBytes total length of the updates at most
     * @param firstHost host whose member is put first, even without a pending update; or null
     */
    List<byte[]> takeUpdates(int maxBytes, @Nullable HostId firstHost) {
        List<byte[]> taken = new ArrayList<>();
        int remainingBytes = maxBytes;
        Entry preferred = firstHost == null ? null : entries.get(firstHost);
        if (preferred != null && preferred.encoded.length <= remainingBytes) {
            taken.add(preferred.encoded);
            remainingBytes -= preferred.encoded.length;
        }
        if (!updates.isEmpty()) {
            for (HostId host : updates.take(remainingBytes, transmissionLimit(), this::encodedLength)) {
                taken.add(entries.get(host).encoded);
            }
        }
        return taken;
    }

    private int encodedLength(HostId host) {
        Entry entry = entries.get(host);
        return entry == null ? -1 : entry.encoded.length;
    }

    private int transmissionLimit() {
        int memberCount = localPeers().size() + 1;
        return RETRANSMIT_FACTOR * (int) Math.ceil(Math.log10(memberCount + 1.0));
    }

    List<byte[]> takePendingForwards() {
        List<byte[]> records = new ArrayList<>();
        for (HostId host : pendingForwards) {
            Entry entry = entries.get(host);
            if (entry != null) {
                records.add(entry.encoded);
            }
        }
        pendingForwards.clear();
        return records;
    }

    boolean hasPendingForwards() {
        return !pendingForwards.isEmpty();
    }

    List<Member> takeChangedMembers() {
        List<Member> members = new ArrayList<>();
        for (HostId host : changedHosts) {
            Entry entry = entries.get(host);
            if (entry != null) {
                members.add(entry.member);
            }
        }
        changedHosts.clear();
        return members;
    }

    boolean hasChanges() {
        return !changedHosts.isEmpty();
    }

    MembershipView view() {
        List<Member> shown = entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> !hasBeenDeadFor(member, options.deadRetentionMs()))
                .toList();
        return MembershipView.of(shown, highestRevision);
    }

    <T> List<T> sample(List<T> from, int count) {
        List<T> pool = new ArrayList<>(from);
        int size = Math.min(count, pool.size());
        for (int i = 0; i < size; i++) {
            int other = i + random.nextInt(pool.size() - i);
            T swapped = pool.get(i);
            pool.set(i, pool.get(other));
            pool.set(other, swapped);
        }
        return pool.subList(0, size);
    }
}
