package org.sequoianotch.proof.scenario;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.proof.load.CallTemplate;
import org.sequoianotch.proof.load.Caller;
import org.sequoianotch.proof.standin.DownstreamCall;
import org.sequoianotch.proof.standin.StandIn;
import org.sequoianotch.proof.standin.StandInOptions;
import org.sequoianotch.settings.ValueKind;

/**
 * The running hosts of a scenario: one node process for each host, and stand-ins and callers in the runner's process.
 *
 * <p>Each host has its own loopback address, so that scenarios can run concurrently.
 *
 * <p>One thread starts and closes a deployment.
 */
public final class Deployment implements AutoCloseable {
    private static final int CALLER_PORT = 18_080;
    private static final int BACKEND_PORT = 18_081;
    private static final int PEER_PORT = 18_082;
    private static final int ADMIN_PORT = 18_083;
    private static final int EVENT_LOOP_THREADS = 2;
    /** The relay of host number n has the address of number n plus this offset. */
    private static final int RELAY_NUMBER_OFFSET = 100;

    private static final int ADDRESSES_PER_BLOCK = 250;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long READY_POLL_INTERVAL_MS = 50;
    private static final long CALL_TIMEOUT_MS = 10_000;
    /** A new ledger refuses keys minted before its formation, with a margin of 1 s for clock skew. */
    private static final long LEDGER_FORMATION_WAIT_MS = 1_500;
    /**
     * Number of the last deployment; combined with the process id, so that concurrent runners use different addresses.
     */
    private static final AtomicInteger LAST_NUMBER = new AtomicInteger();

