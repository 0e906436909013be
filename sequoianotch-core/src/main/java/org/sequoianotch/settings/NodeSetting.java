package org.sequoianotch.settings;

import java.util.Arrays;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The settings of a node, with their section and key in the INI file, kind, default and range.
 *
 * <p>{@code docs/settings.md} lists the same settings; a test compares the two.
 */
public enum NodeSetting {
    /** Name of the host. */
    HOST("node", "host", ValueKind.NAME, null, 0, 0, "Name of the host, unique in the deployment."),
    /** Data centre of the host. */
    DATA_CENTRE("node", "data_centre", ValueKind.NAME, null, 0, 0, "Data centre of the host."),
    /** Region of the host. */
    REGION("node", "region", ValueKind.NAME, null, 0, 0, "Region of the data centre."),
    /** Decision policy: protective or naive. */
    MODE(
            "node",
            "mode",
            ValueKind.NAME,
            "protective",
            0,
            0,
            "protective, or naive for the baseline of measurements: first come first served, three retries at each"
                    + " hop, random choice."),
    /** Time limit of a graceful stop. */
    SHUTDOWN_TIMEOUT_MS(
            "node",
            "shutdown_timeout_ms",
            ValueKind.DURATION_MS,
            "30000",
            0,
            600_000,
            "How long a graceful stop waits for requests in flight."),
    /** Shared secret of the deployment. */
    DEPLOYMENT_KEY(
            "deployment",
            "key",
            ValueKind.TEXT,
            null,
            16,
            256,
            "Secret shared by all nodes; peers that do not hold it are refused."),
    /** All data centres of the deployment. */
    DATA_CENTRES(
            "deployment",
            "data_centres",
            ValueKind.NAME_LIST,
            null,
            0,
            0,
            "All data centres of the deployment. The home of idempotency keys depends on it, so it must be the same on"
                    + " all nodes."),
    /** Address of the listener for callers. */
    CALLER_LISTEN(
            "caller", "listen", ValueKind.ADDRESS, "127.0.0.1:8080", 0, 0, "Address of the listener for callers."),
    /** Size limit of the head of a request. */
    CALLER_MAX_HEADER_BYTES(
            "caller",
            "max_header_bytes",
            ValueKind.SIZE_BYTES,
            "16384",
            1_024,
            131_072,
            "Largest head of a request, on the caller and backend listeners."),
    /** Connection limit of the caller listener. */
    CALLER_MAX_CONNECTIONS(
            "caller",
            "max_connections",
            ValueKind.INTEGER,
            "1024",
            1,
            100_000,
            "Largest number of open caller connections; further ones are closed at once."),
    /** Idle timeout of a caller connection. */
    CALLER_IDLE_TIMEOUT_MS(
            "caller",
            "idle_timeout_ms",
            ValueKind.DURATION_MS,
            "60000",
            1_000,
            3_600_000,
            "A caller connection on which nothing arrives for this long is closed."),
    /** Address of the listener for the backend server. */
    BACKEND_LISTEN(
            "backend",
            "listen",
            ValueKind.ADDRESS,
            "127.0.0.1:8081",
            0,
            0,
            "Address of the listener for sub-calls and announcements of the host's backend server; must be loopback."),
    /** IP address of the backend server. */
    BACKEND_HOST_ADDRESS(
            "backend",
            "host_address",
            ValueKind.TEXT,
            "127.0.0.1",
            1,
            64,
            "IP address at which the host's backend server listens; the backend server announces its port."),
    /** Lease time of an announcement. */
    BACKEND_LEASE_MS(
            "backend",
            "lease_ms",
            ValueKind.DURATION_MS,
            "5000",
            500,
            600_000,
            "How long an announcement of the backend server is valid unless it is renewed."),
    /** Address of the listener for other nodes. */
    PEER_LISTEN(
            "peer",
            "listen",
            ValueKind.ADDRESS,
            "127.0.0.1:8082",
            0,
            0,
            "Address of the listener for other nodes: TCP for calls, UDP on the same port for gossip."),
    /** Address advertised to other nodes, for nodes behind a relay. */
    PEER_ADVERTISE(
            "peer",
            "advertise",
            ValueKind.ADDRESS,
            "",
            0,
            0,
            "Address under which other nodes reach the peer listener, if it differs from listen."),
    /** Heartbeat interval of a link. */
    PEER_HEARTBEAT_MS(
            "peer", "heartbeat_ms", ValueKind.DURATION_MS, "1000", 50, 60_000, "Interval of heartbeats on each link."),
    /** Time without received data after which a link is closed. */
    PEER_SILENCE_TIMEOUT_MS(
            "peer",
            "silence_timeout_ms",
            ValueKind.DURATION_MS,
            "3000",
            100,
            600_000,
            "A link on which nothing arrives for this long is closed and replaced."),
    /** Connect timeout. */
    PEER_CONNECT_TIMEOUT_MS(
            "peer",
            "connect_timeout_ms",
            ValueKind.DURATION_MS,
            "500",
            10,
            60_000,
            "Time limit for connecting to a node or a backend server."),
    /** File of the TLS certificate. */
    PEER_TLS_CERTIFICATE(
            "peer",
            "tls_certificate",
            ValueKind.TEXT,
            "",
            0,
            4_096,
            "PEM file of this node's certificate; empty for links without TLS."),
    /** File of the TLS private key. */
    PEER_TLS_KEY("peer", "tls_key", ValueKind.TEXT, "", 0, 4_096, "PEM file of this node's private key."),
    /** File of the trusted TLS certificates. */
    PEER_TLS_TRUST(
            "peer",
            "tls_trust",
            ValueKind.TEXT,
            "",
            0,
            4_096,
            "PEM file of the certificates that peers must chain to."),
    /** Address of the admin listener. */
    ADMIN_LISTEN(
            "admin",
            "listen",
            ValueKind.ADDRESS,
            "127.0.0.1:8083",
            0,
            0,
            "Address of the listener for operators and metrics."),
    /** Names and keys of the operators. */
    ADMIN_KEYS(
            "admin",
            "operator_keys",
            ValueKind.TEXT,
            "",
            0,
            4_096,
            "Keys of operators as name=key pairs separated by commas; without one, commands that change something are"
                    + " refused."),
    /** Addresses of the seed nodes. */
    MEMBERSHIP_SEEDS(
            "membership",
            "seeds",
            ValueKind.ADDRESS_LIST,
            "",
            0,
            0,
            "Peer addresses of a few nodes, at least one in each data centre."),
    /** Interval of failure detection probes. */
    MEMBERSHIP_PROBE_INTERVAL_MS(
            "membership",
            "probe_interval_ms",
            ValueKind.DURATION_MS,
            "1000",
            20,
            60_000,
            "Interval of failure detection probes."),
    /** Suspicion timeout. */
    MEMBERSHIP_SUSPICION_TIMEOUT_MS(
            "membership",
            "suspicion_timeout_ms",
            ValueKind.DURATION_MS,
            "3000",
            50,
            600_000,
            "How long a suspected member may refute before it is declared failed."),
    /** Interval of gossip rounds. */
    MEMBERSHIP_GOSSIP_INTERVAL_MS(
            "membership",
            "gossip_interval_ms",
            ValueKind.DURATION_MS,
            "200",
            10,
            60_000,
            "Interval of gossip rounds while membership updates are pending."),
    /** Interval of membership exchanges between data centres. */
    MEMBERSHIP_EXCHANGE_INTERVAL_MS(
            "membership",
            "exchange_interval_ms",
            ValueKind.DURATION_MS,
            "2000",
            50,
            600_000,
            "Interval of exchanges with nodes of other data centres."),
    /** Ledger hosts. */
    LEDGER_HOSTS(
            "ledger",
            "hosts",
            ValueKind.NAMED_ADDRESS_LIST,
            "",
            0,
            0,
            "Ledger hosts of all data centres as data_centre=peer_address pairs; the same on all nodes."),
    /** Data folder of the ledger. */
    LEDGER_DATA_FOLDER(
            "ledger",
            "data_folder",
            ValueKind.TEXT,
            "",
            0,
            4_096,
            "Folder for claims on a ledger host with a disk; empty keeps them in memory."),
    /** Epoch of the ledger. */
    LEDGER_EPOCH(
            "ledger",
            "epoch",
            ValueKind.INTEGER,
            "1",
            1,
            1_000_000,
            "Epoch of this data centre's ledger; raised by an operator after the ledger lost its claims."),
    /** Time from which keys generated by callers are served. */
    LEDGER_OPENED_AT_MS(
            "ledger",
            "opened_at_ms",
            ValueKind.INTEGER,
            "0",
            0,
            Long.MAX_VALUE,
            "Wall-clock time in ms since 1970 from which keys that callers generated themselves are served, if the"
                    + " ledger has kept all claims since before then; set once, shortly after the first start of a"
                    + " deployment. 0 refuses such keys until the ledger has run for the retention time."),
    /** Retention time of claims. */
    LEDGER_RETENTION_MS(
            "ledger",
            "retention_ms",
            ValueKind.DURATION_MS,
            "86400000",
            1_000,
            604_800_000,
            "How long claims and stored responses are kept."),
    /** Control hosts. */
    CONTROL_HOSTS(
            "control",
            "hosts",
            ValueKind.NAMED_ADDRESS_LIST,
            "",
            0,
            0,
            "Control hosts as host=peer_address pairs: none, or 1, 3, 5 or 7."),
    /** Data folder of the control group. */
    CONTROL_DATA_FOLDER(
            "control",
            "data_folder",
            ValueKind.TEXT,
            "",
            0,
            4_096,
            "Folder of the replicated log; set on control hosts only."),
    /** Election timeout. */
    CONTROL_ELECTION_TIMEOUT_MS(
            "control",
            "election_timeout_ms",
            ValueKind.DURATION_MS,
            "1000",
            50,
            60_000,
            "Shortest time without a leader before a control host stands for election; the longest is twice that."),
    /** Template files. */
    TEMPLATE_FILES(
            "templates",
            "files",
            ValueKind.TEXT,
            "",
            0,
            65_536,
            "Template files separated by commas, in force until the control group offers a higher revision."),
    /** Number of requests whose timeline is kept. */
    EXPLAIN_MAX_REQUESTS(
            "explain",
            "max_requests",
            ValueKind.INTEGER,
            "2000",
            10,
            1_000_000,
            "Number of requests whose timeline a node keeps in memory."),
    /** Duration from which a request counts as slow. */
    EXPLAIN_SLOW_MS(
            "explain",
            "slow_ms",
            ValueKind.DURATION_MS,
            "500",
            1,
            600_000,
            "A request that takes longer counts as slow and is kept longer."),
    /** Price of traffic between regions. */
    ROUTING_CROSS_REGION_PRICE_MS_PER_KIB(
            "routing",
            "cross_region_price_ms_per_kib",
            ValueKind.INTEGER,
            "1",
            0,
            1_000,
            "Price of sending one KiB to another region, expressed as milliseconds of latency."),
    /** Log level. */
    LOG_LEVEL("log", "level", ValueKind.NAME, "info", 0, 0, "error, warn, info or debug."),
    /** Log layout. */
    LOG_LAYOUT("log", "layout", ValueKind.NAME, "text", 0, 0, "text or json.");

