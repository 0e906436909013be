package org.sequoianotch.control.log;

import java.util.Optional;

/**
 * The files of one control host, by name. Every change is synced when the method returns.
 *
 * <p>Implementations are used by one thread at a time. Every method throws {@link StorageException} if the folder
 * cannot do what is asked.
 */
public interface StorageFolder extends AutoCloseable {
    /**
     * Reads a file.
     *
     * @param name the file; not null
     * @return its content, or empty if it does not exist
     */
    Optional<byte[]> read(String name);

    /**
     * Replaces a file as a whole: written beside, synced, renamed, and the folder synced.
     *
     * @param name the file; not null
     * @param content the new content; not null
     */
    void replace(String name, byte[] content);

    /**
     * Appends to a file that exists, and syncs it.
     *
     * @param name the file; not null
     * @param content the bytes to append; not null
     */
    void append(String name, byte[] content);

    /**
     * Cuts a file that exists to a length, and syncs it.
     *
     * @param name the file; not null
     * @param lengthBytes the new length, at most the present one
     */
    void truncate(String name, long lengthBytes);

    /**
     * Removes a file, and makes that durable; a file that is not there is no error.
     *
     * @param name the name; not null
     */
    void remove(String name);

    /**
     * Returns where the folder is, for messages.
     *
     * @return the location, never null
     */
    String location();

    @Override
    void close();
}
