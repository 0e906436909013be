package org.sequoianotch.daemon.burn;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.daemon.explain.StrictCodec;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.template.Objective;

/**
 * Request counts and burn rates of all objectives, for one node or summed over several nodes.
 *
 * <p>This type is immutable.
 *
 * @param lines the objectives in descending order of burn rate; not null
 * @param nodes number of nodes that are included
 * @param missing hosts that did not respond, with the reason; not null
 */
public record BurnReport(List<BurnLine> lines, int nodes, Map<HostId, String> missing) {
    /** More objectives in one response could exceed the frame limit of 256 KiB. */
    private static final int MAX_LINES = 200;

    private static final Comparator<BurnLine> BY_DESCENDING_BURN_RATE = Comparator.comparingDouble(BurnLine::fastRate)
            .thenComparingDouble(BurnLine::slowRate)
            .reversed()
            .thenComparing(line -> line.objective().service().name())
            .thenComparing(line -> line.objective().criticality());

    /** Sorts the lines and copies the map. */
    public BurnReport {
        lines = lines.stream().sorted(BY_DESCENDING_BURN_RATE).toList();
        missing = Map.copyOf(missing);
    }

    private record Key(ServiceName service, Criticality criticality) {}

    /**
     * Adds up the reports of several nodes.
     *
     * @param parts the reports of the nodes; not null
     * @param missing hosts that did not respond, with the reason; not null
     * @return the sums, never null
     */
    public static BurnReport merge(Collection<BurnReport> parts, SortedMap<HostId, String> missing) {
        Map<Key, BurnLine> sums = new LinkedHashMap<>();
        int nodes = 0;
        for (BurnReport part : parts) {
            nodes += part.nodes;
            for (BurnLine line : part.lines) {
                Key key = new Key(line.objective().service(), line.objective().criticality());
                sums.merge(key, line, BurnLine::plus);
            }
        }
        return new BurnReport(List.copyOf(sums.values()), nodes, missing);
    }

    /**
     * Returns the hosts that did not respond, ordered by name.
     *
     * @return the hosts with the reasons, never null
     */
    public SortedMap<HostId, String> sortedMissing() {
        return new TreeMap<>(missing);
    }

    /**
     * Encodes the report of a node for another node.
     *
     * @return the payload, never null
     */
    public byte[] encode() {
        List<BurnLine> sent = lines.subList(0, Math.min(lines.size(), MAX_LINES));
        return StrictCodec.encode(packer -> {
            packer.packArrayHeader(sent.size());
            for (BurnLine line : sent) {
                packer.packArrayHeader(6 + BurnCounters.MINUTES)
                        .packString(line.objective().service().name())
                        .packInt(line.objective().criticality().ordinal())
                        .packDouble(line.objective().goodPercent())
                        .packLong(line.objective().latencyMs());
                line.fast().pack(packer);
                line.slow().pack(packer);
                for (WindowCounts minute : line.minutes()) {
                    minute.pack(packer);
                }
            }
        });
    }

    /**
     * Decodes the report of a node.
     *
     * @param payload the payload; not null
     * @return the report, or the failure if the payload is malformed
     */
    public static Either<Failure, BurnReport> decode(byte[] payload) {
        return StrictCodec.decode(payload, BurnReport::unpack);
    }

    private static BurnReport unpack(MessageUnpacker unpacker) throws IOException {
        int count = StrictCodec.unpackListSize(unpacker, MAX_LINES);
        List<BurnLine> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StrictCodec.expectArrayLength(unpacker, 6 + BurnCounters.MINUTES);
            Objective objective = new Objective(
                    ServiceName.of(unpacker.unpackString()),
                    StrictCodec.unpackEnum(unpacker, Criticality.values()),
                    unpacker.unpackDouble(),
                    unpacker.unpackLong());
            WindowCounts fast = WindowCounts.unpack(unpacker);
            WindowCounts slow = WindowCounts.unpack(unpacker);
            List<WindowCounts> minutes = new ArrayList<>();
            for (int m = 0; m < BurnCounters.MINUTES; m++) {
                minutes.add(WindowCounts.unpack(unpacker));
            }
            lines.add(new BurnLine(objective, fast, slow, minutes));
        }
        return new BurnReport(lines, 1, Map.of());
    }
}
