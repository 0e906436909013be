package org.sequoianotch.daemon.explain;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.error.Failure;

/**
 * Request counts of a service by rule, effect and cause.
 *
 * <p>This type is immutable.
 *
 * @param rows the counts in descending order; not null
 */
public record ServiceSummary(List<Row> rows) {
    private static final int MAX_ROWS = 500;
    private static final Comparator<Row> BY_DESCENDING_COUNT = Comparator.comparingLong(Row::count)
            .reversed()
            .thenComparing(row -> row.category().toString());

    /** Effect on a request. The ordinal is the wire value. */
    public enum Effect {
        /** A backend server responded in time. */
        SERVED("served without delay"),
        /** A backend server responded, but slowly. */
        DELAYED("delayed"),
        /** The request provably did not run. */
        REFUSED("refused"),
        /** The request was interrupted, and it is not certain whether it ran. */
        CUT("cut off"),
        /** More than one attempt was made. Such a request is counted a second time under the effect of its end. */
        RETRIED("retried");

        private final String description;

        Effect(String description) {
            this.description = description;
        }
    }

    /**
     * A category of requests that are counted together.
     *
     * @param rule label of the route rule; not null
     * @param effect effect on the requests; not null
     * @param cause code of the error kind, or a description in plain words; not null
     */
    public record Category(String rule, Effect effect, String cause) {}

    /**
     * The count of a category.
     *
     * @param category the category; not null
     * @param count number of requests; not negative
     */
    public record Row(Category category, long count) {}

    /** Sorts the rows, and keeps only the largest if there are too many for one message. */
    public ServiceSummary {
        rows = rows.stream().sorted(BY_DESCENDING_COUNT).limit(MAX_ROWS).toList();
    }

    static ServiceSummary of(Map<Category, Long> counts) {
        return new ServiceSummary(counts.entrySet().stream()
                .map(entry -> new Row(entry.getKey(), entry.getValue()))
                .toList());
    }

    /**
     * Adds up the counts of several nodes.
     *
     * @param parts the counts of the nodes; not null
     * @return the sums, never null
     */
    public static ServiceSummary merge(Collection<ServiceSummary> parts) {
        Map<Category, Long> sums = new TreeMap<>(Comparator.comparing(Category::toString));
        parts.forEach(part -> part.rows.forEach(row -> sums.merge(row.category(), row.count(), Long::sum)));
        return of(sums);
    }

    /**
     * Renders the counts.
     *
     * @return one sentence with the total, then one sentence for each count, never null
     */
    public List<String> render() {
        long total = rows.stream()
                .filter(row -> row.category().effect() != Effect.RETRIED)
                .mapToLong(Row::count)
                .sum();
        long served = rows.stream()
                .filter(row -> row.category().effect() == Effect.SERVED)
                .mapToLong(Row::count)
                .sum();
        List<String> lines = new ArrayList<>();
        lines.add(total + " requests ended; " + served + " were served without delay, " + (total - served)
                + " were not.");
        for (Row row : rows) {
            Category category = row.category();
            lines.add(row.count() + " " + category.effect().description + " by rule \"" + category.rule() + "\": "
                    + category.cause() + ".");
        }
        return lines;
    }

    /**
     * Encodes the counts for another node.
     *
     * @return the payload, never null
     */
    public byte[] encode() {
        return StrictCodec.encode(packer -> {
            packer.packArrayHeader(rows.size());
            for (Row row : rows) {
                packer.packArrayHeader(4)
                        .packString(row.category().rule())
                        .packInt(row.category().effect().ordinal())
                        .packString(row.category().cause())
                        .packLong(row.count());
            }
        });
    }

    /**
     * Decodes counts.
     *
     * @param payload the payload; not null
     * @return the counts, or the failure if the payload is malformed
     */
    public static Either<Failure, ServiceSummary> decode(byte[] payload) {
        return StrictCodec.decode(payload, ServiceSummary::unpack);
    }

    private static ServiceSummary unpack(MessageUnpacker unpacker) throws IOException {
        int count = StrictCodec.unpackListSize(unpacker, MAX_ROWS);
        List<Row> rows = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StrictCodec.expectArrayLength(unpacker, 4);
            Category category = new Category(
                    unpacker.unpackString(),
                    StrictCodec.unpackEnum(unpacker, Effect.values()),
                    unpacker.unpackString());
            rows.add(new Row(category, StrictCodec.unpackNonNegative(unpacker)));
        }
        return new ServiceSummary(rows);
    }
}
