package org.sequoianotch.control.log;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a data folder that fails although the disk works, because an interrupt closes its file channels. */
final class DiskFolderTest {
    /**
     * Regression: an interrupt of a peer task that stored a vote closed the channel of the log; the member withdrew.
     */
    @Test
    void writesOfAnInterruptedThreadSucceed(@TempDir Path path) {
        try (DiskFolder folder = DiskFolder.open(path)) {
            folder.replace("log", new byte[] {1});
            Thread.currentThread().interrupt();
            folder.append("log", 1, new byte[] {2, 3}, new byte[] {9});
            folder.truncate("log", 2, new byte[] {9});
            assertThat(Thread.interrupted()).isTrue();
            folder.append("log", 2, new byte[] {4}, new byte[] {9});

            assertThat(folder.read("log").orElseThrow()).isEqualTo(new byte[] {1, 2, 4, 9});
        }
    }

    /** Replacing a file also syncs the folder, which is only possible through a channel. */
    @Test
    void replacementByAnInterruptedThreadSucceeds(@TempDir Path path) {
        try (DiskFolder folder = DiskFolder.open(path)) {
            Thread.currentThread().interrupt();
            folder.replace("vote", new byte[] {1});
            assertThat(Thread.interrupted()).isTrue();

            assertThat(folder.read("vote").orElseThrow()).isEqualTo(new byte[] {1});
        }
    }

    @Test
    void removeIsIdempotent(@TempDir Path path) {
        try (DiskFolder folder = DiskFolder.open(path)) {
            folder.replace("vote", new byte[] {1});
            folder.remove("vote");
            folder.remove("vote");

            assertThat(folder.read("vote")).isEmpty();
        }
    }
}
