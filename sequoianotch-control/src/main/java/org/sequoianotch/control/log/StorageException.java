package org.sequoianotch.control.log;

/**
 * The data folder cannot be used: a file is corrupt, locked, or could not be written or synced.
 *
 * <p>A member that meets it stops answering, because after a failed sync the content of the disk is unknown.
 */
public final class StorageException extends RuntimeException {
    /**
     * Creates an exception.
     *
     * @param message what is wrong, with the file and the offset; not null
     */
    public StorageException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what is wrong, with the file; not null
     * @param cause the cause; not null
     */
    public StorageException(String message, Throwable cause) {
        super(message, cause);
    }
}
