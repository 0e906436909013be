package org.sequoianotch.proof.load.overload;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoianotch.proof.load.CallTemplate;
import org.sequoianotch.proof.load.Caller;
import org.sequoianotch.proof.scenario.Deployment;
import org.sequoianotch.proof.standin.StandIn;
import org.sequoianotch.time.SystemClock;

/**
 * Measures how long a request holds a slot of each service for its own work.
 *
 * <p>The calls go directly to the stand-in backend servers, without nodes.
 *
 * <p>This class is stateless.
 */
final class Calibration {
    private static final CallTemplate PROBE = new CallTemplate("probe", "GET", "/probe", new byte[0], false);
    private static final long DURATION_MS = 1_500;
    private static final long WARM_UP_MS = 500;
    private static final long TIMEOUT_MS = 5_000;

    private Calibration() {}

    /** Returns the mean time for which a request holds a slot, in milliseconds, by service. */
    static Map<String, Double> measureSlotHeldMs(LoadPlan plan, Deployment deployment) throws InterruptedException {
        Map<String, Double> slotHeldMs = new HashMap<>();
        EventLoopGroup eventLoops = new NioEventLoopGroup(1);
        try {
            for (ServicePlan service : plan.services().values()) {
                StandIn standIn =
                        deployment.standIn(plan.hostsOf(service.name()).getFirst());
                try (Caller caller = new Caller(standIn.address(), eventLoops)) {
                    runClosedLoop(caller, service.slots(), WARM_UP_MS);
                    slotHeldMs.put(service.name(), runClosedLoop(caller, service.slots(), DURATION_MS));
                }
            }
        } finally {
            eventLoops.shutdownGracefully();
        }
        return slotHeldMs;
    }

    /** Keeps all slots in use and returns the mean time for which a call held a slot, in milliseconds. */
    private static double runClosedLoop(Caller caller, int slots, long durationMs) throws InterruptedException {
        AtomicInteger calls = new AtomicInteger();
        double startMs = SystemClock.INSTANCE.monotonicMs();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < slots; i++) {
            threads.add(Thread.ofVirtual().start(() -> sendUntil(caller, startMs + durationMs, calls)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return slots * (SystemClock.INSTANCE.monotonicMs() - startMs) / Math.max(1, calls.get());
    }

    private static void sendUntil(Caller caller, double endAtMs, AtomicInteger calls) {
        try {
            while (SystemClock.INSTANCE.monotonicMs() < endAtMs) {
                caller.send(PROBE, "", SystemClock.INSTANCE.monotonicMs(), TIMEOUT_MS);
                calls.incrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
