package org.sequoianotch.control.log;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;

/**
 * Durable Raft state of one control host: its identity, term, vote, log and newest snapshot.
 *
 * <p>Every change is on disk when the method returns. Every method that writes throws {@link StorageException} if the
 * change is not known to be on disk. The log after the snapshot is also held in memory.
 *
 * <p>This class is not thread-safe.
 */
public final class MemberStore implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(MemberStore.class);
    private static final String MEMBER_FILE = "member";
    private static final String VOTE_FILE = "vote";
    private static final String LOG_FILE = "log";
    private static final String SNAPSHOT_FILE = "snapshot";
    private static final long MAY_FORM_GROUP = 1;

    private final StorageFolder folder;
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<Long> offsets = new ArrayList<>();
    private String memberId = "";
    private boolean mayFormGroup;
    private long logBytes;
    private long term;
    private String votedFor = "";
    private Snapshot snapshot = Snapshot.EMPTY;

    private MemberStore(StorageFolder folder) {
        this.folder = folder;
    }

    /**
     * Opens the store, or creates it with a new identity that may not form a group if the folder is empty.
     *
     * @param folder the folder; not null
     * @param newMemberId identity to use if the folder is empty; not null
     * @return the open store, never null
     * @throws StorageException if a file is corrupt or missing
     */
    public static MemberStore open(StorageFolder folder, String newMemberId) {
        return open(folder, newMemberId, false);
    }

    /**
     * Opens the store, or creates it with a new identity if the folder is empty.
     *
     * @param folder the folder; not null
     * @param newMemberId identity to use if the folder is empty; not null
     * @param newMayFormGroup whether a new identity may form a group, because there has been none yet
     * @return the open store, never null
     * @throws StorageException if a file is corrupt or missing
     */
    public static MemberStore open(StorageFolder folder, String newMemberId, boolean newMayFormGroup) {
        MemberStore store = new MemberStore(folder);
        store.readSnapshot();
        store.readVote();
        store.readLog();
        store.readIdentity(newMemberId, newMayFormGroup);
        return store;
    }

    /**
     * Removes the files of a corrupt store, so that the host can join as a new member.
     *
     * @param folder the folder; not null
     */
    public static void discard(StorageFolder folder) {
        // The identity is removed first: without it, the remaining files are not accepted as those of a member.
        List.of(MEMBER_FILE, VOTE_FILE, LOG_FILE, SNAPSHOT_FILE).forEach(folder::remove);
    }

    private void readSnapshot() {
        Optional<byte[]> content = folder.read(SNAPSHOT_FILE);
        if (content.isPresent()) {
            byte[] payload = RecordFrame.readSingle(path(SNAPSHOT_FILE), content.get());
            snapshot = decode(SNAPSHOT_FILE, 0, () -> Snapshot.of(payload));
        }
    }

    private void readVote() {
        Optional<byte[]> content = folder.read(VOTE_FILE);
        if (content.isPresent()) {
            Decoder decoder = new Decoder(RecordFrame.readSingle(path(VOTE_FILE), content.get()));
            term = decode(VOTE_FILE, 0, decoder::number);
            votedFor = decode(VOTE_FILE, 0, decoder::text);
        }
    }

    private void readLog() {
        byte[] content = folder.read(LOG_FILE).orElse(new byte[0]);
        RecordFrame.Scan scan = RecordFrame.scan(path(LOG_FILE), content);
        long unsyncedBytes = content.length - scan.completeBytes();
        if (unsyncedBytes > 0 && !RecordFrame.isSyncMark(content, (int) scan.completeBytes())) {
            LOGGER.warn(
                    "[control] The file {} ends with {} bytes at offset {} that were not synced; removing them.",
                    path(LOG_FILE),
                    unsyncedBytes,
                    scan.completeBytes());
        }
        if (content.length > 0) {
            // Records of a process that was killed before its sync are readable but not durable; truncate also syncs.
            folder.truncate(LOG_FILE, scan.completeBytes(), RecordFrame.syncMark(scan.completeBytes()));
        }
        logBytes = scan.completeBytes();
        if (content.length == 0) {
            return;
        }
        long baseIndex = readBaseIndex(scan);
        long expectedIndex = baseIndex + 1;
        for (int i = 1; i < scan.payloads().size(); i++) {
            long offset = scan.offsets().get(i);
            byte[] payload = scan.payloads().get(i);
            for (LogEntry entry : decode(LOG_FILE, offset, () -> entries(payload))) {
                if (entry.index() != expectedIndex) {
                    throw StorageException.corrupt("the file " + path(LOG_FILE) + " is corrupt at offset " + offset
                            + ": found entry " + entry.index() + ", expected entry " + expectedIndex);
                }
                expectedIndex = entry.index() + 1;
                entries.add(entry);
                offsets.add(offset);
            }
        }
        dropEntriesInSnapshot(baseIndex);
    }

    private static List<LogEntry> entries(byte[] payload) {
        Decoder decoder = new Decoder(payload);
        List<LogEntry> decoded = new ArrayList<>();
        while (decoder.hasNext()) {
            decoded.add(LogEntry.decode(decoder));
        }
        return decoded;
    }

    /** Returns the index of the entry before the first one in the log; the snapshot must include that entry. */
    private long readBaseIndex(RecordFrame.Scan scan) {
        if (scan.payloads().isEmpty()) {
            throw StorageException.corrupt(
                    "the file " + path(LOG_FILE) + " is corrupt at offset 0: the header record is incomplete");
        }
        long baseIndex = decode(LOG_FILE, 0, () -> new Decoder(scan.payloads().get(0)).number());
        if (baseIndex > snapshot.lastIndex()) {
            throw StorageException.corrupt("the file " + path(LOG_FILE) + " starts after entry " + baseIndex
                    + ", but the snapshot ends with entry " + snapshot.lastIndex());
        }
        return baseIndex;
    }

    private void dropEntriesInSnapshot(long baseIndex) {
        long covered = snapshot.lastIndex() - baseIndex;
        if (covered == 0) {
            return;
        }
        // The process stopped after the snapshot was renamed into place and before the log was compacted.
        if (covered <= entries.size() && entries.get((int) covered - 1).term() == snapshot.lastTerm()) {
            entries.subList(0, (int) covered).clear();
        } else {
            entries.clear();
        }
        rewriteLog();
    }

    private void readIdentity(String newMemberId, boolean newMayFormGroup) {
        Optional<byte[]> content = folder.read(MEMBER_FILE);
        if (content.isPresent()) {
            Decoder decoder = new Decoder(RecordFrame.readSingle(path(MEMBER_FILE), content.get()));
            memberId = decode(MEMBER_FILE, 0, decoder::text);
            // Earlier versions stored no permission.
            mayFormGroup = decoder.hasNext() && decode(MEMBER_FILE, 0, decoder::number) == MAY_FORM_GROUP;
            for (String name : List.of(VOTE_FILE, LOG_FILE)) {
                if (folder.read(name).isEmpty()) {
                    throw StorageException.corrupt(
                            "the file " + path(name) + " is missing, but the folder has the identity of member "
                                    + memberId + "; empty the folder to join as a new member");
                }
            }
            // Renames by a process that was killed are visible but not durable; storing the vote syncs the folder.
            saveVote(term, votedFor);
            return;
        }
        if (term > 0 || lastIndex() > 0) {
            throw StorageException.corrupt("the file " + path(MEMBER_FILE)
                    + " is missing, but the folder has a vote or a log; empty the folder to join as a new member");
        }
        // The identity is written last, so that a folder with an identity is complete.
        saveVote(0, "");
        rewriteLog();
        Encoder identity = new Encoder().text(newMemberId).number(newMayFormGroup ? MAY_FORM_GROUP : 0);
        folder.replace(MEMBER_FILE, RecordFrame.frame(identity.toBytes()));
        memberId = newMemberId;
        mayFormGroup = newMayFormGroup;
    }

    /**
     * Returns the identity of this member. It belongs to the folder, not to the host.
     *
     * @return the identity, never null
     */
    public String memberId() {
        return memberId;
    }

    /**
     * Returns whether this identity was created with the permission to form a group. It outlives a restart, unlike the
     * setting, but not the loss of the folder.
     *
     * @return true if the folder was created when there had been no group yet
     */
    public boolean mayFormGroup() {
        return mayFormGroup;
    }

    /**
     * Returns the current term.
     *
     * @return the term
     */
    public long term() {
        return term;
    }

    /**
     * Returns the candidate that this member voted for in the current term.
     *
     * @return identity of the candidate, or empty if there is none; never null
     */
    public String votedFor() {
        return votedFor;
    }

    /**
     * Stores the current term and vote.
     *
     * @param newTerm the current term
     * @param newVote identity of the candidate voted for, or empty for none; not null
     */
    public void saveVote(long newTerm, String newVote) {
        folder.replace(
                VOTE_FILE,
                RecordFrame.frame(new Encoder().number(newTerm).text(newVote).toBytes()));
        term = newTerm;
        votedFor = newVote;
    }

    /**
     * Returns the newest snapshot.
     *
     * @return the snapshot, never null
     */
    public Snapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the index of the last entry.
     *
     * @return the index, or zero if there is no entry
     */
    public long lastIndex() {
        return snapshot.lastIndex() + entries.size();
    }

    /**
     * Returns the term of an entry in the log, or of the last entry in the snapshot.
     *
     * @param index the index, from the snapshot's last index to {@link #lastIndex}
     * @return the term
     */
    public long termAt(long index) {
        return index == snapshot.lastIndex()
                ? snapshot.lastTerm()
                : entry(index).term();
    }

    /**
     * Returns an entry after the snapshot.
     *
     * @param index the index, after the snapshot's last index and up to {@link #lastIndex}
     * @return the entry, never null
     */
    public LogEntry entry(long index) {
        return entries.get((int) (index - snapshot.lastIndex() - 1));
    }

    /**
     * Appends entries as one record, with a single sync.
     *
     * @param added entries with consecutive indexes that start after {@link #lastIndex}; not null
     */
    public void append(List<LogEntry> added) {
        if (added.isEmpty()) {
            return;
        }
        long expectedIndex = lastIndex() + 1;
        for (LogEntry entry : added) {
            if (entry.index() != expectedIndex) {
                throw new IllegalArgumentException(
                        "entry " + entry.index() + " cannot be appended: expected entry " + expectedIndex);
            }
            expectedIndex++;
        }
        byte[] bytes = frame(added);
        long endOffset = logBytes + bytes.length;
        folder.append(LOG_FILE, logBytes, bytes, RecordFrame.syncMark(endOffset));
        entries.addAll(added);
        offsets.addAll(Collections.nCopies(added.size(), logBytes));
        logBytes = endOffset;
    }

    /**
     * Removes an entry and all entries after it.
     *
     * @param index index of the first entry to remove, after the snapshot's last index
     */
    public void truncateFrom(long index) {
        int position = (int) (index - snapshot.lastIndex() - 1);
        long offset = offsets.get(position);
        boolean startsRecord = position == 0 || offsets.get(position - 1) < offset;
        if (startsRecord) {
            folder.truncate(LOG_FILE, offset, RecordFrame.syncMark(offset));
            logBytes = offset;
        }
        entries.subList(position, entries.size()).clear();
        offsets.subList(position, offsets.size()).clear();
        if (!startsRecord) {
            // The entries before it in the same record may have been acknowledged, so the file is replaced as a whole.
            rewriteLog();
        }
    }

    /**
     * Stores a snapshot and removes the entries that it includes from the log. Later entries are kept only if the log
     * has the snapshot's last entry with the same term.
     *
     * @param newSnapshot a snapshot with a higher last index than the current one; not null
     */
    public void saveSnapshot(Snapshot newSnapshot) {
        long index = newSnapshot.lastIndex();
        boolean follows = index <= lastIndex() && termAt(index) == newSnapshot.lastTerm();
        folder.replace(SNAPSHOT_FILE, RecordFrame.frame(newSnapshot.toBytes()));
        if (follows) {
            entries.subList(0, (int) (index - snapshot.lastIndex())).clear();
        } else {
            entries.clear();
        }
        snapshot = newSnapshot;
        rewriteLog();
    }

    private void rewriteLog() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(
                RecordFrame.frame(new Encoder().number(snapshot.lastIndex()).toBytes()));
        offsets.clear();
        for (LogEntry entry : entries) {
            offsets.add((long) bytes.size());
            bytes.writeBytes(frame(List.of(entry)));
        }
        logBytes = bytes.size();
        bytes.writeBytes(RecordFrame.syncMark(logBytes));
        folder.replace(LOG_FILE, bytes.toByteArray());
    }

    private static byte[] frame(List<LogEntry> record) {
        Encoder encoder = new Encoder();
        record.forEach(entry -> entry.encode(encoder));
        return RecordFrame.frame(encoder.toBytes());
    }

    private interface PayloadParser<T> {
        T parse();
    }

    private <T> T decode(String name, long offset, PayloadParser<T> parser) {
        try {
            return parser.parse();
        } catch (IllegalArgumentException e) {
            throw StorageException.corrupt(
                    "the file " + path(name) + " is corrupt at offset " + offset + ": " + e.getMessage(), e);
        }
    }

    private String path(String name) {
        return folder.location() + "/" + name;
    }

    @Override
    public void close() {
        folder.close();
    }
}
