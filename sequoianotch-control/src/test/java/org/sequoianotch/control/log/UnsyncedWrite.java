package org.sequoianotch.control.log;

import java.util.Arrays;
import java.util.Random;

/** What a disk keeps of a write that was not synced before a power loss. The other bytes are the previous ones. */
enum UnsyncedWrite {
    MISSING {
        @Override
        boolean keeps(int sector, int split, Random random) {
            return false;
        }
    },
    PRESENT {
        @Override
        boolean keeps(int sector, int split, Random random) {
            return true;
        }
    },
    START {
        @Override
        boolean keeps(int sector, int split, Random random) {
            return sector < split;
        }
    },
    END {
        @Override
        boolean keeps(int sector, int split, Random random) {
            return sector >= split;
        }
    },
    WITH_A_HOLE {
        @Override
        boolean keeps(int sector, int split, Random random) {
            return sector != split;
        }
    },
    SOME_SECTORS {
        @Override
        boolean keeps(int sector, int split, Random random) {
            return random.nextBoolean();
        }
    };

    /** A sector is smaller here than on a disk, so that small writes are torn, too. */
    private static final int SECTOR_BYTES = 16;

    abstract boolean keeps(int sector, int split, Random random);

    /**
     * Returns the content of a file after a power loss.
     *
     * @param previous the content before the write
     * @param offset position of the write, at most the length of the previous content
     * @param written the bytes written
     * @param random decides what is kept
     */
    byte[] contentAfterPowerLoss(byte[] previous, int offset, byte[] written, Random random) {
        int sectors = (written.length + SECTOR_BYTES - 1) / SECTOR_BYTES;
        int split = sectors == 0 ? 0 : random.nextInt(sectors);
        byte[] content = Arrays.copyOf(previous, Math.max(previous.length, offset + written.length));
        int keptEnd = previous.length;
        for (int sector = 0; sector < sectors; sector++) {
            int from = sector * SECTOR_BYTES;
            int length = Math.min(SECTOR_BYTES, written.length - from);
            if (keeps(sector, split, random)) {
                System.arraycopy(written, from, content, offset + from, length);
                keptEnd = Math.max(keptEnd, offset + from + length);
            }
        }
        // The length of the file may be written without the data, which then reads as zeros.
        return random.nextBoolean() ? content : Arrays.copyOf(content, keptEnd);
    }
}
