package org.sequoianotch.control.group;

import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.model.HostId;

/**
 * A member of the control group.
 *
 * <p>The identity belongs to the data folder: a host that lost its disk rejoins as a different member. This type is
 * immutable.
 *
 * @param id identity of the member; not null
 * @param host the host of the member; not null
 * @param address address of the host's peer listener; not null
 */
public record Member(String id, HostId host, String address) {
    /** Checks the components. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(address, "address");
    }

    void encode(Encoder encoder) {
        encoder.text(id).text(host.name()).text(address);
    }

    static Member decode(Decoder decoder) {
        return new Member(decoder.text(), HostId.of(decoder.text()), decoder.text());
    }
}
