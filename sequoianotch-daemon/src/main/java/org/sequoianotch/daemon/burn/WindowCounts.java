package org.sequoianotch.daemon.burn;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.daemon.explain.StrictCodec;
import org.sequoianotch.template.Objective;

/**
 * Request counts of a time window by verdict.
 *
 * <p>This type is immutable.
 *
 * @param good requests that met the objective; not negative
 * @param shed requests refused because of overload; not negative
 * @param late requests that completed too late or whose deadline expired before they ran; not negative
 * @param failed requests that failed in a known way; not negative
 * @param unknown requests of which it is not certain whether they ran; not negative
 */
public record WindowCounts(long good, long shed, long late, long failed, long unknown) {
    /** Counts of a window without requests. */
    public static final WindowCounts NONE = new WindowCounts(0, 0, 0, 0, 0);

    private static final int COMPONENT_COUNT = 5;

    static WindowCounts of(long[] byVerdict) {
        return new WindowCounts(byVerdict[0], byVerdict[1], byVerdict[2], byVerdict[3], byVerdict[4]);
    }

    /**
     * Returns the number of requests that did not meet the objective.
     *
     * @return the number; not negative
     */
    public long bad() {
        return shed + late + failed + unknown;
    }

    /**
     * Returns the number of all requests.
     *
     * @return the number; not negative
     */
    public long total() {
        return good + bad();
    }

    /**
     * Returns the burn rate of the error budget. At a rate of 1, the budget is consumed exactly over the period of the
     * objective.
     *
     * @param objective the objective; not null
     * @return the fraction of bad requests divided by the error budget; zero without requests
     */
    public double burnRate(Objective objective) {
        return total() == 0 ? 0 : (double) bad() / total() / objective.errorBudget();
    }

    /**
     * Returns the sum of the counts of two windows.
     *
     * @param other the counts of the other window; not null
     * @return the sum, never null
     */
    public WindowCounts plus(WindowCounts other) {
        return new WindowCounts(
                good + other.good,
                shed + other.shed,
                late + other.late,
                failed + other.failed,
                unknown + other.unknown);
    }

    /** Packs a window without requests as nil, because most windows of most objectives have no requests. */
    void pack(MessagePacker packer) throws IOException {
        if (total() == 0) {
            packer.packNil();
            return;
        }
        packer.packArrayHeader(COMPONENT_COUNT)
                .packLong(good)
                .packLong(shed)
                .packLong(late)
                .packLong(failed)
                .packLong(unknown);
    }

    static WindowCounts unpack(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return NONE;
        }
        StrictCodec.expectArrayLength(unpacker, COMPONENT_COUNT);
        long[] counts = new long[COMPONENT_COUNT];
        for (int i = 0; i < COMPONENT_COUNT; i++) {
            counts[i] = StrictCodec.unpackNonNegative(unpacker);
        }
        return of(counts);
    }
}
