package org.sequoianotch.daemon.ledger;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.DataCentre;

/**
 * Idempotency key of a request, with its home: the data centre whose ledger decides about it.
 *
 * <p>A key minted by a node has the form {@code sn1.<dataCentre>.<epoch>.<mintedAtMs>.<random>} and carries its home,
 * the ledger epoch and the mint time. The home of any other key is chosen by rendezvous hashing with SHA-256
 * over the configured data centres. This type is immutable.
 */
public final class IdempotencyKey {
    private static final int MAX_LENGTH = 128;
    private static final Pattern VISIBLE = Pattern.compile("[\\x21-\\x7e]{1," + MAX_LENGTH + "}");
    private static final Pattern MINTED = Pattern.compile(
            "sn1\\.(?<home>[a-z0-9][a-z0-9-]{0,62})\\.(?<epoch>[1-9][0-9]{0,6})\\.(?<mintedAt>[1-9][0-9]{0,14})"
                    + "\\.[0-9a-f]{16}");

    private final String text;
    private final DataCentre home;
    private final @Nullable MintedFields minted;

    private IdempotencyKey(String text, DataCentre home, @Nullable MintedFields minted) {
        this.text = text;
        this.home = home;
        this.minted = minted;
    }

    /**
     * Parses the value of an {@code Idempotency-Key} header.
     *
     * @param text the value; not null
     * @param dataCentres all data centres of the deployment, in any order; not null, not empty
     * @return the key, or a {@code bad_request} failure with the reason
     */
    public static Either<Failure, IdempotencyKey> parse(String text, List<DataCentre> dataCentres) {
        if (!VISIBLE.matcher(text).matches()) {
            return Either.left(Failure.of(
                    ErrorKind.BAD_REQUEST,
                    "The idempotency key must have 1 to " + MAX_LENGTH + " visible ASCII characters."));
        }
        MintedFields minted = MintedFields.parse(text);
        if (minted == null) {
            return Either.right(new IdempotencyKey(text, homeByHash(text, dataCentres), null));
        }
        if (!dataCentres.contains(minted.home())) {
            return Either.left(Failure.of(
                    ErrorKind.BAD_REQUEST,
                    "The idempotency key names data centre \"" + minted.home() + "\", which does not exist."));
        }
        return Either.right(new IdempotencyKey(text, minted.home(), minted));
    }

    /**
     * Mints a new key.
     *
     * @param home the data centre whose ledger decides about the key; not null
     * @param epoch the epoch of that ledger; positive
     * @param mintedAtMs the current wall-clock time, in milliseconds since the Unix epoch; positive
     * @param random source of randomness that does not repeat after a restart; not null
     * @return the key, never null
     * @throws IllegalArgumentException if the epoch or the time is out of range
     */
    public static IdempotencyKey mint(DataCentre home, long epoch, long mintedAtMs, RandomGenerator random) {
        String text = String.format("sn1.%s.%d.%d.%016x", home, epoch, mintedAtMs, random.nextLong());
        MintedFields minted = MintedFields.parse(text);
        if (minted == null) {
            throw new IllegalArgumentException(
                    "Expected an epoch from 1 to 9999999 and a mint time from 1 to 999999999999999 ms, but got epoch "
                            + epoch + " and mint time " + mintedAtMs + " ms");
        }
        return new IdempotencyKey(text, home, minted);
    }

    /**
     * Derives the key of a sub-call that a backend server makes while it serves the request with this key. It has the
     * same home, epoch and mint time, so that the same ledger decides about all sub-calls of a request.
     *
     * @param subCall the fingerprint of the sub-call; not null
     * @return the derived key, equal for equal sub-calls; never null
     */
    public IdempotencyKey forSubCall(Fingerprint subCall) {
        byte[] digest = Fingerprint.sha256()
                .digest((text + "\n" + subCall.high() + "\n" + subCall.low()).getBytes(StandardCharsets.US_ASCII));
        long suffix = ByteBuffer.wrap(digest).getLong();
        if (minted == null) {
            return new IdempotencyKey(String.format("sub.%s.%016x", prefixOf(text), suffix), home, null);
        }
        String derived = String.format("sn1.%s.%d.%d.%016x", home, minted.epoch(), minted.mintedAtMs(), suffix);
        return new IdempotencyKey(derived, home, minted);
    }

    private static String prefixOf(String text) {
        return text.substring(0, Math.min(text.length(), MAX_LENGTH / 2));
    }

    /**
     * Returns the value of the header.
     *
     * @return the text, never null
     */
    public String text() {
        return text;
    }

    /**
     * Returns the data centre whose ledger decides about the key.
     *
     * @return the home, never null
     */
    public DataCentre home() {
        return home;
    }

    /**
     * Returns the ledger epoch in which a node minted the key.
     *
     * @return the epoch, or empty if no node minted the key
     */
    public OptionalLong epoch() {
        return minted == null ? OptionalLong.empty() : OptionalLong.of(minted.epoch());
    }

    /**
     * Returns the time since the key was minted.
     *
     * @param nowMs the wall-clock time, in milliseconds since the Unix epoch
     * @return the age in milliseconds, negative if the clocks of two hosts differ, or empty if no node minted the key
     */
    public OptionalLong ageMs(long nowMs) {
        return minted == null ? OptionalLong.empty() : OptionalLong.of(nowMs - minted.mintedAtMs());
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof IdempotencyKey key && key.text.equals(text) && key.home.equals(home);
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }

    @Override
    public String toString() {
        return text;
    }

    private static DataCentre homeByHash(String text, List<DataCentre> dataCentres) {
        DataCentre best = null;
        long bestWeight = 0;
        for (DataCentre candidate : dataCentres) {
            byte[] digest = Fingerprint.sha256().digest((candidate + "\n" + text).getBytes(StandardCharsets.US_ASCII));
            long weight = ByteBuffer.wrap(digest).getLong();
            int order = best == null ? 1 : Long.compareUnsigned(weight, bestWeight);
            if (order > 0 || order == 0 && candidate.compareTo(Objects.requireNonNull(best)) < 0) {
                best = candidate;
                bestWeight = weight;
            }
        }
        if (best == null) {
            throw new IllegalArgumentException("The list of data centres is empty");
        }
        return best;
    }

    /** The fields that a minted key carries in its text. */
    record MintedFields(DataCentre home, long epoch, long mintedAtMs) {
        static @Nullable MintedFields parse(String text) {
            Matcher matcher = MINTED.matcher(text);
            if (!matcher.matches()) {
                return null;
            }
            return new MintedFields(
                    DataCentre.of(matcher.group("home")),
                    Long.parseLong(matcher.group("epoch")),
                    Long.parseLong(matcher.group("mintedAt")));
        }
    }
}
