package org.sequoianotch.control.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against log entries that are lost, altered or restored by mistake after a crash, a power loss or corruption of
 * a file, and against a vote under the identity of a lost folder.
 */
final class MemberStoreTest {
    private static final int ENTRIES = 6;

    private static LogEntry entry(long index, long term) {
        byte[] data = ("change " + index).repeat((int) index % 3).getBytes(StandardCharsets.UTF_8);
        return new LogEntry(index, term, EntryKind.CHANGE, data);
    }

    private static MemoryFolder filledFolder() {
        MemoryFolder folder = new MemoryFolder();
        MemberStore store = MemberStore.open(folder, "a.1");
        store.saveVote(3, "b.1");
        for (long index = 1; index <= ENTRIES; index++) {
            store.append(List.of(entry(index, 2)));
        }
        return folder;
    }

    @Test
    void reopenedStoreHasIdentityVoteAndEntries() {
        MemberStore store = MemberStore.open(filledFolder(), "a.2");

        assertThat(store.memberId()).isEqualTo("a.1");
        assertThat(store.term()).isEqualTo(3);
        assertThat(store.votedFor()).isEqualTo("b.1");
        assertThat(store.lastIndex()).isEqualTo(ENTRIES);
        assertThat(store.entry(4).data()).isEqualTo(entry(4, 2).data());
    }

    /** A crash may truncate the log anywhere: complete entries are kept, the incomplete one is dropped. */
    @Test
    void logTruncatedAtAnyByteKeepsTheCompleteEntries() {
        MemoryFolder original = filledFolder();
        byte[] log = original.file("log");
        RecordFrame.Scan scan = RecordFrame.scan("log", log);
        long headerBytes = scan.offsets().get(1);

        for (int length = (int) headerBytes; length < log.length; length++) {
            for (boolean zeros : new boolean[] {false, true}) {
                MemoryFolder folder = original.copy();
                byte[] truncated = Arrays.copyOf(log, length);
                folder.put("log", zeros ? Arrays.copyOf(truncated, log.length) : truncated);
                MemberStore store = MemberStore.open(folder, "a.2");

                int limit = length;
                long started = scan.offsets().stream()
                        .filter(offset -> offset <= limit)
                        .count();
                // The header and the entry that is cut do not count. What follows the last entry is the sync mark.
                long complete = started - (length < scan.completeBytes() ? 2 : 1);
                assertThat(store.lastIndex()).isEqualTo(complete);
                store.append(List.of(entry(complete + 1, 3)));
                assertThat(MemberStore.open(folder, "a.2").termAt(complete + 1)).isEqualTo(3);
            }
        }
    }