    private final Scenario scenario;
    private final String mode;
    private final Path folder;
    private final String addressPrefix;
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS);
    private final Map<String, NodeProcess> nodes = new LinkedHashMap<>();
    private final Map<String, StandIn> standIns = new LinkedHashMap<>();
    /** All stand-ins started so far, because checks also count the executions of those that were crashed. */
    private final List<StandIn> startedStandIns = new ArrayList<>();

    private final Map<String, Caller> callers = new LinkedHashMap<>();
    private final List<Path> templates;
    private final RelayNetwork network;

    /**
     * Creates a deployment without starting it.
     *
     * @param scenario the scenario; not null
     * @param mode mode of the nodes, {@code protective} or {@code naive}; not null
     * @param folder folder for settings, data and logs; not null
     * @param templates template files of all nodes; not null
     */
    public Deployment(Scenario scenario, String mode, Path folder, List<Path> templates) {
        this.scenario = scenario;
        this.mode = mode;
        this.folder = folder;
        this.templates = List.copyOf(templates);
        this.network = new RelayNetwork(scenario.hosts());
        int block = (int) (ProcessHandle.current().pid() % ADDRESSES_PER_BLOCK);
        this.addressPrefix = "127." + (1 + block) + "." + (LAST_NUMBER.incrementAndGet() % ADDRESSES_PER_BLOCK) + ".";
    }

    /**
     * Starts all nodes and stand-ins.
     *
     * @throws IOException if a process cannot be started
     * @throws InterruptedException if the thread is interrupted while starting
     */
    public void start() throws IOException, InterruptedException {
        if (scenario.relay()) {
            for (Scenario.HostPlan host : scenario.hosts()) {
                InetSocketAddress relay = parse(advertisedAddressText(host.name()));
                network.open(host.name(), relay, address(host.name(), PEER_PORT));
            }
        }
        for (Scenario.HostPlan host : scenario.hosts()) {
            Path settings = folder.resolve(host.name() + ".ini");
            Files.writeString(settings, nodeSettings(host));
            NodeProcess node = new NodeProcess(host.name(), settings, folder.resolve(host.name() + ".log"));
            nodes.put(host.name(), node);
            node.start();
            callers.put(host.name(), new Caller(address(host.name(), CALLER_PORT), eventLoops));
        }
        for (Scenario.HostPlan host : scenario.hosts()) {
            startStandIn(host.name());
        }
    }

    /**
     * Starts the stand-in of a host; does nothing if the scenario assigns no service to the host.
     *
     * @param hostName the host; not null
     * @throws InterruptedException if the thread is interrupted while starting
     * @throws IllegalArgumentException if the scenario has no such host
     */
    public void startStandIn(String hostName) throws InterruptedException {
        Scenario.HostPlan host = hostPlan(hostName);
        if (host.service().isEmpty()) {
            return;
        }
        List<DownstreamCall> calls = ValueKind.items(host.calls()).stream()
                .map(DownstreamCall::parse)
                .toList();
        StandInOptions options = new StandInOptions(
                ServiceName.of(host.service()),
                address(hostName, 0),
                address(hostName, BACKEND_PORT),
                host.slots(),
                host.workMs(),
                calls);
        StandIn standIn = new StandIn(
                options, eventLoops, () -> ThreadLocalRandom.current().nextLong());
        standIns.put(hostName, standIn);
        startedStandIns.add(standIn);
    }

    private String nodeSettings(Scenario.HostPlan host) {
        String ledgerHosts = scenario.hosts().stream()
                .filter(Scenario.HostPlan::ledger)
                .map(plan -> plan.dataCentre() + "=" + advertisedAddressText(plan.name()))
                .collect(Collectors.joining(", "));
        String dataCentres = scenario.hosts().stream()
                .map(Scenario.HostPlan::dataCentre)
                .distinct()
                .collect(Collectors.joining(", "));
        String seeds = scenario.hosts().stream()
                .map(plan -> advertisedAddressText(plan.name()))
                .limit(2)
                .collect(Collectors.joining(", "));
        String templateFiles = templates.stream().map(Path::toString).collect(Collectors.joining(", "));
        StringBuilder text = new StringBuilder();
        appendSection(
                text,
                "node",
                "host = " + host.name(),
                "data_centre = " + host.dataCentre(),
                "region = " + host.region(),
                "mode = " + mode);
        appendSection(text, "deployment", "key = scenario-deployment-key", "data_centres = " + dataCentres);
        appendSection(text, "caller", "listen = " + addressText(host.name(), CALLER_PORT));
        appendSection(
                text,
                "backend",
                "listen = " + addressText(host.name(), BACKEND_PORT),
                "host_address = " + addressPrefix + hostNumber(host.name()),
                "lease_ms = 2000");
        appendSection(
                text,
                "peer",
                "listen = " + addressText(host.name(), PEER_PORT),
                "advertise = " + (scenario.relay() ? advertisedAddressText(host.name()) : ""));
        appendSection(
                text, "admin", "listen = " + addressText(host.name(), ADMIN_PORT), "operator_keys = " + operatorKeys());
        appendSection(text, "membership", "seeds = " + seeds);
        appendSection(
                text,
                "ledger",
                "hosts = " + ledgerHosts,
                "data_folder = " + (host.ledger() ? ledgerFolder(host.name()) : ""));
        appendSection(
                text,
                "control",
                "hosts = " + controlHosts(),
                "data_folder = " + (host.control() ? controlFolder(host.name()) : ""));
        appendSection(text, "templates", "files = " + templateFiles);
        scenario.settings().forEach(setting -> overrideSetting(text, setting));
        return text.toString();
    }

    private String controlHosts() {
        return scenario.hosts().stream()
                .filter(Scenario.HostPlan::control)
                .map(plan -> plan.name() + "=" + advertisedAddressText(plan.name()))
                .collect(Collectors.joining(", "));
    }

    private static String operatorKeys() {
        return AdminClient.OPERATOR_KEYS.entrySet().stream()
                .map(entry -> entry.getKey() + "=" + entry.getValue())
                .collect(Collectors.joining(", "));
    }

    private static void appendSection(StringBuilder text, String name, String... lines) {
        text.append('[').append(name).append("]\n");
        for (String line : lines) {
            text.append(line).append('\n');
        }
    }

    private static void overrideSetting(StringBuilder text, String setting) {
        int dot = setting.indexOf('.');
        String header = "[" + setting.substring(0, dot) + "]\n";
        String line = setting.substring(dot + 1) + "\n";
        int at = text.indexOf(header);
        if (at < 0) {
            text.append(header).append(line);
        } else {
            text.insert(at + header.length(), line);
        }
    }

    private Path ledgerFolder(String host) {
        return folder.resolve(host + "-ledger");
    }

    private Path controlFolder(String host) {
        return folder.resolve(host + "-control");
    }

    /**
     * Deletes the ledger's data folder of a host, which simulates the loss of its disk.
     *
     * @param host the host; not null
     */
    public void deleteLedgerData(String host) {
        deleteRecursively(ledgerFolder(host));
    }

    /**
     * Deletes the control group's data folder of a host, which simulates the loss of its disk.
     *
     * @param host the host; not null
     */
    public void deleteControlData(String host) {
        deleteRecursively(controlFolder(host));
    }

    /**
     * Inverts a byte in the middle of the control group's log on a host, which simulates corruption by a failing disk.
     *
     * @param host the host, whose node must not be running; not null
     * @throws IOException if the log cannot be changed
     */
    public void damageControlLog(String host) throws IOException {
        Path log = controlFolder(host).resolve("log");
        byte[] bytes = Files.readAllBytes(log);
        bytes[bytes.length / 2] ^= (byte) 0xff;
        Files.write(log, bytes);
    }

    private static void deleteRecursively(Path folder) {
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int hostNumber(String host) {
        for (int i = 0; i < scenario.hosts().size(); i++) {
            if (scenario.hosts().get(i).name().equals(host)) {
                return i + 1;
            }
        }
        throw new IllegalArgumentException("the scenario " + scenario.name() + " has no host " + host);
    }

    private Scenario.HostPlan hostPlan(String host) {
        return scenario.hosts().get(hostNumber(host) - 1);
    }

    private String addressText(String host, int port) {
        return addressPrefix + hostNumber(host) + ":" + port;
    }

    /**
     * Returns the address at which other nodes reach the peer listener of a host, which is its relay's if it has one.
     */
    private String advertisedAddressText(String host) {
        int number = hostNumber(host) + (scenario.relay() ? RELAY_NUMBER_OFFSET : 0);
        return addressPrefix + number + ":" + PEER_PORT;
    }

    private InetSocketAddress address(String host, int port) {
        return parse(addressText(host, port));
    }

    private static InetSocketAddress parse(String address) {
        return ValueKind.parseAddress(address).orElseThrow();
    }

    /** Returns the relays; there are none unless the scenario requires them. */
    RelayNetwork network() {
        return network;
    }

    /** Returns the address of a host's admin listener. */
    InetSocketAddress adminAddress(String host) {
        return address(host, ADMIN_PORT);
    }

    /**
     * Returns the node of a host.
     *
     * @param host the host; not null
     * @return the node, never null once the deployment is started
     * @throws IllegalArgumentException if the scenario has no such host
     */
    public NodeProcess node(String host) {
        hostNumber(host);
        return nodes.get(host);
    }

    /**
     * Returns the stand-in of a host.
     *
     * @param host the host; not null
     * @return the stand-in, never null
     * @throws IllegalArgumentException if the host has no stand-in
     */
    public StandIn standIn(String host) {
        StandIn standIn = standIns.get(host);
        if (standIn == null) {
            throw new IllegalArgumentException("host " + host + " has no stand-in backend server");
        }
        return standIn;
    }

    /**
     * Returns all stand-ins started so far, including those that were crashed.
     *
     * @return the stand-ins in order of their start, never null
     */
    public List<StandIn> standIns() {
        return List.copyOf(startedStandIns);
    }

    /**
     * Returns the client that sends calls to the caller listener of a host's node.
     *
     * @param host the host; not null
     * @return the client, never null once the deployment is started
     * @throws IllegalArgumentException if the scenario has no such host
     */
    public Caller caller(String host) {
        hostNumber(host);
        return callers.get(host);
    }

    /**
     * Returns the address of a host's caller listener.
     *
     * @param host the host; not null
     * @return the address, never null
     */
    public InetSocketAddress callerAddress(String host) {
        return address(host, CALLER_PORT);
    }

    /**
     * Returns the address of a host's peer listener.
     *
     * @param host the host; not null
     * @return the address, never null
     */
    public InetSocketAddress peerAddress(String host) {
        return address(host, PEER_PORT);
    }

    /**
     * Waits until each node reaches each service, because nodes and backend servers discover each other after the
     * start.
     *
     * @throws InterruptedException if the thread is interrupted while waiting
     * @throws IllegalStateException if a node does not reach a service within 30 s of the call
     */
    public void awaitReady() throws InterruptedException {
        CallTemplate[] probes = scenario.hosts().stream()
                .map(Scenario.HostPlan::service)
                .filter(service -> !service.isEmpty())
                .distinct()
                .map(service -> new CallTemplate("ready", "GET", "/" + service + "/ready", new byte[0], false))
                .toArray(CallTemplate[]::new);
        long endNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
        for (Scenario.HostPlan host : scenario.hosts()) {
            Caller caller = caller(host.name());
            for (CallTemplate probe : probes) {
                while (!caller.send(probe, "", System.nanoTime() / 1e6, CALL_TIMEOUT_MS)
                        .isGood()) {
                    if (System.nanoTime() > endNs) {
                        throw new IllegalStateException("host " + host.name() + " did not reach " + probe.path()
                                + " within " + READY_TIMEOUT_MS + " ms\n" + logTails());
                    }
                    Thread.sleep(READY_POLL_INTERVAL_MS);
                }
            }
        }
        if (scenario.hosts().stream().anyMatch(Scenario.HostPlan::ledger)) {
            Thread.sleep(LEDGER_FORMATION_WAIT_MS);
        }
    }

    /**
     * Requests a new idempotency key from a node.
     *
     * @param host the host; not null
     * @return the key, never null; empty if the node does not respond
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public String mintKey(String host) throws InterruptedException {
        CallTemplate mint = new CallTemplate("mint", "POST", "/v1/keys", new byte[0], false);
        return caller(host)
                .send(mint, "", System.nanoTime() / 1e6, CALL_TIMEOUT_MS)
                .body()
                .trim();
    }

    /**
     * Returns the ends of all node logs for a failure message.
     *
     * @return the last log lines of each node, never null
     */
    public String logTails() {
        return nodes.values().stream().map(NodeProcess::logTail).collect(Collectors.joining("\n"));
    }

    @Override
    public void close() {
        callers.values().forEach(Caller::close);
        startedStandIns.forEach(StandIn::close);
        nodes.values().stream().filter(NodeProcess::isAlive).forEach(NodeProcess::kill);
        network.close();
        eventLoops.shutdownGracefully();
    }
}
