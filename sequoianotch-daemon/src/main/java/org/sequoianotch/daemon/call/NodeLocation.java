package org.sequoianotch.daemon.call;

import java.util.Objects;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Region;

/**
 * The host, data centre and region of a node, and the address at which other nodes reach it.
 *
 * <p>This type is immutable.
 *
 * @param host the host; not null
 * @param dataCentre data centre of the host; not null
 * @param region region of the host; not null
 * @param peerAddress address of the node's peer listener that other nodes connect to; not null
 */
public record NodeLocation(HostId host, DataCentre dataCentre, Region region, String peerAddress) {
    /** Checks that no component is null. */
    public NodeLocation {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
