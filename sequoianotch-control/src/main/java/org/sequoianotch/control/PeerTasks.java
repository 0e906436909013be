package org.sequoianotch.control;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.group.GroupMessage;
import org.sequoianotch.control.group.Member;
import org.sequoianotch.control.group.OutgoingRequest;
import org.sequoianotch.control.group.RaftMember;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.task.TaskThreads;

/**
 * Runs one task for each peer, which sends the member's requests and reports the replies. This class is thread-safe.
 */
final class PeerTasks {
    private static final Logger LOGGER = LogManager.getLogger(PeerTasks.class);

    /** A state change ends the wait at once; the limit bounds the delay if a notification is missed. */
    private static final long IDLE_WAIT_MS = 1_000;
    /** Shorter than the heartbeat interval, so that one exception does not cost the leader its lease. */
    private static final long PAUSE_AFTER_FAILURE_MS = 20;

    private final RaftMember member;
    private final PeerRequester requester;
    private final ControlDirectory directory;
    private final long requestTimeoutMs;
    private final Map<String, Thread> threads = new ConcurrentHashMap<>();

    PeerTasks(RaftMember member, PeerRequester requester, ControlGroupOptions options, ControlDirectory directory) {
        this.member = member;
        this.requester = requester;
        this.directory = directory;
        this.requestTimeoutMs = options.settings().requestTimeoutMs();
    }

    /** Starts tasks for new peers, and stops the tasks of removed peers. */
    void refresh() {
        Map<String, Member> currentPeers = new ConcurrentHashMap<>();
        member.peers().forEach(peer -> currentPeers.put(peer.id(), peer));
        threads.forEach((id, thread) -> {
            if (!currentPeers.containsKey(id)) {
                thread.interrupt();
                threads.remove(id);
            }
        });
        currentPeers.forEach((id, peer) -> threads.computeIfAbsent(id, key -> start(peer)));
    }

    void close() {
        threads.values().forEach(Thread::interrupt);
        threads.clear();
    }

    private Thread start(Member peer) {
        return TaskThreads.startLoop(
                "control-peer-" + peer.host(), () -> true, PAUSE_AFTER_FAILURE_MS, () -> sendNext(peer));
    }

    private void sendNext(Member peer) throws InterruptedException {
        Optional<OutgoingRequest> next = member.awaitNextRequest(peer.id(), IDLE_WAIT_MS);
        if (next.isPresent()) {
            exchange(next.get());
        }
    }

    private void exchange(OutgoingRequest outgoing) {
        boolean replied = false;
        try {
            replied = send(outgoing);
        } finally {
            if (!replied) {
                member.onRequestFailed(outgoing);
            }
        }
    }

    /** Sends a request and processes the reply; returns false if there was none. */
    private boolean send(OutgoingRequest outgoing) {
        Member peer = outgoing.peer();
        // The address in the log dates from the admission of the member; the directory has the current one.
        String address = directory.hosts().getOrDefault(peer.host(), peer.address());
        byte[] payload = new ControlRequest.RaftRequest(peer.id(), outgoing.request()).toBytes();
        Either<Failure, byte[]> response = requester
                .request(address, Topic.CONTROL, payload, requestTimeoutMs)
                .flatMap(ControlRequest::decodeResponse);
        if (response.isLeft()) {
            return false;
        }
        try {
            if (GroupMessage.decode(new Decoder(response.get())) instanceof GroupMessage.Reply reply) {
                logDeclined(outgoing, reply);
                member.onReply(outgoing, reply);
                return true;
            }
        } catch (IllegalArgumentException e) {
            LOGGER.warn("[control] Host {} sent a malformed reply: {}", peer.host(), e.getMessage());
        }
        return false;
    }

    private static void logDeclined(OutgoingRequest outgoing, GroupMessage.Reply reply) {
        if (reply instanceof GroupMessage.Declined declined) {
            LOGGER.debug(
                    "[control] Host {} declined a request: {}", outgoing.peer().host(), declined.reason());
        }
    }
}
