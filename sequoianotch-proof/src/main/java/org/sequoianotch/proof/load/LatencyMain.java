package org.sequoianotch.proof.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sequoianotch.settings.ValueKind;

/**
 * Measures the latency, processor time and memory that two nodes add to a call.
 *
 * <p>For each rate, one run sends calls directly to a stand-in backend server and then the same calls through two
 * nodes.
 *
 * <p>Arguments: address of the stand-in, address of the entry node's caller listener, duration of each measurement in
 * seconds, and process ids of the nodes.
 */
public final class LatencyMain {
    private static final int[] RATES_PER_S = {140, 280, 560, 1_120, 2_240};
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long TIMEOUT_MS = 10_000;
    private static final long WARM_UP_MS = 10_000;
    private static final int WARM_UP_RATE_PER_S = 600;
    private static final double US_PER_MS = 1_000.0;
    private static final double MIB = 1_048_576.0;
    private static final CallTemplate DIRECT_CALL = new CallTemplate("lookup", "GET", "/doors/7", new byte[0], false);
    private static final CallTemplate ROUTED_CALL =
            new CallTemplate("lookup", "GET", "/specdesk/doors/7", new byte[0], false);

    private final EventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS);
    private final Caller direct;
    private final Caller routed;
    private final long stepMs;
    private final List<Long> pids;

    private LatencyMain(InetSocketAddress standIn, InetSocketAddress node, long stepMs, List<Long> pids) {
        this.direct = new Caller(standIn, eventLoops);
        this.routed = new Caller(node, eventLoops);
        this.stepMs = stepMs;
        this.pids = pids;
    }

    /**
     * Runs the measurement and prints a table.
     *
     * @param arguments arguments as described for the class; not null
     * @throws IOException if the processor time or memory usage of a node cannot be read
     */
    public static void main(String[] arguments) throws IOException {
        List<Long> pids = new ArrayList<>();
        for (int i = 3; i < arguments.length; i++) {
            pids.add(Long.parseLong(arguments[i]));
        }
        LatencyMain measurement = new LatencyMain(
                ValueKind.parseAddress(arguments[0]).orElseThrow(),
                ValueKind.parseAddress(arguments[1]).orElseThrow(),
                Long.parseLong(arguments[2]) * 1_000,
                pids);
        measurement.run();
        System.exit(0);
    }

    private void run() throws IOException {
        System.out.printf("Resident memory idle: %s%n", residentMemory());
        measure(direct, DIRECT_CALL, WARM_UP_RATE_PER_S, WARM_UP_MS);
        measure(routed, ROUTED_CALL, WARM_UP_RATE_PER_S, WARM_UP_MS);
        System.out.println(
                "| calls/s | direct p50 ms | p99 | p99.9 | two nodes p50 ms | p99 | p99.9 | added p50 | added p99 |"
                        + " added p99.9 | failed | CPU ms a call, both nodes | resident |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int rate : RATES_PER_S) {
            LatencyResult directResult = measure(direct, DIRECT_CALL, rate, stepMs);
            double cpuBeforeMs = totalCpuMs();
            LatencyResult routedResult = measure(routed, ROUTED_CALL, rate, stepMs);
            double cpuPerCallMs = (totalCpuMs() - cpuBeforeMs) / (rate * stepMs / 1_000.0);
            System.out.printf(
                    "| %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %d | %.3f | %s |%n",
                    rate,
                    directResult.percentileMs(50),
                    directResult.percentileMs(99),
                    directResult.percentileMs(99.9),
                    routedResult.percentileMs(50),
                    routedResult.percentileMs(99),
                    routedResult.percentileMs(99.9),
                    routedResult.percentileMs(50) - directResult.percentileMs(50),
                    routedResult.percentileMs(99) - directResult.percentileMs(99),
                    routedResult.percentileMs(99.9) - directResult.percentileMs(99.9),
                    directResult.failed + routedResult.failed,
                    cpuPerCallMs,
                    residentMemory());
        }
    }

    private record LatencyResult(Histogram latenciesUs, int failed) {
        double percentileMs(double percentile) {
            return latenciesUs.getValueAtPercentile(percentile) / US_PER_MS;
        }
    }

    private static LatencyResult measure(Caller caller, CallTemplate call, int ratePerS, long durationMs) {
        ConcurrentHistogram latenciesUs = new ConcurrentHistogram(3);
        AtomicInteger failed = new AtomicInteger();
        // Latency is measured from the scheduled start to avoid coordinated omission.
        new OpenLoopGenerator().run(ratePerS, durationMs, (index, scheduledAtMs) -> {
            CallOutcome outcome = caller.send(call, "", scheduledAtMs, TIMEOUT_MS);
            latenciesUs.recordValue((long) (outcome.latencyMs() * US_PER_MS));
            if (!outcome.isGood()) {
                failed.incrementAndGet();
            }
        });
        return new LatencyResult(latenciesUs, failed.get());
    }

    private double totalCpuMs() throws IOException {
        double sumMs = 0;
        for (long pid : pids) {
            sumMs += ProcessUsage.of(pid).cpuMs();
        }
        return sumMs;
    }

    private String residentMemory() throws IOException {
        List<String> sizes = new ArrayList<>();
        for (long pid : pids) {
            sizes.add(String.format("%.0f", ProcessUsage.of(pid).residentBytes() / MIB));
        }
        return String.join(" + ", sizes) + " MiB";
    }
}
