package org.sequoianotch.daemon;

import io.vavr.control.Either;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.call.NodeLocation;
import org.sequoianotch.daemon.ledger.Ledger;
import org.sequoianotch.daemon.ledger.LedgerClient;
import org.sequoianotch.daemon.ledger.LedgerCounters;
import org.sequoianotch.daemon.ledger.LedgerHost;
import org.sequoianotch.daemon.ledger.LedgerSettings;
import org.sequoianotch.daemon.ledger.NaiveLedger;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.settings.NodeSetting;
import org.sequoianotch.settings.NodeSettings;
import org.sequoianotch.time.Clock;

/** Components of the ledger on a node: the client and, on a ledger host, the host that stores claims. */
final class LedgerComponents {
    private final Ledger ledger;
    private final List<DataCentre> dataCentres;
    private final @Nullable LedgerHost host;
    private final LedgerCounters counters;

    private LedgerComponents(
            Ledger ledger, List<DataCentre> dataCentres, @Nullable LedgerHost host, LedgerCounters counters) {
        this.ledger = ledger;
        this.dataCentres = dataCentres;
        this.host = host;
        this.counters = counters;
    }

    static Either<Failure, LedgerComponents> open(
            NodeSettings settings, NodeLocation location, PolicyMode mode, PeerRequester requester, Clock clock) {
        Map<DataCentre, List<String>> hosts = ledgerHosts(settings);
        LedgerCounters counters = LedgerCounters.create();
        SecureRandom random = new SecureRandom();
        List<String> ownGroup = hosts.getOrDefault(location.dataCentre(), List.of());
        LedgerHost host = null;
        if (ownGroup.contains(location.peerAddress())) {
            LedgerSettings ledgerSettings = LedgerSettings.of(
                            settings.number(NodeSetting.LEDGER_EPOCH),
                            settings.number(NodeSetting.LEDGER_RETENTION_MS),
                            settings.path(NodeSetting.LEDGER_DATA_FOLDER))
                    .withOpenedAtMs(settings.number(NodeSetting.LEDGER_OPENED_AT_MS));
            Either<Failure, LedgerHost> opened = LedgerHost.open(
                    location.peerAddress(), ownGroup, ledgerSettings, requester, clock, counters, random);
            if (opened.isLeft()) {
                return Either.left(opened.getLeft());
            }
            host = opened.get();
        }
        Ledger ledger = mode == PolicyMode.NAIVE
                ? new NaiveLedger()
                : LedgerClient.of(hosts, requester, clock, random, counters, host);
        // Without ledger hosts, keys still need a home data centre; every claim then fails as unreachable.
        List<DataCentre> dataCentres = hosts.isEmpty() ? List.of(location.dataCentre()) : List.copyOf(hosts.keySet());
        return Either.right(new LedgerComponents(ledger, dataCentres, host, counters));
    }

    private static Map<DataCentre, List<String>> ledgerHosts(NodeSettings settings) {
        Map<DataCentre, List<String>> hosts = new LinkedHashMap<>();
        for (String item : settings.list(NodeSetting.LEDGER_HOSTS)) {
            int equals = item.indexOf('=');
            hosts.computeIfAbsent(DataCentre.of(item.substring(0, equals)), dataCentre -> new ArrayList<>())
                    .add(item.substring(equals + 1));
        }
        return hosts;
    }

    Ledger ledger() {
        return ledger;
    }

    List<DataCentre> dataCentres() {
        return dataCentres;
    }

    Optional<LedgerHost> host() {
        return Optional.ofNullable(host);
    }

    LedgerCounters counters() {
        return counters;
    }
}