    /**
     * A corrupt byte is no truncation: dropping the entries from there on would revert accepted changes. The sync mark
     * behind the entries is not synced itself, so that a damaged one is accepted, but costs no entry.
     */
    @ParameterizedTest
    @ValueSource(ints = {0x01, 0x40, 0xFF})
    void corruptLogIsRejectedWithFileAndOffset(int mask) {
        MemoryFolder original = filledFolder();
        byte[] log = original.file("log");
        long entriesEnd = RecordFrame.scan("log", log).completeBytes();

        for (int position = 0; position < log.length; position++) {
            byte[] corrupt = log.clone();
            corrupt[position] ^= (byte) mask;
            MemoryFolder folder = original.copy();
            folder.put("log", corrupt);

            if (position >= entriesEnd) {
                assertThat(MemberStore.open(folder, "a.2").lastIndex()).isEqualTo(ENTRIES);
                continue;
            }
            StorageException thrown = assertThrows(StorageException.class, () -> MemberStore.open(folder, "a.2"));
            assertThat(thrown).hasMessageThat().containsMatch("memory/log is corrupt at offset \\d+");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"vote", "snapshot", "member"})
    void corruptFileIsRejected(String name) {
        MemoryFolder original = filledFolder();
        MemberStore.open(original, "").saveSnapshot(new Snapshot(4, 2, new byte[] {1}, new byte[] {2}));
        byte[] content = original.file(name);

        for (int position = 0; position < content.length; position++) {
            byte[] corrupt = content.clone();
            corrupt[position] ^= 0x10;
            MemoryFolder folder = original.copy();
            folder.put(name, corrupt);
            assertThrows(StorageException.class, () -> MemberStore.open(folder, "a.2"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"vote", "log", "member", "snapshot"})
    void folderWithAMissingFileIsRejected(String name) {
        MemoryFolder folder = filledFolder();
        MemberStore.open(folder, "").saveSnapshot(new Snapshot(4, 2, new byte[] {1}, new byte[] {2}));
        folder.delete(name);

        assertThrows(StorageException.class, () -> MemberStore.open(folder, "a.2"));
    }

    @Test
    void emptyFolderGetsTheNewIdentity() {
        assertThat(MemberStore.open(new MemoryFolder(), "a.2").memberId()).isEqualTo("a.2");
    }

    /**
     * After a power loss at any write the log has all entries reported as stored, and at most the one being written.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3, 0.9, 1})
    void powerLossAtAnyWriteLosesNoStoredEntry(double fraction) {
        for (int writes = 0; writes < 24; writes++) {
            MemoryFolder folder = new MemoryFolder();
            folder.losePower(writes, fraction);
            long stored = 0;
            long attempted = 0;
            try {
                MemberStore store = MemberStore.open(folder, "a.1");
                for (long index = 1; index <= 12; index++) {
                    attempted = index;
                    store.append(List.of(entry(index, 1)));
                    stored = index;
                    if (index % 5 == 0) {
                        store.saveSnapshot(new Snapshot(index - 1, 1, new byte[0], new byte[0]));
                    }
                }
            } catch (StorageException expected) {
                assertThat(expected).hasMessageThat().contains("cannot be synced");
            }
            folder.restorePower();
            MemberStore store = MemberStore.open(folder, "a.1");
            assertThat(store.lastIndex()).isAtLeast(stored);
            assertThat(store.lastIndex()).isAtMost(attempted);
        }
    }

    /**
     * A power loss keeps any part of the write that was not synced. A store that took such a log for a corrupt one was
     * discarded with all of its entries, which cost the control group a voter.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void powerLossThatTearsAWriteLosesNoStoredEntry(long seed) {
        Random random = new Random(seed);
        MemoryFolder folder = new MemoryFolder();
        MemberStore store = MemberStore.open(folder, "a.1");
        long stored = 0;
        for (int life = 0; life < 20; life++) {
            folder.losePower(random.nextInt(6), random);
            long attempted = stored;
            try {
                while (true) {
                    List<LogEntry> batch = batch(stored + 1, 1 + random.nextInt(4), random);
                    attempted = stored + batch.size();
                    store.append(batch);
                    stored = attempted;
                    if (random.nextInt(8) == 0) {
                        store.saveSnapshot(new Snapshot(stored, 1, new byte[0], new byte[0]));
                    }
                    if (random.nextInt(8) == 0) {
                        store.saveVote(store.term() + 1, "b.1");
                    }
                }
            } catch (StorageException expected) {
                assertThat(expected).hasMessageThat().contains("cannot be synced");
            }
            folder.restorePower();
            store = MemberStore.open(folder, "a.2");
            assertThat(store.memberId()).isEqualTo("a.1");
            assertThat(store.lastIndex()).isAtLeast(stored);
            assertThat(store.lastIndex()).isAtMost(attempted);
            stored = store.lastIndex();
        }
    }

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, 100);
    }

    private static List<LogEntry> batch(long firstIndex, int count, Random random) {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] data = new byte[random.nextInt(10) == 0 ? 80_000 : 200 + random.nextInt(12_000)];
            random.nextBytes(data);
            entries.add(new LogEntry(firstIndex + i, 1, EntryKind.CHANGE, data));
        }
        return entries;
    }

    @Test
    void snapshotReplacesTheLogBeforeIt() {
        MemoryFolder folder = filledFolder();
        MemberStore store = MemberStore.open(folder, "");
        store.saveSnapshot(new Snapshot(4, 2, new byte[] {1}, new byte[] {2}));

        MemberStore reopened = MemberStore.open(folder, "");
        assertThat(reopened.snapshot().lastIndex()).isEqualTo(4);
        assertThat(reopened.lastIndex()).isEqualTo(ENTRIES);
        assertThat(reopened.entry(5).data()).isEqualTo(entry(5, 2).data());
    }

    /** A crash between the rename of a snapshot and the compaction of the log must not restore outdated entries. */
    @ParameterizedTest
    @ValueSource(longs = {2, 5})
    void logOlderThanTheSnapshotIsDroppedUnlessItMatches(long snapshotTerm) {
        MemoryFolder folder = filledFolder();
        byte[] oldLog = folder.file("log");
        MemberStore.open(folder, "").saveSnapshot(new Snapshot(4, snapshotTerm, new byte[] {1}, new byte[] {2}));
        folder.put("log", oldLog);

        long expected = snapshotTerm == 2 ? ENTRIES : 4;
        assertThat(MemberStore.open(folder, "").lastIndex()).isEqualTo(expected);
    }

    @Test
    void truncatedEntriesDoNotComeBack() {
        MemoryFolder folder = filledFolder();
        MemberStore store = MemberStore.open(folder, "");
        store.truncateFrom(3);
        store.append(List.of(entry(3, 4)));

        MemberStore reopened = MemberStore.open(folder, "");
        assertThat(reopened.lastIndex()).isEqualTo(3);
        assertThat(reopened.termAt(3)).isEqualTo(4);
    }

    @Test
    void folderInUseIsRejected(@TempDir Path path) {
        try (DiskFolder first = DiskFolder.open(path.resolve("data"))) {
            StorageException thrown = assertThrows(StorageException.class, () -> DiskFolder.open(path.resolve("data")));
            assertThat(thrown).hasMessageThat().contains("in use by another process");
            assertThat(first.location()).endsWith("data");
        }
        DiskFolder.open(path.resolve("data")).close();
    }

    @Test
    void storeOnDiskIsRestored(@TempDir Path path) {
        try (MemberStore store = MemberStore.open(DiskFolder.open(path), "a.1")) {
            store.append(List.of(entry(1, 1), entry(2, 1), entry(3, 1)));
            store.truncateFrom(3);
            store.saveSnapshot(new Snapshot(1, 1, new byte[0], new byte[0]));
            store.append(List.of(entry(3, 2)));
        }
        try (MemberStore store = MemberStore.open(DiskFolder.open(path), "a.2")) {
            assertThat(store.memberId()).isEqualTo("a.1");
            assertThat(store.snapshot().lastIndex()).isEqualTo(1);
            assertThat(store.termAt(3)).isEqualTo(2);
        }
    }
}
