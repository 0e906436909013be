package org.sequoianotch.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;

/**
 * The announcement of an instance that it leaves.
 *
 * <p>This type is immutable.
 *
 * @param instanceId id of the instance, which a later incarnation may reuse; not null, not empty
 * @param startedAtMs start of the incarnation that leaves, in milliseconds since the Unix epoch
 * @param lastSequence highest sequence number of the heartbeats that are out of date; {@link #ALL_HEARTBEATS} if the
 *     instance has withdrawn
 */
public record Departure(String instanceId, long startedAtMs, long lastSequence) {
    /** Marks an instance that has withdrawn, so that none of its heartbeats counts any more. */
    public static final long ALL_HEARTBEATS = Long.MAX_VALUE;

    /**
     * Checks the instance id.
     *
     * @throws IllegalArgumentException if the instance id is empty
     */
    public Departure {
        Objects.requireNonNull(instanceId, "instanceId");
        if (instanceId.isEmpty()) {
            throw new IllegalArgumentException("instanceId is empty, but must not be");
        }
    }

    /**
     * Returns whether this departure includes another one of the same incarnation.
     *
     * @param other the other departure; not null
     * @return true if it adds nothing
     */
    public boolean includes(Departure other) {
        return instanceId.equals(other.instanceId)
                && startedAtMs == other.startedAtMs
                && lastSequence >= other.lastSequence;
    }

    /**
     * Returns whether this departure replaces a recorded one of the same instance id.
     *
     * @param recorded the recorded departure; not null
     * @return true if it is that of a later incarnation, or of more heartbeats of the same one
     */
    public boolean supersedes(Departure recorded) {
        return startedAtMs > recorded.startedAtMs
                || startedAtMs == recorded.startedAtMs && lastSequence > recorded.lastSequence;
    }

    /**
     * Encodes this departure.
     *
     * @param encoder the encoder to write to; not null
     */
    public void encode(Encoder encoder) {
        encoder.text(instanceId).number(startedAtMs).number(lastSequence);
    }

    /**
     * Decodes a departure.
     *
     * @param decoder the decoder to read from; not null
     * @return the departure, never null
     * @throws IllegalArgumentException if the message is malformed
     */
    public static Departure decode(Decoder decoder) {
        return new Departure(decoder.text(), decoder.number(), decoder.number());
    }

    /**
     * Encodes departures.
     *
     * @param departures the departures; not null
     * @return the message, never null
     */
    public static byte[] encodeAll(List<Departure> departures) {
        Encoder encoder = new Encoder().number(departures.size());
        departures.forEach(departure -> departure.encode(encoder));
        return encoder.toBytes();
    }

    /**
     * Decodes departures.
     *
     * @param payload a result of {@link #encodeAll}; not null
     * @return the departures, never null
     * @throws IllegalArgumentException if the message is malformed
     */
    public static List<Departure> decodeAll(byte[] payload) {
        Decoder decoder = new Decoder(payload);
        int count = decoder.count();
        List<Departure> departures = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            departures.add(decode(decoder));
        }
        return List.copyOf(departures);
    }
}
