package org.sequoianotch.control.group;

import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.model.HostId;

/**
 * One member of the control group.
 *
 * <p>This type is immutable. The identity belongs to the data folder: a host that lost its disk comes back as another
 * member.
 *
 * @param id the identity; not null
 * @param host the host; not null
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
