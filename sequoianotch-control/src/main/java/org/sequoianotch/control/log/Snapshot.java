package org.sequoianotch.control.log;

import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;

/**
 * State of the group as of a log entry. It replaces the log up to this entry.
 *
 * <p>The byte arrays are not copied; callers must not modify them.
 *
 * @param lastIndex index of the last entry included, or zero for the initial state
 * @param lastTerm term of the last entry included
 * @param members the encoded members as of this entry, or empty before the group is formed; not null
 * @param state the encoded state; not null
 */
public record Snapshot(long lastIndex, long lastTerm, byte[] members, byte[] state) {
    /** The snapshot before the first entry. */
    public static final Snapshot EMPTY = new Snapshot(0, 0, new byte[0], new byte[0]);

    /** Checks the components. */
    public Snapshot {
        Objects.requireNonNull(members, "members");
        Objects.requireNonNull(state, "state");
    }

    /**
     * Encodes the snapshot.
     *
     * @return the bytes, never null
     */
    public byte[] toBytes() {
        return new Encoder()
                .number(lastIndex)
                .number(lastTerm)
                .bytes(members)
                .bytes(state)
                .toBytes();
    }

    /**
     * Decodes a snapshot.
     *
     * @param bytes a result of {@link #toBytes}; not null
     * @return the snapshot, never null
     * @throws IllegalArgumentException if the bytes are malformed
     */
    public static Snapshot of(byte[] bytes) {
        Decoder decoder = new Decoder(bytes);
        return new Snapshot(decoder.number(), decoder.number(), decoder.bytes(), decoder.bytes());
    }
}
