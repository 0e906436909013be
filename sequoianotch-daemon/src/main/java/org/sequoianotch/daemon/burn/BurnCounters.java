package org.sequoianotch.daemon.burn;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.sequoianotch.daemon.explain.EventKind;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.daemon.explain.RequestSummary;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.template.Objective;
import org.sequoianotch.template.ProtectionTemplate;
import org.sequoianotch.template.TemplateSet;
import org.sequoianotch.time.Clock;

/**
 * Counts the good and bad requests that entered at this node, for each objective of the templates in force.
 *
 * <p>Counts are kept for one hour in slots of {@value #SLOT_MS} ms. A window ends now and starts at the boundary of a
 * slot, so it can be shorter than its nominal length by up to one slot. The counts of an objective are discarded when
 * no template contains it any more.
 *
 * <p>This class is thread-safe.
 */
public final class BurnCounters implements RequestRecorder {
    /** Number of minutes for which counts are kept. */
    public static final int MINUTES = 60;

    static final long SLOT_MS = 10_000;
    private static final int SLOTS_PER_MINUTE = 6;
    private static final int FAST_WINDOW_SLOTS = 5 * SLOTS_PER_MINUTE;
    private static final int SLOTS = MINUTES * SLOTS_PER_MINUTE;
    private static final int VERDICT_COUNT = Verdict.values().length;

    private final Clock clock;
    private final Supplier<TemplateSet> templates;
    private final Map<Key, SlotRing> rings = new HashMap<>();

    /**
     * Creates counters with the value zero.
     *
     * @param clock the clock; not null
     * @param templates the templates in force; not null
     */
    public BurnCounters(Clock clock, Supplier<TemplateSet> templates) {
        this.clock = clock;
        this.templates = templates;
    }

    @Override
    public void record(RequestId requestId, EventKind kind, String sentence) {
        // Whether a request was good is known only at its end.
    }

    @Override
    public void recordEnd(RequestSummary summary) {
        Optional<Objective> objective = findObjective(summary);
        Optional<Verdict> verdict = objective.flatMap(found -> Verdict.of(summary, found));
        if (verdict.isPresent()) {
            Key key = Key.of(objective.get());
            synchronized (this) {
                rings.computeIfAbsent(key, unused -> new SlotRing()).add(currentSlot(), verdict.get());
            }
        }
    }

    private Optional<Objective> findObjective(RequestSummary summary) {
        ServiceName service = summary.rule().service();
        Criticality criticality = summary.rule().criticality();
        return templates.get().templateOf(service).flatMap(template -> template.objectives().stream()
                .filter(objective -> objective.service().equals(service) && objective.criticality() == criticality)
                .findFirst());
    }

    /**
     * Returns the counts of all objectives of the templates in force.
     *
     * @return the report of this node, never null
     */
    public BurnReport report() {
        List<Objective> objectives = new ArrayList<>();
        for (ProtectionTemplate template : templates.get().templates().values()) {
            objectives.addAll(template.objectives());
        }
        List<BurnLine> lines = new ArrayList<>();
        synchronized (this) {
            rings.keySet().retainAll(objectives.stream().map(Key::of).toList());
            long slot = currentSlot();
            for (Objective objective : objectives) {
                lines.add(toLine(objective, rings.getOrDefault(Key.of(objective), SlotRing.EMPTY), slot));
            }
        }
        return new BurnReport(lines, 1, Map.of());
    }

    private static BurnLine toLine(Objective objective, SlotRing ring, long slot) {
        List<WindowCounts> minutes = new ArrayList<>();
        for (int minute = MINUTES - 1; minute >= 0; minute--) {
            long last = slot - (long) minute * SLOTS_PER_MINUTE;
            minutes.add(ring.sum(last - SLOTS_PER_MINUTE + 1, last));
        }
        return new BurnLine(
                objective, ring.sum(slot - FAST_WINDOW_SLOTS + 1, slot), ring.sum(slot - SLOTS + 1, slot), minutes);
    }

    private long currentSlot() {
        return (long) Math.floor(clock.monotonicMs() / SLOT_MS);
    }

    private record Key(ServiceName service, Criticality criticality) {
        private static Key of(Objective objective) {
            return new Key(objective.service(), objective.criticality());
        }
    }

    /** Counts of one objective in a ring buffer of slots. A slot is cleared when it is reused for a later period. */
    private static final class SlotRing {
        private static final SlotRing EMPTY = new SlotRing();

        private final long[] slotNumbers = new long[SLOTS];
        private final int[] counts = new int[SLOTS * VERDICT_COUNT];

        private SlotRing() {
            Arrays.fill(slotNumbers, Long.MIN_VALUE);
        }

        private void add(long slotNumber, Verdict verdict) {
            int slot = (int) Math.floorMod(slotNumber, (long) SLOTS);
            if (slotNumbers[slot] != slotNumber) {
                slotNumbers[slot] = slotNumber;
                Arrays.fill(counts, slot * VERDICT_COUNT, (slot + 1) * VERDICT_COUNT, 0);
            }
            counts[slot * VERDICT_COUNT + verdict.ordinal()]++;
        }

        private WindowCounts sum(long first, long last) {
            long[] sums = new long[VERDICT_COUNT];
            for (int slot = 0; slot < SLOTS; slot++) {
                if (slotNumbers[slot] >= first && slotNumbers[slot] <= last) {
                    for (int verdict = 0; verdict < VERDICT_COUNT; verdict++) {
                        sums[verdict] += counts[slot * VERDICT_COUNT + verdict];
                    }
                }
            }
            return WindowCounts.of(sums);
        }
    }
}
