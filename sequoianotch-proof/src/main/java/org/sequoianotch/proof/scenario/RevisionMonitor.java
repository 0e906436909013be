package org.sequoianotch.proof.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Monitor that polls the template revision in force on every node and records a violation of R8 whenever it decreases.
 *
 * <p>A restarted node begins with new observations, because it may not have a revision yet.
 *
 * <p>This class is thread-safe.
 */
final class RevisionMonitor implements AutoCloseable {
    private static final long POLL_INTERVAL_MS = 40;

    private final AdminClient admin;
    private final Map<String, Observations> observationsByHost = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    /** Revisions observed on one process of a node. */
    private static final class Observations {
        private long lowest = Long.MAX_VALUE;
        private long highest = -1;
    }

    RevisionMonitor(AdminClient admin) {
        this.admin = admin;
    }

    void start(List<String> hosts) {
        for (String host : hosts) {
            nodeRestarted(host);
            threads.add(Thread.ofVirtual().name("revision-watch-" + host).start(() -> poll(host)));
        }
    }

    /** Resets the observations of a node whose process is restarted. */
    synchronized void nodeRestarted(String host) {
        observationsByHost.put(host, new Observations());
    }

    private synchronized Observations currentObservations(String host) {
        return observationsByHost.getOrDefault(host, new Observations());
    }

    private void poll(String host) {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                readRevision(host);
                Thread.sleep(POLL_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads and records the revision in force on a node; -1 if the node does not respond. */
    long readRevision(String host) throws InterruptedException {
        Observations observations = currentObservations(host);
        // Responses to concurrent requests can arrive in any order, so a revision is only compared with those that were
        // observed before its request was sent.
        long highestBefore = highestRevision(host);
        OptionalLong revision = admin.revision(host);
        if (revision.isPresent()) {
            recordRevision(host, observations, highestBefore, revision.getAsLong());
        }
        return revision.orElse(-1);
    }

    private synchronized void recordRevision(
            String host, Observations observations, long highestBefore, long revision) {
        if (observations == currentObservations(host) && revision < highestBefore) {
            violations.add(
                    "R8: the revision of host " + host + " decreased from " + highestBefore + " to " + revision + ".");
        }
        observations.highest = Math.max(observations.highest, revision);
        observations.lowest = Math.min(observations.lowest, revision);
    }

    /** Returns the highest revision observed on a node since its last start; -1 if there is none. */
    synchronized long highestRevision(String host) {
        return currentObservations(host).highest;
    }

    /** Returns the lowest revision observed on a node since its last start; -1 if there is none. */
    synchronized long lowestRevision(String host) {
        long lowest = currentObservations(host).lowest;
        return lowest == Long.MAX_VALUE ? -1 : lowest;
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    @Override
    public void close() {
        threads.forEach(Thread::interrupt);
    }
}
