package org.sequoianotch.daemon.call;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.policy.admission.AdmissionControl;
import org.sequoianotch.policy.admission.AdmissionRequest;
import org.sequoianotch.policy.admission.CallResult;
import org.sequoianotch.policy.admission.Permit;
import org.sequoianotch.policy.admission.RequestRateLimit;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.ManualClock;

/**
 * Guards against more requests to an instance than it takes while rates change, responses overtake each other and
 * processes are restarted, in simulated time.
 */
final class NamedRateSimulationTest {
    private static final ServiceName SERVICE = ServiceName.of("pay1");
    private static final HostId HOST = HostId.of("host-1");
    private static final int PEERS = 5;
    private static final double DURATION_MS = 60_000;
    /** Bounds of the deployments. */
    private static final double SETTLE_MS = 3_000;

    private static final double SPAN_MS = 4_000;
    private static final double TOLD_MS = 500;
    private static final double ALLOWED_SHARE = 1.5;
    private static final int ALLOWED_CONSTANT = 5;
    /** A lower rate is known only with the first response that names it. */
    private static final double MAX_RESPONSE_MS = 900;

    private static final double[] RATES = {0, 0.5, 2, 6, 20.4, 30, InstanceNotice.UNLIMITED};

    private record Event(double atMs, long number, Runnable action) {}

    private record Arrival(int peer, double atMs) {}

    private record NamedRate(double fromMs, double requestsPerS) {}

    private final ManualClock clock = ManualClock.startingAt(0);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<NamedRate> namedRates = new ArrayList<>();
    private final RememberedNotices[] remembered = new RememberedNotices[PEERS];
    private final double[] toldAtMs = new double[PEERS];
    private final Random random = new Random();
    private long eventNumber;
    private int process;
    private LocalNotice notice = newNotice();
    private AdmissionControl admission = newAdmission();

    private LocalNotice newNotice() {
        return new LocalNotice("i-1 of pay1", 1, new RequestRateLimit(clock), new AtomicLong(), clock);
    }

    private AdmissionControl newAdmission() {
        return PolicyMode.KNOWN_SLOTS.newAdmission(ServiceRule.ofDefaults(SERVICE), 50, notice.rateLimit(), clock);
    }

    private void in(double delayMs, Runnable action) {
        events.add(new Event(clock.monotonicMs() + delayMs, eventNumber++, action));
    }

