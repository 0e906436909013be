package org.sequoianotch.daemon.ledger;

import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * Append-only file of records with group commit.
 *
 * <p>The file starts with 8 bytes that identify its format. Each frame consists of three 4-byte numbers (length of the
 * payload, CRC-32C of the length, CRC-32C of the payload) and the payload. The length has its own checksum, so that a
 * corrupt length is not mistaken for an incomplete last frame. An incomplete last frame was never synced, so no reply
 * depends on it, and it is truncated when the file is opened. The class uses {@link RandomAccessFile}, because an
 * interrupt closes a {@link FileChannel}.
 *
 * <p>This class is thread-safe.
 */
final class ClaimFile implements AutoCloseable {
    static final String NAME = "claims.log";
    static final byte[] FORMAT = "SNLEDG01".getBytes(StandardCharsets.US_ASCII);
    static final int FRAME_HEADER_BYTES = 12;
    private static final int MAX_PAYLOAD_BYTES = 1 << 20;

    private final Path folder;
    private final FileChannel lockChannel;
    private final LedgerCounters counters;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition syncEnded = lock.newCondition();
    private RandomAccessFile file;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private long appended;
    private long synced;
    private boolean syncing;
    private @Nullable IOException failure;

    /** Receives the records of the file when it is opened. */
    interface Replay {
        void accept(byte[] payload) throws IOException;
    }

    private ClaimFile(Path folder, FileChannel lockChannel, RandomAccessFile file, LedgerCounters counters) {
        this.folder = folder;
        this.lockChannel = lockChannel;
        this.file = file;
        this.counters = counters;
    }

