package org.sequoianotch.control.log;

import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;

/**
 * One entry of the replicated log.
 *
 * <p>The data is not copied; callers must not modify it.
 *
 * @param index position in the log, at least 1
 * @param term term of the leader that appended the entry; not negative
 * @param kind the kind; not null
 * @param data content of the entry, depending on the kind; not null
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] data) {
    /** Checks the components. */
    public LogEntry {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(data, "data");
        if (index < 1 || term < 0) {
            throw new IllegalArgumentException("index is " + index + " and term is " + term
                    + ", but index must be at least 1 and term not negative");
        }
    }

    /**
     * Encodes this entry.
     *
     * @param encoder the encoder to write to; not null
     */
    public void encode(Encoder encoder) {
        encoder.number(index).number(term).number(kind.ordinal()).bytes(data);
    }

    /**
     * Decodes an entry.
     *
     * @param decoder the decoder to read from; not null
     * @return the entry, never null
     * @throws IllegalArgumentException if the message is malformed
     */
    public static LogEntry decode(Decoder decoder) {
        return new LogEntry(decoder.number(), decoder.number(), EntryKind.of(decoder.number()), decoder.bytes());
    }
}
