package org.sequoianotch.control.log;

import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;

/**
 * One entry of the replicated log.
 *
 * <p>The bytes are not copied; callers must not change them.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that wrote it
 * @param kind the kind; not null
 * @param data content by kind; not null
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] data) {
    /** Checks the components. */
    public LogEntry {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(data, "data");
        if (index < 1 || term < 0) {
            throw new IllegalArgumentException("index " + index + " and term " + term + " are not those of an entry");
        }
    }

    /**
     * Writes the entry.
     *
     * @param encoder where to write; not null
     */
    public void encode(Encoder encoder) {
        encoder.number(index).number(term).number(kind.ordinal()).bytes(data);
    }

    /**
     * Reads an entry.
     *
     * @param decoder where to read; not null
     * @return the entry, never null
     * @throws IllegalArgumentException if the message is malformed
     */
    public static LogEntry decode(Decoder decoder) {
        return new LogEntry(decoder.number(), decoder.number(), EntryKind.of(decoder.number()), decoder.bytes());
    }
}
