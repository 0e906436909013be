package org.sequoianotch.control.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.model.OrganisationName;

/**
 * A request to replace one organisation's template.
 *
 * <p>A resend after a lost response uses the same change id and the same content. This type is immutable.
 *
 * @param changeId id of the change, 1 to 128 characters; not null
 * @param operator the operator who makes the change, 1 to 128 characters; not null
 * @param organisation the organisation; not null
 * @param templateText the complete template as INI text; not null
 * @param expectedRevision the revision that the change is based on; not negative
 * @param newRevision the revision after the change; above {@code expectedRevision}
 */
public record ChangeRequest(
        String changeId,
        String operator,
        OrganisationName organisation,
        String templateText,
        long expectedRevision,
        long newRevision) {
    private static final int MAX_NAME_LENGTH = 128;

    /** Checks the components. */
    public ChangeRequest {
        checkName("changeId", changeId);
        checkName("operator", operator);
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(templateText, "templateText");
        if (expectedRevision < 0) {
            throw new IllegalArgumentException(
                    "expectedRevision is " + expectedRevision + ", but must not be negative");
        }
        if (newRevision <= expectedRevision) {
            throw new IllegalArgumentException(
                    "newRevision is " + newRevision + ", but must be above the expected revision " + expectedRevision);
        }
    }

    /**
     * Creates a request that increments the revision by one.
     *
     * @param changeId id of the change, 1 to 128 characters; not null
     * @param operator the operator who makes the change, 1 to 128 characters; not null
     * @param organisation the organisation; not null
     * @param templateText the complete template as INI text; not null
     * @param expectedRevision the revision that the change is based on; not negative
     */
    public ChangeRequest(
            String changeId,
            String operator,
            OrganisationName organisation,
            String templateText,
            long expectedRevision) {
        this(changeId, operator, organisation, templateText, expectedRevision, expectedRevision + 1);
    }

    private static void checkName(String component, String value) {
        if (value.isBlank() || value.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException(component + " must not be blank and must have 1 to " + MAX_NAME_LENGTH
                    + " characters, but has " + value.length());
        }
    }

    /**
     * Returns a digest of the content without the operator, which distinguishes a resend from a different change.
     *
     * @return SHA-256 in hexadecimal, never null
     */
    public String fingerprint() {
        return sha256(organisation.name() + '\n' + expectedRevision + '\n' + newRevision + '\n' + templateText);
    }

    static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /**
     * Encodes this request.
     *
     * @param encoder the encoder to write to; not null
     */
    public void encode(Encoder encoder) {
        encoder.text(changeId)
                .text(operator)
                .text(organisation.name())
                .compressedText(templateText)
                .number(expectedRevision)
                .number(newRevision);
    }

    /**
     * Decodes a request.
     *
     * @param decoder the decoder to read from; not null
     * @return the request, never null
     * @throws IllegalArgumentException if the message is malformed
     */
    public static ChangeRequest decode(Decoder decoder) {
        return new ChangeRequest(
                decoder.text(),
                decoder.text(),
                OrganisationName.of(decoder.text()),
                decoder.compressedText(),
                decoder.number(),
                decoder.number());
    }
}