    /**
     * Opens the claim file in a folder, creates both if needed, and replays the records.
     *
     * @throws IOException if the file cannot be used, is in use by another process, or is corrupt
     */
    static ClaimFile open(Path folder, LedgerCounters counters, Replay replay) throws IOException {
        Files.createDirectories(folder);
        FileChannel lockChannel =
                FileChannel.open(folder.resolve("claims.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        RandomAccessFile file = null;
        try {
            lockFolder(folder, lockChannel);
            file = new RandomAccessFile(folder.resolve(NAME).toFile(), "rw");
            long endBytes = replay(folder.resolve(NAME), file, replay);
            file.setLength(endBytes);
            file.seek(endBytes);
            if (endBytes == 0) {
                file.write(FORMAT);
            }
            file.getFD().sync();
            syncFolder(folder);
            counters.bytesOnDisk().set(file.getFilePointer());
            return new ClaimFile(folder, lockChannel, file, counters);
        } catch (IOException | RuntimeException e) {
            if (file != null) {
                file.close();
            }
            lockChannel.close();
            throw e;
        }
    }

    /** Adds a record to the next sync and returns its number, to be passed to {@link #awaitSynced}. */
    long append(byte[] payload) {
        lock.lock();
        try {
            pending.writeBytes(frame(payload));
            return ++appended;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of the last record appended, or 0. */
    long lastAppended() {
        lock.lock();
        try {
            return appended;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until the record is on disk. The first waiting thread writes and syncs all records appended so far.
     *
     * @throws IOException if the file cannot be written; it stays unusable then, because what is on disk is unknown
     */
    void awaitSynced(long recordNumber) throws IOException {
        lock.lock();
        try {
            while (synced < recordNumber) {
                checkUsable();
                if (syncing) {
                    syncEnded.awaitUninterruptibly();
                } else {
                    syncPending();
                }
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Replaces the records of the file by the given ones, which must cover every record appended so far.
     *
     * @throws IOException if the new file cannot be written; the file stays unusable then
     */
    void rewrite(Iterable<byte[]> payloads) throws IOException {
        lock.lock();
        try {
            while (syncing) {
                syncEnded.awaitUninterruptibly();
            }
            checkUsable();
            try {
                replaceFile(payloads);
            } catch (IOException e) {
                failure = e;
                throw e;
            }
            pending = new ByteArrayOutputStream();
            synced = appended;
            counters.bytesOnDisk().set(file.length());
        } finally {
            lock.unlock();
        }
    }

    /** Closes the file. Records that were not synced are lost. */
    @Override
    public void close() throws IOException {
        lock.lock();
        try {
            while (syncing) {
                syncEnded.awaitUninterruptibly();
            }
            if (failure == null) {
                failure = new IOException("The claim file is closed");
            }
            file.close();
            lockChannel.close();
        } finally {
            lock.unlock();
        }
    }

    private void checkUsable() throws IOException {
        if (failure != null) {
            throw new IOException("The claim file cannot be used: " + failure.getMessage(), failure);
        }
    }

    private void syncPending() {
        byte[] bytes = pending.toByteArray();
        long target = appended;
        pending = new ByteArrayOutputStream();
        syncing = true;
        IOException problem = null;
        lock.unlock();
        try {
            file.write(bytes);
            file.getFD().sync();
        } catch (IOException e) {
            problem = e;
        } finally {
            lock.lock();
            syncing = false;
            syncEnded.signalAll();
        }
        if (problem == null) {
            synced = target;
            counters.syncs().increment();
            counters.bytesOnDisk().addAndGet(bytes.length);
        } else {
            failure = problem;
        }
    }

    private void replaceFile(Iterable<byte[]> payloads) throws IOException {
        Path temporary = folder.resolve(NAME + ".new");
        RandomAccessFile next = new RandomAccessFile(temporary.toFile(), "rw");
        try {
            next.setLength(0);
            OutputStream out = new BufferedOutputStream(new FileOutput(next));
            out.write(FORMAT);
            for (byte[] payload : payloads) {
                out.write(frame(payload));
            }
            out.flush();
            next.getFD().sync();
            Files.move(
                    temporary,
                    folder.resolve(NAME),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            syncFolder(folder);
        } catch (IOException e) {
            next.close();
            throw e;
        }
        file.close();
        file = next;
    }

    private static byte[] frame(byte[] payload) {
        ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.length);
        frame.putInt(payload.length);
        frame.putInt(lengthChecksum(payload.length));
        frame.putInt(checksum(payload));
        return frame.put(payload).array();
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    private static int lengthChecksum(int length) {
        return checksum(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
    }

    private static void lockFolder(Path folder, FileChannel channel) throws IOException {
        FileLock folderLock;
        try {
            folderLock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            throw new IOException("The ledger folder " + folder + " is in use by this process", e);
        }
        if (folderLock == null) {
            throw new IOException("The ledger folder " + folder + " is in use by another process");
        }
    }

    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Replays the complete frames and returns the offset of their end. */
    private static long replay(Path path, RandomAccessFile file, Replay replay) throws IOException {
        long size = file.length();
        if (size < FORMAT.length) {
            return 0;
        }
        byte[] format = new byte[FORMAT.length];
        file.readFully(format);
        if (!Arrays.equals(format, FORMAT)) {
            throw new IOException(path + " is not a claim file of format SNLEDG01");
        }
        long offset = FORMAT.length;
        byte[] header = new byte[FRAME_HEADER_BYTES];
        while (size - offset >= FRAME_HEADER_BYTES) {
            file.seek(offset);
            file.readFully(header);
            ByteBuffer numbers = ByteBuffer.wrap(header);
            int length = numbers.getInt();
            if (numbers.getInt() != lengthChecksum(length) || length < 1 || length > MAX_PAYLOAD_BYTES) {
                throw corruptRecord(path, offset, "its length is invalid");
            }
            if (size - offset - FRAME_HEADER_BYTES < length) {
                return offset;
            }
            byte[] payload = new byte[length];
            file.readFully(payload);
            if (numbers.getInt() != checksum(payload)) {
                throw corruptRecord(path, offset, "its checksum does not match");
            }
            replay.accept(payload);
            offset += FRAME_HEADER_BYTES + length;
        }
        return offset;
    }

    private static IOException corruptRecord(Path path, long offset, String reason) {
        return new IOException(path + " is corrupt: the record at byte " + offset + " cannot be read, because " + reason
                + ". Move the file away; the host then copies the claims of the other ledger hosts.");
    }

    /** Adapts a {@link RandomAccessFile} to an {@link OutputStream}. */
    private static final class FileOutput extends OutputStream {
        private final RandomAccessFile target;

        FileOutput(RandomAccessFile target) {
            this.target = target;
        }

        @Override
        public void write(int value) throws IOException {
            target.write(value);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            target.write(bytes, offset, length);
        }
    }
}
