package org.sequoianotch.daemon.metrics;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.explain.EventKind;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.daemon.explain.RequestSummary;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Outcome;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.template.TemplateSet;

/**
 * Metrics of one node, rendered in the Prometheus text format.
 *
 * <p>Events and finished requests are counted as they are recorded; the values of other components are read at each
 * scrape. The number of label values is bounded: a service that is not in a template in force is counted as
 * {@code other}.
 *
 * <p>This class is thread-safe.
 */
public final class NodeMetrics implements RequestRecorder {
    /** Media type of {@link #text}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final String OTHER = "other";
    private static final String NO_ERROR = "none";
    private static final double MS_PER_S = 1_000.0;
    private static final double[] LATENCY_BOUNDS_S = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer = new PrometheusTextFormatWriter(false);
    private final Predicate<ServiceName> knownServices;
    private final LongSupplier revision;
    private final Counter requests;
    private final Histogram latency;
    private final Counter attempts;
    private final Counter retries;
    private final Counter refusals;
    private final Map<EventKind, CounterDataPoint> eventCounts = new EnumMap<>(EventKind.class);
    private final Map<Series, CounterDataPoint> requestCounts = new ConcurrentHashMap<>();
    private final Map<String, DistributionDataPoint> latencies = new ConcurrentHashMap<>();
    private final Map<String, CounterDataPoint> attemptCounts = new ConcurrentHashMap<>();

    /** Labels of a request counter. Data points are cached because a lookup by labels costs more than the increment. */
    private record Series(String service, Criticality criticality, @Nullable ErrorKind error) {
        @Override
        public boolean equals(@Nullable Object other) {
            return other instanceof Series that
                    && service.equals(that.service)
                    && criticality == that.criticality
                    && error == that.error;
        }

        @Override
        public int hashCode() {
            return 31 * (31 * service.hashCode() + criticality.hashCode()) + (error == null ? 0 : error.hashCode());
        }
    }

    /**
     * Creates metrics whose counters are zero.
     *
     * @param templates supplies the templates in force; not null
     */
    public NodeMetrics(Supplier<TemplateSet> templates) {
        this(
                service -> templates.get().templateOf(service).isPresent(),
                () -> templates.get().revision());
    }

    /**
     * Creates metrics whose counters are zero.
     *
     * @param knownServices matches the services that get a label value of their own; not null
     * @param revision supplies the revision of the configuration in force; not null
     */
    public NodeMetrics(Predicate<ServiceName> knownServices, LongSupplier revision) {
        this.knownServices = knownServices;
        this.revision = revision;
        requests = Counter.builder()
                .name("sequoianotch_requests_total")
                .help("Requests from callers that ended at this entry node.")
                .labelNames("service", "criticality", "outcome", "error")
                .withoutExemplars()
                .register(registry);
        latency = Histogram.builder()
                .name("sequoianotch_request_duration_seconds")
                .help("Time from the receipt of a request's header section to the end of its response.")
                .labelNames("service")
                .classicOnly()
                .classicUpperBounds(LATENCY_BOUNDS_S)
                .withoutExemplars()
                .register(registry);
        attempts = counter("sequoianotch_attempts_total", "Attempts made by this entry node.");
        retries = counter("sequoianotch_retries_total", "Attempts after the first made by this entry node.");
        refusals = Counter.builder()
                .name("sequoianotch_refusals_total")
                .help("Requests from callers that were refused and are known not to have run.")
                .labelNames("service", "error")
                .withoutExemplars()
                .register(registry);
        Counter events = Counter.builder()
                .name("sequoianotch_events_total")
                .help("Events of requests and sub-calls on this node by kind.")
                .labelNames("kind")
                .withoutExemplars()
                .register(registry);
        for (EventKind kind : EventKind.values()) {
            eventCounts.put(kind, events.labelValues(kind.name().toLowerCase(Locale.ROOT)));
        }
        registerMemory();
    }

    private Counter counter(String name, String help) {
        return Counter.builder()
                .name(name)
                .help(help)
                .labelNames("service")
                .withoutExemplars()
                .register(registry);
    }

    private void registerMemory() {
        Runtime runtime = Runtime.getRuntime();
        gauge(
                "sequoianotch_jvm_heap_used_bytes",
                "Used heap memory.",
                () -> runtime.totalMemory() - runtime.freeMemory());
        gauge("sequoianotch_jvm_heap_committed_bytes", "Committed heap memory.", runtime::totalMemory);
        gauge("sequoianotch_jvm_heap_max_bytes", "Maximum heap memory.", runtime::maxMemory);
        gauge("sequoianotch_template_revision", "Revision of the configuration in force.", () -> revision.getAsLong());
    }

    @Override
    public void record(RequestId requestId, EventKind kind, String sentence) {
        count(kind);
    }

    @Override
    public void record(RequestId requestId, EventKind kind, Supplier<String> sentence) {
        count(kind);
    }

    private void count(EventKind kind) {
        Objects.requireNonNull(eventCounts.get(kind)).inc();
    }

    @Override
    public void recordEnd(RequestSummary summary) {
        String service = serviceLabel(summary.rule().service());
        Series series = new Series(
                service, summary.rule().criticality(), summary.error().orElse(null));
        requestCounts.computeIfAbsent(series, this::requestCount).inc();
        latencies.computeIfAbsent(service, latency::labelValues).observe(summary.latencyMs() / MS_PER_S);
        if (summary.attempts() > 0) {
            attemptCounts.computeIfAbsent(service, attempts::labelValues).inc(summary.attempts());
        }
        if (summary.attempts() > 1) {
            retries.labelValues(service).inc(summary.attempts() - 1);
        }
        if (summary.error().isPresent() && summary.error().get().provesNotRun()) {
            refusals.labelValues(service, summary.error().get().code()).inc();
        }
    }

    private CounterDataPoint requestCount(Series series) {
        Outcome outcome =
                series.error() == null ? Outcome.COMPLETED : series.error().outcome();
        String error = series.error() == null ? NO_ERROR : series.error().code();
        return requests.labelValues(series.service(), series.criticality().code(), outcome.headerValue(), error);
    }

    private String serviceLabel(ServiceName service) {
        return knownServices.test(service) ? service.name() : OTHER;
    }

    /**
     * Adds a counter whose value is read at each scrape.
     *
     * @param name the name, which ends in {@code _total}; not null
     * @param help the help text; not null
     * @param value supplies the count; not null
     */
    public void counter(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Adds a gauge whose value is read at each scrape.
     *
     * @param name the name, which ends in its unit; not null
     * @param help the help text; not null
     * @param value supplies the value; not null
     */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Adds a gauge with one label whose values are read at each scrape.
     *
     * @param name the name; not null
     * @param help the help text; not null
     * @param label name of the label; not null
     * @param values supplies the gauge value by label value; the number of label values must be bounded; not null
     */
    public void gauge(String name, String help, String label, Supplier<Map<String, Double>> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(callback -> values.get().forEach((key, value) -> callback.call(value, key)))
                .register(registry);
    }

    /**
     * Renders all metrics.
     *
     * @return the Prometheus text format in UTF-8, never null
     */
    public byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            writer.write(out, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("Writing to memory cannot fail", e);
        }
        return out.toByteArray();
    }
}
