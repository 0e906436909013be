package org.sequoianotch.control.log;

import java.util.Optional;
import org.sequoianotch.task.TaskThreads;

/**
 * Storage folder that runs each disk operation as a blocking call, so that it does not delay the other tasks of the
 * process.
 *
 * <p>This class is not thread-safe.
 */
public final class OffloadedFolder implements StorageFolder {
    private final StorageFolder folder;

    /**
     * Creates a folder.
     *
     * @param folder the folder to delegate to; not null
     */
    public OffloadedFolder(StorageFolder folder) {
        this.folder = folder;
    }

    @Override
    public Optional<byte[]> read(String name) {
        return TaskThreads.callBlocking(() -> folder.read(name));
    }

    @Override
    public void replace(String name, byte[] content) {
        run(() -> folder.replace(name, content));
    }

    @Override
    public void append(String name, long offset, byte[] content, byte[] mark) {
        run(() -> folder.append(name, offset, content, mark));
    }

    @Override
    public void truncate(String name, long lengthBytes, byte[] mark) {
        run(() -> folder.truncate(name, lengthBytes, mark));
    }

    @Override
    public void remove(String name) {
        run(() -> folder.remove(name));
    }

    @Override
    public String location() {
        return folder.location();
    }

    @Override
    public void close() {
        run(folder::close);
    }

    private static void run(Runnable operation) {
        TaskThreads.callBlocking(() -> {
            operation.run();
            return true;
        });
    }
}
