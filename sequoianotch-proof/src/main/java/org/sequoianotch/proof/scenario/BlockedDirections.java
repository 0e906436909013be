package org.sequoianotch.proof.scenario;

import java.util.HashSet;
import java.util.Set;

/**
 * Set of the directions between pairs of hosts that are blocked, shared by all relays of a deployment.
 *
 * <p>This class is thread-safe.
 */
final class BlockedDirections {
    private final Set<Direction> blocked = new HashSet<>();

    private record Direction(String from, String to) {}

    synchronized void block(String from, String to) {
        blocked.add(new Direction(from, to));
    }

    synchronized void unblockAll() {
        blocked.clear();
        notifyAll();
    }

    synchronized boolean isOpen(String from, String to) {
        return !blocked.contains(new Direction(from, to));
    }

    /** Waits while a direction is blocked, because TCP also delivers its bytes when the network recovers. */
    synchronized void awaitOpen(String from, String to) throws InterruptedException {
        while (!isOpen(from, to)) {
            wait();
        }
    }
}