    @ParameterizedTest
    @ValueSource(
            longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26})
    void noSpanHasMoreRequestsThanTheInstanceTakes(long seed) {
        random.setSeed(seed);
        for (int peer = 0; peer < PEERS; peer++) {
            restartPeer(peer);
            sendNextCall(peer);
        }
        changeRate();
        in(random.nextInt(8_000), this::restartProcess);
        in(random.nextInt(8_000), this::restartSomePeer);
        while (clock.monotonicMs() < DURATION_MS) {
            Event event = events.remove();
            clock.advance(Math.max(0, event.atMs() - clock.monotonicMs()));
            event.action().run();
        }
        checkSpans();
    }

    private void changeRate() {
        namedRates.add(new NamedRate(clock.monotonicMs(), RATES[random.nextInt(RATES.length)]));
        in(500 + random.nextInt(10_000), this::changeRate);
    }

    private double namedRate() {
        return namedRates.get(namedRates.size() - 1).requestsPerS();
    }

    /** Ends the process beside the instance; responses that were due to it are lost. */
    private void restartProcess() {
        process++;
        notice = newNotice();
        admission = newAdmission();
        in(random.nextInt(3) == 0 ? 200 : random.nextInt(15_000), this::restartProcess);
    }

    private void restartSomePeer() {
        restartPeer(random.nextInt(PEERS));
        in(random.nextInt(15_000), this::restartSomePeer);
    }

    private void restartPeer(int peer) {
        remembered[peer] = new RememberedNotices();
        toldAtMs[peer] = Double.POSITIVE_INFINITY;
    }

    private void sendNextCall(int peer) {
        InstanceNotice known = remembered[peer].find(HOST, SERVICE);
        in(1 + random.nextInt(20), () -> receiveCall(peer, known));
        in(random.nextInt(50), () -> sendNextCall(peer));
    }

    private void receiveCall(int peer, InstanceNotice known) {
        if (known != null) {
            notice.onRemembered(known, HostId.of("peer-" + peer));
        }
        int servedBy = process;
        admission
                .submit(new AdmissionRequest(new RequestId(0, 1), Criticality.STANDARD, 0, clock.monotonicMs() + 2_000))
                .whenDecided(decision -> {
                    if (decision.isRight()) {
                        run(peer, servedBy, decision.get());
                    } else {
                        InstanceNotice current = notice.current();
                        in(1 + random.nextInt(20), () -> remembered[peer].store(HOST, SERVICE, current));
                    }
                });
    }

    private void run(int peer, int servedBy, Permit permit) {
        arrivals.add(new Arrival(peer, clock.monotonicMs()));
        in(1 + random.nextInt(200), () -> {
            double rate = namedRate();
            double receivedAtMs = clock.monotonicMs();
            // A call that is busy with its request body reads the head of its response late.
            in(random.nextInt(10) == 0 ? random.nextInt(500) : 0, () -> {
                if (process == servedBy) {
                    permit.release(CallResult.SUCCEEDED, 100);
                    respond(peer, rate, receivedAtMs);
                }
            });
        });
    }

    private void respond(int peer, double rate, double receivedAtMs) {
        notice.onResponse(
                new InstanceStatement(OptionalDouble.of(rate), false, null), new RequestId(0, 1), receivedAtMs);
        InstanceNotice current = notice.current();
        in(1 + random.nextInt(20), () -> {
            remembered[peer].store(HOST, SERVICE, current);
            if (rate != InstanceNotice.UNLIMITED) {
                toldAtMs[peer] = Math.min(toldAtMs[peer], clock.monotonicMs());
            }
        });
    }

    private void checkSpans() {
        for (Arrival first : arrivals) {
            double allowed = allowedFrom(first.atMs());
            long counted = arrivals.stream()
                    .filter(arrival -> arrival.atMs() >= first.atMs() && arrival.atMs() <= first.atMs() + SPAN_MS)
                    .filter(arrival -> toldAtMs[arrival.peer()] <= arrival.atMs() - TOLD_MS)
                    .count();
            assertWithMessage("requests within the span from %s ms on", first.atMs())
                    .that((double) counted)
                    .isAtMost(allowed);
        }
    }

    /** Returns the allowed number of requests in a span; infinite while the limit does not bind. */
    private double allowedFrom(double fromMs) {
        double sum = 0;
        for (double atMs = fromMs; atMs < fromMs + SPAN_MS; atMs += 10) {
            sum += highestRateKnownAt(atMs) / 100;
        }
        return ALLOWED_SHARE * sum + ALLOWED_CONSTANT;
    }

    private double highestRateKnownAt(double atMs) {
        double highest = 0;
        double limitedSinceMs = 0;
        for (int i = 0; i < namedRates.size(); i++) {
            NamedRate named = namedRates.get(i);
            double endMs = i + 1 < namedRates.size() ? namedRates.get(i + 1).fromMs() : Double.POSITIVE_INFINITY;
            if (named.fromMs() <= atMs && endMs > atMs - MAX_RESPONSE_MS) {
                highest = Math.max(highest, named.requestsPerS());
            }
            if (named.fromMs() <= atMs && named.requestsPerS() == InstanceNotice.UNLIMITED) {
                limitedSinceMs = endMs;
            }
        }
        return atMs < limitedSinceMs + SETTLE_MS ? InstanceNotice.UNLIMITED : highest;
    }
}
