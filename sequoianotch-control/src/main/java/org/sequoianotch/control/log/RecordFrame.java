package org.sequoianotch.control.log;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import org.sequoianotch.control.codec.Encoder;

/**
 * Framing of records in files.
 *
 * <p>A record consists of the length of the payload (4 bytes), the CRC-32C of the length (4 bytes), the CRC-32C of the
 * payload (4 bytes), the payload, and an end mark that is not zero.
 *
 * <p>Each record is written and synced before the next one. A power loss can therefore damage the last record only, but
 * in any way: a write that was not synced may be kept in part, and not only its start. A sync mark, which is written
 * behind the last record after its sync and replaced by the next record, tells a last record that was synced from one
 * that was not. So a damaged record is incomplete if no intact record or sync mark follows it, and corrupt otherwise.
 */
final class RecordFrame {
    static final int HEADER_BYTES = 12;
    private static final byte END_MARK = 0x5A;
    private static final String SYNC_MARK = "synced";
    /** The MessagePack header of the text; the payload of any other record starts with a number. */
    private static final byte SYNC_MARK_START = (byte) (0xA0 | SYNC_MARK.length());

    /**
     * Payloads and offsets of the complete records in a file without the sync mark, and the size of these records in
     * bytes.
     */
    record Scan(List<byte[]> payloads, List<Long> offsets, long completeBytes) {}

    private RecordFrame() {}

    static byte[] frame(byte[] payload) {
        byte[] lengthBytes = ByteBuffer.allocate(4).putInt(payload.length).array();
        return ByteBuffer.allocate(HEADER_BYTES + payload.length + 1)
                .put(lengthBytes)
                .putInt(checksum(lengthBytes, 0, 4))
                .putInt(checksum(payload, 0, payload.length))
                .put(payload)
                .put(END_MARK)
                .array();
    }

    /** Reads a file that was replaced atomically and so must hold exactly one complete record. */
    static byte[] readSingle(String file, byte[] content) {
        Scan scan = scan(file, content);
        if (scan.payloads().size() != 1 || scan.completeBytes() != content.length) {
            throw StorageException.corrupt("the file " + file + " is corrupt at offset " + scan.completeBytes()
                    + ": expected exactly one complete record, found "
                    + scan.payloads().size() + " in "
                    + content.length + " bytes");
        }
        return scan.payloads().get(0);
    }

    /** Returns the mark that is written at the given offset once everything before it is synced. */
    static byte[] syncMark(long offset) {
        return frame(new Encoder().text(SYNC_MARK).number(offset).toBytes());
    }

    static boolean isSyncMark(byte[] content, int offset) {
        if (content.length - offset <= HEADER_BYTES || content[offset + HEADER_BYTES] != SYNC_MARK_START) {
            return false;
        }
        byte[] mark = syncMark(offset);
        int end = Math.min(content.length, offset + mark.length);
        return Arrays.equals(content, offset, end, mark, 0, mark.length);
    }

    static Scan scan(String file, byte[] content) {
        List<byte[]> payloads = new ArrayList<>();
        List<Long> offsets = new ArrayList<>();
        int offset = 0;
        while (offset < content.length) {
            int end = endOfRecord(content, offset);
            if (end < 0) {
                rejectIntactRecordAfter(file, content, offset);
                break;
            }
            if (isSyncMark(content, offset)) {
                break;
            }
            payloads.add(Arrays.copyOfRange(content, offset + HEADER_BYTES, end - 1));
            offsets.add((long) offset);
            offset = end;
        }
        return new Scan(payloads, offsets, offset);
    }

    private static void rejectIntactRecordAfter(String file, byte[] content, int damaged) {
        for (int offset = damaged + 1; offset < content.length; offset++) {
            if (endOfRecord(content, offset) >= 0) {
                throw StorageException.corrupt("the file " + file + " is corrupt at offset " + damaged
                        + ": the record there is damaged, but was synced before that at offset " + offset);
            }
        }
    }

    /** Returns the end of the intact record at the offset, or -1 if there is none. */
    private static int endOfRecord(byte[] content, int offset) {
        if (content.length - offset <= HEADER_BYTES) {
            return -1;
        }
        ByteBuffer buffer = ByteBuffer.wrap(content);
        int length = buffer.getInt(offset);
        long end = (long) offset + HEADER_BYTES + length + 1;
        boolean intact = length >= 0
                && end <= content.length
                && buffer.getInt(offset + 4) == checksum(content, offset, 4)
                && content[(int) end - 1] == END_MARK
                && buffer.getInt(offset + 8) == checksum(content, offset + HEADER_BYTES, length);
        return intact ? (int) end : -1;
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, offset, length);
        return (int) checksum.getValue();
    }
}
