package org.sequoianotch.model;

import java.util.HexFormat;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Identifier of a request, shared by all calls of its chain and equal to the W3C trace id.
 *
 * <p>This type is immutable.
 *
 * @param high the first 8 bytes
 * @param low the last 8 bytes; the two are not both zero
 */
public record RequestId(long high, long low) {
    private static final int HEX_LENGTH = 32;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Checks that the identifier is not all zero, which W3C Trace Context forbids. */
    public RequestId {
        if (high == 0 && low == 0) {
            throw new IllegalArgumentException("A request id must not be all zero");
        }
    }

    /**
     * Creates a random identifier.
     *
     * @param random source of randomness; not null
     * @return the identifier, never null
     */
    public static RequestId random(RandomGenerator random) {
        return new RequestId(random.nextLong(), random.nextLong() | 1);
    }

    /**
     * Parses the 32 hexadecimal digits of an identifier.
     *
     * @param text the text; not null
     * @return the identifier, or empty if the text is not a valid identifier
     */
    public static Optional<RequestId> parse(String text) {
        if (text.length() != HEX_LENGTH) {
            return Optional.empty();
        }
        // Checked before decoding, because an exception for an invalid digit costs more than the rest of parsing a
        // request.
        for (int i = 0; i < HEX_LENGTH; i++) {
            if (!HexFormat.isHexDigit(text.charAt(i))) {
                return Optional.empty();
            }
        }
        long high = HexFormat.fromHexDigitsToLong(text, 0, HEX_LENGTH / 2);
        long low = HexFormat.fromHexDigitsToLong(text, HEX_LENGTH / 2, HEX_LENGTH);
        return high == 0 && low == 0 ? Optional.empty() : Optional.of(new RequestId(high, low));
    }

    /**
     * Derives an identifier from a text. The same text always gives the same identifier.
     *
     * @param text the text; not null
     * @return the identifier, never null
     */
    public static RequestId hashOf(String text) {
        // 64-bit FNV-1a, with a different initial value for each half.
        long high = 0xcbf29ce484222325L;
        long low = 0x9ae16a3b2f90404fL;
        for (int i = 0; i < text.length(); i++) {
            high = (high ^ text.charAt(i)) * FNV_PRIME;
            low = (low ^ text.charAt(i)) * FNV_PRIME;
        }
        return new RequestId(high, low | 1);
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return this == other || other instanceof RequestId that && high == that.high && low == that.low;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(high ^ low);
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
