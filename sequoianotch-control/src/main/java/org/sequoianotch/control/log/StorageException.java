package org.sequoianotch.control.log;

import org.jspecify.annotations.Nullable;

/**
 * Thrown if a data folder cannot be used: a file is corrupt or locked, or could not be read, written or synced.
 *
 * <p>The member withdraws from the group when this occurs, because the content of the disk is unknown after a failed
 * sync.
 */
public final class StorageException extends RuntimeException {
    private final boolean corruption;

    /**
     * Creates an exception.
     *
     * @param message what failed, with the file and the offset; not null
     */
    public StorageException(String message) {
        super(message);
        corruption = false;
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what failed, with the file; not null
     * @param cause the cause; not null
     */
    public StorageException(String message, Throwable cause) {
        super(message, cause);
        corruption = false;
    }

    private StorageException(String message, @Nullable Throwable cause, boolean corruption) {
        super(message, cause);
        this.corruption = corruption;
    }

    static StorageException corrupt(String message) {
        return new StorageException(message, null, true);
    }

    static StorageException corrupt(String message, Throwable cause) {
        return new StorageException(message, cause, true);
    }

    /**
     * Returns whether the content of the folder is corrupt or incomplete, so that a retry cannot succeed.
     *
     * @return true if the content is corrupt or incomplete; false if an operation failed or the folder is locked
     */
    public boolean isCorruption() {
        return corruption;
    }
}
