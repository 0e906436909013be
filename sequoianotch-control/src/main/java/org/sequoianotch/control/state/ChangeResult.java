package org.sequoianotch.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;

/** Answer of the control group to a change. Both forms are immutable. */
public sealed interface ChangeResult {
    /**
     * The change is committed and will not be undone.
     *
     * @param revision the revision that it made
     */
    record Accepted(long revision) implements ChangeResult {}

    /**
     * The change is not in force.
     *
     * @param error the reason; not null
     * @param currentRevision the revision at the time of the refusal
     * @param detail plain sentences, for a stale revision with who won; not null
     * @param lines every problem of an invalid template, or the line diff from the template in force to the submitted
     *     one; not null
     */
    record Refused(ControlError error, long currentRevision, String detail, List<String> lines)
            implements ChangeResult {
        /** Checks the components and copies the lines. */
        public Refused {
            Objects.requireNonNull(error, "error");
            Objects.requireNonNull(detail, "detail");
            lines = List.copyOf(lines);
        }
    }

    /**
     * Encodes the result.
     *
     * @return the bytes, never null
     */
    default byte[] toBytes() {
        Encoder encoder = new Encoder();
        switch (this) {
            case Accepted accepted -> encoder.flag(true).number(accepted.revision());
            case Refused refused -> {
                encoder.flag(false)
                        .text(refused.error().code())
                        .number(refused.currentRevision())
                        .text(refused.detail())
                        .number(refused.lines().size());
                refused.lines().forEach(encoder::text);
            }
        }
        return encoder.toBytes();
    }

    /**
     * Decodes a result.
     *
     * @param bytes what {@link #toBytes} returned; not null
     * @return the result, never null
     * @throws IllegalArgumentException if the bytes are malformed
     */
    static ChangeResult of(byte[] bytes) {
        Decoder decoder = new Decoder(bytes);
        if (decoder.flag()) {
            return new Accepted(decoder.number());
        }
        ControlError error = ControlError.ofCode(decoder.text());
        long revision = decoder.number();
        String detail = decoder.text();
        int count = decoder.count();
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            lines.add(decoder.text());
        }
        return new Refused(error, revision, detail, lines);
    }
}
