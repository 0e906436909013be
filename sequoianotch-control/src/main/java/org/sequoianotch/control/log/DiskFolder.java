package org.sequoianotch.control.log;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.channels.ClosedByInterruptException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Storage folder on a local disk, locked against use by a second process.
 *
 * <p>This class is not thread-safe.
 */
public final class DiskFolder implements StorageFolder {
    private static final String LOCK_FILE = "lock";
    private static final String TEMPORARY_SUFFIX = ".new";

    private final Path folder;
    private final FileChannel lockChannel;
    /** Not channels: an interrupt of the writing thread would close a channel, and the member would withdraw. */
    private final Map<String, RandomAccessFile> openFiles = new HashMap<>();

    private DiskFolder(Path folder, FileChannel lockChannel) {
        this.folder = folder;
        this.lockChannel = lockChannel;
    }

    /**
     * Opens and locks a folder, and creates it if it does not exist.
     *
     * @param folder the folder; not null
     * @return the open folder, never null
     * @throws StorageException if the folder cannot be opened or another process uses it
     */
    public static DiskFolder open(Path folder) {
        try {
            Files.createDirectories(folder);
            FileChannel channel =
                    FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (!lock(channel)) {
                channel.close();
                throw new StorageException("the data folder " + folder + " is in use by another process");
            }
            return new DiskFolder(folder, channel);
        } catch (IOException e) {
            throw new StorageException("the data folder " + folder + " cannot be opened: " + e, e);
        }
    }

    private static boolean lock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    @Override
    public Optional<byte[]> read(String name) {
        Path file = folder.resolve(name);
        try {
            return Files.exists(file) ? Optional.of(Files.readAllBytes(file)) : Optional.empty();
        } catch (IOException e) {
            throw new StorageException("the file " + file + " cannot be read: " + e, e);
        }
    }

    @Override
    public void replace(String name, byte[] content) {
        Path file = folder.resolve(name);
        Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
        try {
            closeFile(name);
            try (RandomAccessFile written = new RandomAccessFile(temporary.toFile(), "rw")) {
                written.setLength(0);
                written.write(content);
                written.getFD().sync();
            }
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            syncFolder();
        } catch (IOException e) {
            throw new StorageException("the file " + file + " cannot be replaced: " + e, e);
        }
    }

    @Override
    public void append(String name, long offset, byte[] content, byte[] mark) {
        try {
            RandomAccessFile file = openFile(name);
            file.seek(offset);
            file.write(content);
            file.getFD().sync();
            file.write(mark);
        } catch (IOException e) {
            throw new StorageException("the file " + folder.resolve(name) + " cannot be appended to: " + e, e);
        }
    }

    @Override
    public void truncate(String name, long lengthBytes, byte[] mark) {
        try {
            RandomAccessFile file = openFile(name);
            file.setLength(lengthBytes);
            file.getFD().sync();
            file.seek(lengthBytes);
            file.write(mark);
        } catch (IOException e) {
            throw new StorageException("the file " + folder.resolve(name) + " cannot be truncated: " + e, e);
        }
    }

    @Override
    public void remove(String name) {
        try {
            closeFile(name);
            Files.deleteIfExists(folder.resolve(name));
            syncFolder();
        } catch (IOException e) {
            throw new StorageException("the file " + folder.resolve(name) + " cannot be removed: " + e, e);
        }
    }

    @Override
    public String location() {
        return folder.toString();
    }

    @Override
    public void close() {
        try {
            for (RandomAccessFile file : openFiles.values()) {
                file.close();
            }
            openFiles.clear();
            lockChannel.close();
        } catch (IOException e) {
            throw new StorageException("the data folder " + folder + " cannot be closed: " + e, e);
        }
    }

    private RandomAccessFile openFile(String name) throws IOException {
        RandomAccessFile open = openFiles.get(name);
        if (open == null) {
            open = new RandomAccessFile(folder.resolve(name).toFile(), "rw");
            openFiles.put(name, open);
        }
        return open;
    }

    private void closeFile(String name) throws IOException {
        RandomAccessFile open = openFiles.remove(name);
        if (open != null) {
            open.close();
        }
    }

    /**
     * Syncs the folder. Only a channel can do that, and an interrupt closes the channel, so the sync is repeated and
     * the interrupt status restored afterwards.
     */
    private void syncFolder() throws IOException {
        boolean interrupted = Thread.interrupted();
        try {
            while (!syncUnlessInterrupted()) {
                interrupted |= Thread.interrupted();
            }
        } finally {
            if (interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private boolean syncUnlessInterrupted() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
            return true;
        } catch (ClosedByInterruptException e) {
            return false;
        }
    }
}
