package org.sequoianotch.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;

/** Result of a change that was submitted to the control group. Both subtypes are immutable. */
public sealed interface ChangeResult {
    /**
     * The change is committed and will not be reverted.
     *
     * @param revision the revision after the change
     */
    record Accepted(long revision) implements ChangeResult {}

    /**
     * The change was refused and is not in force.
     *
     * @param error the reason; not null
     * @param currentRevision the revision at the time of the refusal
     * @param detail explanation for the operator; for a stale revision it names the change that replaced it; not null
     * @param lines for an invalid template all its problems; for a stale revision the line diff from the template in
     *     force to the submitted one; not null
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
     * Encodes this result.
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
     * @param bytes the output of {@link #toBytes}; not null
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
