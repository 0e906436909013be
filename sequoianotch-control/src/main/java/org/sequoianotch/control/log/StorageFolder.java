package org.sequoianotch.control.log;

import java.util.Optional;

/**
 * The files of one control host, by name.
 *
 * <p>Every change is synced when the method returns. Every method throws {@link StorageException} if the operation
 * fails. Implementations are used by one thread at a time.
 */
public interface StorageFolder extends AutoCloseable {
    /**
     * Reads a file.
     *
     * @param name name of the file; not null
     * @return the content, or empty if the file does not exist
     */
    Optional<byte[]> read(String name);

    /**
     * Replaces a file atomically: writes and syncs a temporary file, renames it, and syncs the folder.
     *
     * @param name name of the file; not null
     * @param content the new content; not null
     */
    void replace(String name, byte[] content);

    /**
     * Writes to an existing file from an offset on, syncs it, and then writes a mark behind the content without a sync.
     * After a failure or a power loss the file may have any part of the content and of the mark.
     *
     * @param name name of the file; not null
     * @param offset position of the first byte written, at most the length of the file; the bytes after it are those of
     *     an earlier mark
     * @param content the bytes to write; not null
     * @param mark the bytes to write after the sync; not null
     */
    void append(String name, long offset, byte[] content, byte[] mark);

    /**
     * Truncates an existing file, syncs it, and then writes a mark at its end without a sync.
     *
     * @param name name of the file; not null
     * @param lengthBytes the new length in bytes, at most the current one
     * @param mark the bytes to write after the sync; not null
     */
    void truncate(String name, long lengthBytes, byte[] mark);

    /**
     * Removes a file, and syncs the folder. Does nothing if the file does not exist.
     *
     * @param name name of the file; not null
     */
    void remove(String name);

    /**
     * Returns the location of the folder, for log lines and error messages.
     *
     * @return the location, never null
     */
    String location();

    @Override
    void close();
}
