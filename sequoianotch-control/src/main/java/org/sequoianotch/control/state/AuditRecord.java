package org.sequoianotch.control.state;

import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.model.OrganisationName;

/**
 * Audit record of an accepted change.
 *
 * <p>This type is immutable.
 *
 * @param changeId id of the change; not null
 * @param operator the operator who made the change; not null
 * @param atMs when the leader proposed the change, in milliseconds since the Unix epoch
 * @param fromRevision the revision before the change
 * @param toRevision the revision after the change
 * @param organisation the organisation whose template was changed; not null
 * @param textDigest SHA-256 of the template text in hexadecimal; not null
 * @param text the template text, or empty once the text of this record is no longer retained; not null
 */
public record AuditRecord(
        String changeId,
        String operator,
        long atMs,
        long fromRevision,
        long toRevision,
        OrganisationName organisation,
        String textDigest,
        String text) {
    /** Checks the components. */
    public AuditRecord {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(textDigest, "textDigest");
        Objects.requireNonNull(text, "text");
    }

    AuditRecord withoutText() {
        return new AuditRecord(changeId, operator, atMs, fromRevision, toRevision, organisation, textDigest, "");
    }

    /**
     * Encodes this record.
     *
     * @param encoder the encoder to write to; not null
     */
    public void encode(Encoder encoder) {
        encoder.text(changeId)
                .text(operator)
                .number(atMs)
                .number(fromRevision)
                .number(toRevision)
                .text(organisation.name())
                .text(textDigest)
                .compressedText(text);
    }

    /**
     * Decodes a record.
     *
     * @param decoder the decoder to read from; not null
     * @return the record, never null
     * @throws IllegalArgumentException if the message is malformed
     */
    public static AuditRecord decode(Decoder decoder) {
        return new AuditRecord(
                decoder.text(),
                decoder.text(),
                decoder.number(),
                decoder.number(),
                decoder.number(),
                OrganisationName.of(decoder.text()),
                decoder.text(),
                decoder.compressedText());
    }
}