    private final String section;
    private final String key;
    private final ValueKind kind;
    private final @Nullable String defaultText;
    private final long min;
    private final long max;
    private final String description;

    NodeSetting(
            String section,
            String key,
            ValueKind kind,
            @Nullable String defaultText,
            long min,
            long max,
            String description) {
        this.section = section;
        this.key = key;
        this.kind = kind;
        this.defaultText = defaultText;
        this.min = min;
        this.max = max;
        this.description = description;
    }

    /**
     * Finds a setting by its section and key.
     *
     * @param section the section; not null
     * @param key the key; not null
     * @return the setting, or empty if there is no such setting
     */
    public static Optional<NodeSetting> find(String section, String key) {
        return Arrays.stream(values())
                .filter(setting -> setting.section.equals(section) && setting.key.equals(key))
                .findFirst();
    }

    /**
     * Returns the section of the INI file.
     *
     * @return the section, never null
     */
    public String section() {
        return section;
    }

    /**
     * Returns the key within the section.
     *
     * @return the key, never null
     */
    public String key() {
        return key;
    }

    /**
     * Returns the kind of the value.
     *
     * @return the kind, never null
     */
    public ValueKind kind() {
        return kind;
    }

    /**
     * Returns the value that is used if the file does not give one.
     *
     * @return the default, or empty if the file must give a value
     */
    public Optional<String> defaultText() {
        return Optional.ofNullable(defaultText);
    }

    /**
     * Returns the description of the setting.
     *
     * @return one or more sentences, never null
     */
    public String description() {
        return description;
    }

    /**
     * Returns a description of the allowed values, with their range.
     *
     * @return a phrase, never null
     */
    public String allowed() {
        String range = max > 0 ? " from " + min + " to " + max : "";
        String unit = kind == ValueKind.TEXT && max > 0 ? " characters" : "";
        return kind.description() + range + unit;
    }

    boolean accepts(String text) {
        if (text.isEmpty() && "".equals(defaultText)) {
            return true;
        }
        return kind.accepts(text, min, max);
    }
}
