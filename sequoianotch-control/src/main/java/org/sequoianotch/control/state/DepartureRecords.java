package org.sequoianotch.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.model.HostId;

/**
 * Replicated state: the newest departures of instances, each with the host of the instance.
 *
 * <p>The state depends on the applied entries only, so that it is the same, byte for byte, on every member.
 *
 * <p>This class is not thread-safe.
 */
public final class DepartureRecords {
    /**
     * A record is needed as long as a heartbeat from before the departure may arrive, which is seconds, or as long as a
     * partition. The target size has 440 departures a day.
     */
    static final int MAX_RECORDS = 1_024;

    private record Key(HostId host, String instanceId) {}

    private final LinkedHashMap<Key, Departure> records = new LinkedHashMap<>();

    /** Creates an empty state. */
    public DepartureRecords() {}

    /**
     * Encodes a departure as the data of a log entry.
     *
     * @param host the host of the instance; not null
     * @param departure the departure; not null
     * @return the data of the log entry, never null
     */
    public static byte[] encodeEntry(HostId host, Departure departure) {
        Encoder encoder = new Encoder().text(host.name());
        departure.encode(encoder);
        return encoder.toBytes();
    }

    /**
     * Applies a committed departure.
     *
     * @param data a result of {@link #encodeEntry}; not null
     */
    public void apply(byte[] data) {
        Decoder decoder = new Decoder(data);
        put(HostId.of(decoder.text()), Departure.decode(decoder));
    }

    private void put(HostId host, Departure departure) {
        if (includes(host, departure)) {
            return;
        }
        Key key = new Key(host, departure.instanceId());
        records.remove(key);
        records.put(key, departure);
        if (records.size() > MAX_RECORDS) {
            records.pollFirstEntry();
        }
    }

    /**
     * Returns whether a departure adds nothing to what is recorded.
     *
     * @param host the host of the instance; not null
     * @param departure the departure; not null
     * @return true if it is recorded, or replaced by a later one
     */
    public boolean includes(HostId host, Departure departure) {
        Departure recorded = records.get(new Key(host, departure.instanceId()));
        return recorded != null && !departure.supersedes(recorded);
    }

    /**
     * Returns the departures of the instances on a host.
     *
     * @param host the host; not null
     * @return the departures, oldest first, never null
     */
    public List<Departure> of(HostId host) {
        return records.entrySet().stream()
                .filter(entry -> entry.getKey().host().equals(host))
                .map(Map.Entry::getValue)
                .toList();
    }

    void encode(Encoder encoder) {
        encoder.number(records.size());
        records.forEach(
                (key, departure) -> departure.encode(encoder.text(key.host().name())));
    }

    /** Replaces the records by encoded ones. */
    void restore(Decoder decoder) {
        records.clear();
        int count = decoder.count();
        for (int i = 0; i < count; i++) {
            HostId host = HostId.of(decoder.text());
            put(host, Departure.decode(decoder));
        }
    }

    void clear() {
        records.clear();
    }
}
